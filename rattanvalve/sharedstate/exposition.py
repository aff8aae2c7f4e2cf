"""Counters and latency histograms as text, on the metrics address."""

import asyncio
from collections.abc import Iterator

from aiohttp import web
from prometheus_client import CollectorRegistry, Histogram, generate_latest
from prometheus_client.core import CounterMetricFamily, Metric

from rattanvalve.counters import Metrics
from rattanvalve.http_errors import hide_malformed_http
from rattanvalve.platform.nodefile import NodeSettings

__all__ = ('METRICS_PORT', 'MetricsPage', 'serve_metrics')

#: Port of the metrics, as the deploy file names it.
METRICS_PORT = 9464
CONTENT_TYPE = 'text/plain; version=0.0.4'
_BUCKETS_S = (
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1,
    2,
    4,
    8,
)


class MetricsPage:
    """The metrics of one process.

    :param metrics: counters.
    """

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics
        self._registry = CollectorRegistry()
        self._registry.register(self)
        self._durations = Histogram(
            'rattanvalve_request_seconds',
            'Time from the first byte of a request to its end.',
            ('outcome',),
            registry=self._registry,
            buckets=_BUCKETS_S,
        )

    def observe(self, outcome: str, duration_s: float) -> None:
        """Count a request that has ended.

        :param outcome: how it ended, as in its log line.
        :param duration_s: how long it took in seconds.
        """
        self._durations.labels(outcome).observe(duration_s)

    def collect(self) -> Iterator[Metric]:
        """Give the counters to the metrics library.

        :returns: one family with a label for the name of the counter.
        """
        family = CounterMetricFamily(
            'rattanvalve_events',
            'Counters of refusals, retries and outcomes, by name.',
            labels=('name',),
        )
        for name, count in self._metrics.counts.items():
            family.add_metric((name,), count)
        yield family

    async def handle(self, request: web.BaseRequest) -> web.Response:
        """Answer a request for the metrics.

        :param request: any request.
        :returns: the metrics as text.
        """
        body = generate_latest(self._registry)
        return web.Response(body=body, headers={'Content-Type': CONTENT_TYPE})


async def serve_metrics(
    page: MetricsPage,
    node: NodeSettings,
) -> asyncio.Server:
    """Listen for requests for the metrics.

    :param page: metrics of the process.
    :param node: settings of the platform.
    :returns: the server, to be closed by the caller.
    :raises OSError: if the address cannot be used.
    """
    hide_malformed_http()
    return await asyncio.get_running_loop().create_server(
        web.Server(page.handle, access_log=None),
        node.host,
        METRICS_PORT,
    )
