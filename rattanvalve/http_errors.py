"""Counts requests that the HTTP parser refuses before any of our handlers.

The public interface of aiohttp gives no way to answer them: its plain 400 has
no result code. The access log sees each response, also these.
"""

from aiohttp import web
from aiohttp.abc import AbstractAccessLogger

from rattanvalve.counters import Counter, Metrics

__all__ = ('malformed_http_counter',)

#: Method of the request that aiohttp puts in place of one that it cannot read.
UNREADABLE_METHOD = 'UNKNOWN'


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

    :param metrics: counters.
    :returns: class that counts malformed requests there.
    """
    bases = (_MalformedHttpCounter,)
    return type('MalformedHttpCounter', bases, {'metrics': metrics})
