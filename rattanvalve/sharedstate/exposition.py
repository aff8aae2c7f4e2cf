"""HTTP server for counters and latency histograms in Prometheus format."""

import asyncio
import time
from collections.abc import Iterator

from aiohttp import web
from prometheus_client import CollectorRegistry, Histogram, generate_latest
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    Metric,
)

from rattanvalve.counters import Metrics
from rattanvalve.http_errors import hide_malformed_http
from rattanvalve.platform.nodefile import NodeSettings
from rattanvalve.sharedstate.documents import DocumentBoard, DocumentKind

__all__ = ('METRICS_PORT', 'MetricsPage', 'serve_metrics')

#: Port of the metrics server; must match the deploy file.
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
    """Renders the metrics of one process.

    :param metrics: counters.
    :param board: documents of the process.
    """

    def __init__(self, metrics: Metrics, board: DocumentBoard) -> None:
        self._metrics = metrics
        self._board = board
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
        """Record the duration of a finished request.

        :param outcome: outcome as in the log line of the request.
        :param duration_s: duration in seconds.
        """
        self._durations.labels(outcome).observe(duration_s)

    def collect(self) -> Iterator[Metric]:
        """Export counters and ages; called by the Prometheus client library.

        :returns: the counters by name, and the age of each document.
        """
        family = CounterMetricFamily(
            'rattanvalve_events',
            'Counters of refusals, retries and outcomes, by name.',
            labels=('name',),
        )
        for name, count in self._metrics.counts.items():
            family.add_metric((name,), count)
        yield family
        ages = GaugeMetricFamily(
            'rattanvalve_document_age_seconds',
            'Time since the store last confirmed a document.',
            labels=('kind',),
        )
        now_s = time.monotonic()
        for kind in DocumentKind:
            age_s = self._board.confirmation_age_s(kind, now_s)
            ages.add_metric((str(kind),), age_s)
        yield ages

    async def handle(self, request: web.BaseRequest) -> web.Response:
        """Answer an HTTP request with the current metrics.

        :param request: request; its method and path are ignored.
        :returns: response with the metrics as text.
        """
        body = generate_latest(self._registry)
        return web.Response(body=body, headers={'Content-Type': CONTENT_TYPE})


async def serve_metrics(
    page: MetricsPage,
    node: NodeSettings,
) -> asyncio.Server:
    """Start the metrics server.

    :param page: metrics of the process.
    :param node: settings of the platform.
    :returns: listening server; the caller closes it.
    :raises OSError: if the server cannot listen on the address.
    """
    hide_malformed_http()
    return await asyncio.get_running_loop().create_server(
        web.Server(page.handle, access_log=None),
        node.host,
        METRICS_PORT,
    )
