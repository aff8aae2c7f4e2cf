"""Counts requests that the HTTP parser refuses before any of our handlers.

The public interface of aiohttp gives no way to answer them: its plain 400 has
no result code. The access log sees each response, also these. The error log of
aiohttp would write the line that it could not read, keys included.
"""

import logging

from aiohttp import web
from aiohttp.abc import AbstractAccessLogger
from aiohttp.http_exceptions import HttpProcessingError

from rattanvalve.counters import Counter, Metrics
from rattanvalve.logs import LineLimit

__all__ = (
    'MalformedHttpFilter',
    'hide_malformed_http',
    'malformed_http_counter',
)

#: Lines about unreadable requests that are written each second.
LINES_PER_S_MAX = 2

#: Method of the request that aiohttp puts in place of one that it cannot read.
UNREADABLE_METHOD = 'UNKNOWN'


class MalformedHttpFilter(logging.Filter):
    """Shortens log lines about unreadable requests to what is safe to write.

    Beyond a few lines per second they are dropped and counted; the next line
    that is written carries the count.
    """

    def __init__(self) -> None:
        super().__init__()
        self._limit = LineLimit(LINES_PER_S_MAX)
        self._dropped_count = 0

    def filter(self, record: logging.LogRecord) -> bool:
        """Remove the bytes of the request and the traceback from a line.

        :param record: line of aiohttp; it is changed here.
        :returns: whether the line is written.
        """
        error = record.exc_info[1] if record.exc_info else None
        if not isinstance(error, HttpProcessingError):
            return True
        if not self._limit.allows(record.created):
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


#: One for all listeners; adding it twice has no effect.
_FILTER = MalformedHttpFilter()


def hide_malformed_http() -> None:
    """Keep unreadable requests out of the logs of this process."""
    logging.getLogger('aiohttp.server').addFilter(_FILTER)


class _MalformedHttpCounter(AbstractAccessLogger):
    """Counts malformed requests and logs nothing."""

    #: aiohttp takes a class and not a factory, so each process that counts
    #: has a subclass with its counters.
    metrics = Metrics()

    def log(
        self,
        request: web.BaseRequest,
        response: web.StreamResponse,
        time: float,
    ) -> None:
        """Look at a response that was sent."""
        if request.method == UNREADABLE_METHOD:
            self.metrics.count(Counter.HTTP_MALFORMED)


def malformed_http_counter(metrics: Metrics) -> type[AbstractAccessLogger]:
    """Make the option ``access_log_class`` of a runner.

    The error log then hides these requests, too.

    :param metrics: counters.
    :returns: class that counts malformed requests there.
    """
    hide_malformed_http()
    bases = (_MalformedHttpCounter,)
    return type('MalformedHttpCounter', bases, {'metrics': metrics})
