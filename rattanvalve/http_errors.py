"""Counts malformed HTTP requests, which aiohttp refuses before any handler.

The public interface of aiohttp cannot change its response to them, a 400
without a result code. The access logger is called for every response, so it
counts them. The error log of aiohttp would contain the malformed line, keys
included.
"""

import logging

from aiohttp import web
from aiohttp.abc import AbstractAccessLogger
from aiohttp.http_exceptions import HttpProcessingError

from rattanvalve.counters import Counter, Metrics
from rattanvalve.logs import LineRateLimit

__all__ = (
    'MalformedHttpFilter',
    'hide_malformed_http',
    'malformed_http_counter',
)

#: Log lines about malformed requests that are written per second.
LINES_PER_S_MAX = 2

#: Method of the placeholder request that aiohttp makes for a malformed one.
UNREADABLE_METHOD = 'UNKNOWN'


class MalformedHttpFilter(logging.Filter):
    """Removes request data from log lines about malformed requests.

    Lines above a rate limit are dropped. The next written line holds their
    number as ``dropped_count``.
    """

    def __init__(self) -> None:
        super().__init__()
        self._rate_limit = LineRateLimit(LINES_PER_S_MAX)
        self._dropped_count = 0

    def filter(self, record: logging.LogRecord) -> bool:
        """Remove the request bytes and the traceback from a log record.

        :param record: log record of aiohttp; modified in place.
        :returns: whether the record is written.
        """
        error = record.exc_info[1] if record.exc_info else None
        if not isinstance(error, HttpProcessingError):
            return True
        if not self._rate_limit.allows(record.created):
            self._dropped_count += 1
            return False
        record.msg = 'the HTTP parser refused a request'
        record.args = ()
        record.exc_info = None
        record.exc_text = None
        record.levelno = logging.WARNING
        record.levelname = logging.getLevelName(logging.WARNING)
        record.error = type(error).__name__
        record.dropped_count = self._dropped_count
        self._dropped_count = 0
        return True


#: Shared by all listeners, as adding one filter twice has no effect.
_FILTER = MalformedHttpFilter()


def hide_malformed_http() -> None:
    """Keep the content of malformed requests out of this process's logs."""
    logging.getLogger('aiohttp.server').addFilter(_FILTER)


class _MalformedHttpCounter(AbstractAccessLogger):
    """Access logger that counts malformed requests and writes no lines."""

    #: aiohttp requires a class, not a factory, so the counters of a process
    #: are an attribute of a subclass.
    metrics = Metrics()

    def log(
        self,
        request: web.BaseRequest,
        response: web.StreamResponse,
        time: float,
    ) -> None:
        """Count the response if its request was malformed."""
        if request.method == UNREADABLE_METHOD:
            self.metrics.count(Counter.HTTP_MALFORMED)


def malformed_http_counter(metrics: Metrics) -> type[AbstractAccessLogger]:
    """Create the class for the option ``access_log_class`` of a runner.

    Also keeps the content of malformed requests out of the error log.

    :param metrics: counters of the process.
    :returns: access logger class that counts malformed requests.
    """
    hide_malformed_http()
    bases = (_MalformedHttpCounter,)
    return type('MalformedHttpCounter', bases, {'metrics': metrics})
