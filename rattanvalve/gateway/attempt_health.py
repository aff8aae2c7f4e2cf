"""Records the outcome of each attempt in the health of its endpoint."""

import asyncio
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from enum import Enum, auto
from http import HTTPStatus

from rattanvalve.gateway.calls import Call
from rattanvalve.gateway.costs import ServiceCosts
from rattanvalve.gateway.endpoint_health import AverageDurations, EndpointHealth
from rattanvalve.gateway.loads import EndpointLoad
from rattanvalve.gateway.placement import Demand
from rattanvalve.gateway.trace import Trace
from rattanvalve.logs import LogPart, part_logger
from rattanvalve.sharedstate.endpoints import EndpointEntry

__all__ = ('HealthRecorder', 'SentRequest', 'avoid')

#: A request that the caller cancels after this time or later counts as a
#: failure of the endpoint, because the endpoint probably hangs.
HANG_THRESHOLD_S = 1.5

_log = part_logger(LogPart.GATEWAY)


class _Outcome(Enum):
    """Result of a request for the health statistics of its endpoint."""

    SERVED = auto()
    FAILED = auto()
    #: The caller cancelled before ``HANG_THRESHOLD_S``; not counted.
    LEFT_EARLY = auto()


@dataclass(frozen=True, slots=True)
class SentRequest:
    """Send time of a request and its expected cost at the endpoint then."""

    sent_s: float
    costs: ServiceCosts
    uncached_tokens: int
    #: Whether the endpoint was expected to have a free slot for the request.
    has_free_slot: bool

    @classmethod
    def now(
        cls,
        demand: Demand,
        endpoint: EndpointEntry,
        load: EndpointLoad,
        now_s: float,
    ) -> 'SentRequest':
        """Describe a request that is sent now.

        :param demand: resources that the request needs at the endpoint.
        :param endpoint: endpoint that receives the request.
        :param load: load of the endpoint.
        :param now_s: monotonic time in seconds.
        :returns: the sent request.
        """
        return cls(
            sent_s=now_s,
            costs=demand.costs,
            uncached_tokens=demand.uncached_tokens(load),
            has_free_slot=load.expected_count(now_s) < endpoint.slots,
        )

    def record_head_latency(self, now_s: float) -> None:
        """Record the time to the head of a stream in the cost estimate.

        A server sends the head together with the first event. Requests that
        had to queue are skipped, as their time includes the wait for a slot.

        :param now_s: monotonic time in seconds.
        """
        if self.has_free_slot:
            duration_ms = (now_s - self.sent_s) * 1000
            self.costs.record_head_latency(self.uncached_tokens, duration_ms)


class HealthRecorder:
    """Records outcomes relative to the average duration of each route."""

    def __init__(self) -> None:
        self._average_durations = AverageDurations()

    @contextmanager
    def track(
        self,
        call: Call,
        sent: SentRequest,
        health: EndpointHealth,
        trace: Trace,
    ) -> Iterator[None]:
        """Record the outcome of the enclosed exchange.

        :param call: the request.
        :param sent: send time and costs of the request.
        :param health: health of the endpoint that receives the request.
        :param trace: has the status and the completeness of the response.
        """
        health.record_sent(call.request_id, sent.sent_s)
        outcome = _Outcome.FAILED
        try:
            yield
            is_error = trace.status >= HTTPStatus.INTERNAL_SERVER_ERROR
            if not (trace.is_cut or is_error):
                outcome = _Outcome.SERVED
        except asyncio.CancelledError:
            if time.monotonic() - sent.sent_s < HANG_THRESHOLD_S:
                outcome = _Outcome.LEFT_EARLY
            raise
        finally:
            health.record_answered(call.request_id)
            self._record(call, health, outcome, sent)

    def _record(
        self,
        call: Call,
        health: EndpointHealth,
        outcome: _Outcome,
        sent: SentRequest,
    ) -> None:
        now_s = time.monotonic()
        if outcome is _Outcome.FAILED:
            health.record_failure(now_s)
        elif outcome is _Outcome.SERVED:
            duration_s = now_s - sent.sent_s
            sent.costs.record_duration(duration_s * 1000)
            slowness = self._average_durations.add(call.route.name, duration_s)
            health.record_success(slowness, now_s)


def avoid(
    endpoint: EndpointEntry, load: EndpointLoad, duration_s: float
) -> None:
    """Let placement avoid an endpoint for some time after a failure.

    :param endpoint: the endpoint.
    :param load: its load.
    :param duration_s: time in seconds.
    """
    now_s = time.monotonic()
    if load.avoided_until_s < now_s:
        _log.warning(
            'endpoint avoided',
            extra={
                'endpoint': endpoint.name,
                'duration_s': duration_s,
                'failure_ratio': round(load.health.failure_ratio(now_s), 2),
            },
        )
    load.avoided_until_s = now_s + duration_s
