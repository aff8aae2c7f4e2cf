"""Tells a server that crashed from one that only lost a connection.

A connection that breaks during a request says little: a server may reset it, a
link may be cut, or the server may end as planned. A server that then refuses a
new connection, although its entry announces no shutdown, has crashed.
"""

import asyncio
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from rattanvalve.counters import Counter, Metrics
from rattanvalve.errors import ServerRefusedError, ServerUnreachableError
from rattanvalve.gateway.calls import Call
from rattanvalve.gateway.connection_pool import ConnectionPool
from rattanvalve.gateway.directory import EndpointDirectory
from rattanvalve.logs import LogPart, part_logger
from rattanvalve.sharedstate.endpoints import EndpointEntry

__all__ = ('CrashWatch', 'InterruptedRun')

#: A request that its caller gave up within this time before a crash may have
#: caused it.
ABANDONED_WATCH_S = 0.5
#: Number of requests of one endpoint that are kept until it is checked.
RUNS_MAX = 1000

_log = part_logger(LogPart.GATEWAY)


@dataclass(frozen=True, slots=True)
class InterruptedRun:
    """A request that an endpoint had received when its connection ended.

    Times are monotonic, in seconds. ``is_abandoned`` means that the gateway
    closed the connection, because the caller left or the deadline passed.
    """

    call: Call
    sent_s: float
    ended_s: float
    is_abandoned: bool = False


class CrashWatch:
    """Checks endpoints whose connections break during requests.

    :param pool: opens connections to endpoints.
    :param directory: says whether an endpoint is expected to run.
    :param metrics: counters.
    :param report: gets a crashed endpoint and the requests that it ran.
    """

    def __init__(
        self,
        pool: ConnectionPool,
        directory: EndpointDirectory,
        metrics: Metrics,
        report: Callable[[EndpointEntry, Sequence[InterruptedRun]], None],
    ) -> None:
        self._pool = pool
        self._directory = directory
        self._metrics = metrics
        self._report = report
        self._runs: dict[str, list[InterruptedRun]] = {}
        self._checks: dict[str, asyncio.Task[bool]] = {}

    def abandon(
        self, call: Call, endpoint: EndpointEntry, sent_s: float, now_s: float
    ) -> None:
        """Record that the gateway itself ended a request.

        :param call: the request.
        :param endpoint: endpoint that had received it.
        :param sent_s: monotonic time in seconds at which it was sent.
        :param now_s: monotonic time in seconds.
        """
        self._add(endpoint, InterruptedRun(call, sent_s, now_s, True), now_s)

    def check(
        self, call: Call, endpoint: EndpointEntry, sent_s: float, now_s: float
    ) -> asyncio.Task[bool]:
        """Check an endpoint whose connection broke during a request.

        :param call: the request.
        :param endpoint: endpoint that had received it.
        :param sent_s: monotonic time in seconds at which it was sent.
        :param now_s: monotonic time in seconds.
        :returns: task that tells whether a new connection failed.
        """
        self._add(endpoint, InterruptedRun(call, sent_s, now_s), now_s)
        task = self._checks.get(endpoint.key)
        if task is None:
            task = asyncio.create_task(self._check(endpoint))
            self._checks[endpoint.key] = task
        return task

    def forget(self, endpoint: EndpointEntry) -> None:
        """Drop the requests of an endpoint that no longer exists.

        :param endpoint: the endpoint.
        """
        self._runs.pop(endpoint.key, None)

    def _add(
        self, endpoint: EndpointEntry, run: InterruptedRun, now_s: float
    ) -> None:
        kept = [
            known
            for known in self._runs.get(endpoint.key, ())
            if not (
                known.is_abandoned and now_s - known.ended_s > ABANDONED_WATCH_S
            )
        ]
        self._runs[endpoint.key] = [*kept[-RUNS_MAX:], run]

    async def _check(self, endpoint: EndpointEntry) -> bool:
        try:
            return await self._is_unreachable(endpoint)
        finally:
            self._checks.pop(endpoint.key, None)
            self._runs.pop(endpoint.key, None)

    async def _is_unreachable(self, endpoint: EndpointEntry) -> bool:
        """Open a connection; report a crash if the endpoint refuses it."""
        try:
            connection = await self._pool.open(endpoint)
        except ServerRefusedError:
            if self._directory.is_expected_to_run(endpoint):
                self._report_crash(endpoint, time.monotonic())
            return True
        except ServerUnreachableError:
            # A silent server may have lost its link only.
            return True
        self._pool.release(endpoint, connection)
        return False

    def _report_crash(self, endpoint: EndpointEntry, now_s: float) -> None:
        runs = [
            run
            for run in self._runs.get(endpoint.key, ())
            if not run.is_abandoned or now_s - run.ended_s <= ABANDONED_WATCH_S
        ]
        self._metrics.count(Counter.ENDPOINT_CRASHED)
        _log.warning(
            'endpoint crashed',
            extra={
                'endpoint': endpoint.name,
                'requests': [run.call.request_id for run in runs],
                'fingerprints': [run.call.fingerprint for run in runs],
                'run_ms': [
                    round((run.ended_s - run.sent_s) * 1000) for run in runs
                ],
            },
        )
        self._report(endpoint, runs)
