"""Admits new work to services of which some endpoints state limits.

The requests that such endpoints do not accept must not simply go to the
others: their queues would grow until every program is late. New programs are
therefore refused as soon as the running ones need the whole capacity.
"""

from collections.abc import Callable, Sequence

from rattanvalve.gateway.calls import CONTINUATION_RANK, Call, Refusal
from rattanvalve.gateway.endpoint_tables import EndpointTables
from rattanvalve.gateway.placement import Demand
from rattanvalve.gateway.return_schedule import ReturnSchedule
from rattanvalve.programdemand import ProgramDemand
from rattanvalve.resultcodes import ResultCode
from rattanvalve.sharedstate.endpoints import EndpointEntry

__all__ = ('ServiceCapacity',)

#: Longest queue, in requests per slot, in which new work of the highest
#: priority is put, and by how much it is shorter for each rank below.
START_QUEUE_MAX = 0.7
START_QUEUE_STEP = 0.2
#: Capacity in programs that must stay free for each priority rank below the
#: highest when a program starts.
PRIORITY_HEADROOM = 0.5
#: Wait for a token from which a request counts as short of capacity.
SHORTAGE_WAIT_MS = 200
#: Shortest delay that a refused request is told, about the time in which
#: running requests free a slot.
RETRY_AFTER_MIN_S = 0.5


class ServiceCapacity:
    """Forecasts what running programs need, by service.

    :param tables: loads and limits of the endpoints.
    :param gateway_count: returns the number of gateways that share the
        endpoints, this one included.
    """

    def __init__(
        self, tables: EndpointTables, gateway_count: Callable[[], int]
    ) -> None:
        self._loads = tables.loads
        self._limits = tables.limits
        self._gateway_count = gateway_count
        self._schedule = ReturnSchedule()
        self._running: dict[str, ProgramDemand] = {}

    def is_short(self, candidates: Sequence[EndpointEntry]) -> bool:
        """Return whether some endpoints of a service state limits.

        :param candidates: endpoints of the service.
        :returns: whether new work may have to be refused.
        """
        return any(
            self._limits.rate_per_s(endpoint) is not None
            for endpoint in candidates
        )

    def is_queue_full(
        self, endpoint: EndpointEntry, rank: int, now_s: float
    ) -> bool:
        """Check whether the queue of an endpoint is too long for new work.

        :param endpoint: endpoint of a service that is short of capacity.
        :param rank: rank of the request.
        :param now_s: monotonic time in seconds.
        :returns: whether the endpoint must not get the request; always false
            for one that continues a program.
        """
        if rank == CONTINUATION_RANK:
            return False
        queue_max = max(START_QUEUE_MAX - START_QUEUE_STEP * (rank - 1), 0)
        count = self._loads.get(endpoint).expected_count(now_s)
        return count >= endpoint.slots * (1 + queue_max)

    def has_room_for_start(
        self,
        call: Call,
        demand: Demand,
        candidates: Sequence[EndpointEntry],
        now_s: float,
    ) -> bool:
        """Check whether running programs leave room for another one.

        :param call: request that starts a program.
        :param demand: resources that the request needs.
        :param candidates: endpoints of a service that is short of capacity.
        :param now_s: monotonic time in seconds.
        :returns: whether the program may start.
        """
        deficit = self._programs(demand.service, now_s).start_deficit(
            0,
            self._own_rate_per_s(demand, candidates),
            now_s,
            PRIORITY_HEADROOM * call.priority,
        )
        return deficit <= 0

    def record(
        self, call: Call, service: str, limit_wait_ms: int, now_s: float
    ) -> None:
        """Count a request that gets an endpoint.

        :param call: the request.
        :param service: service of the endpoint.
        :param limit_wait_ms: time that the request waits for a token.
        :param now_s: monotonic time in seconds.
        """
        programs = self._programs(service, now_s)
        if call.is_program_start:
            programs.record_start(now_s)
        elif call.rank == CONTINUATION_RANK:
            programs.record_continuation(now_s)
        if limit_wait_ms > SHORTAGE_WAIT_MS:
            programs.record_shortage(now_s)

    def refuse(
        self,
        call: Call,
        demand: Demand,
        candidates: Sequence[EndpointEntry],
        now_s: float,
    ) -> Refusal:
        """Refuse a request that no endpoint can take within the limits.

        :param call: the request.
        :param demand: resources that the request needs.
        :param candidates: endpoints of the service; at least one.
        :param now_s: monotonic time in seconds.
        :returns: refusal with the time after which a retry can be served.
        """
        free_s = min(
            self._limits.exhausted_until_s(endpoint, call.rank)
            for endpoint in candidates
        )
        delay_s = self._schedule.delay_s(
            demand.service,
            self._own_rate_per_s(demand, candidates),
            max(free_s, now_s + RETRY_AFTER_MIN_S),
            now_s,
        )
        return Refusal(ResultCode.ENDPOINTS_LIMITED, delay_s)

    def _programs(self, service: str, now_s: float) -> ProgramDemand:
        return self._running.setdefault(service, ProgramDemand(now_s))

    def _own_rate_per_s(
        self, demand: Demand, candidates: Sequence[EndpointEntry]
    ) -> float:
        """Estimate this gateway's part of what a service can take."""
        total_per_s = sum(
            self._rate_per_s(demand, endpoint) for endpoint in candidates
        )
        return total_per_s / self._gateway_count()

    def _rate_per_s(self, demand: Demand, endpoint: EndpointEntry) -> float:
        limit_per_s = self._limits.rate_per_s(endpoint)
        if limit_per_s is not None:
            return limit_per_s
        return endpoint.slots / demand.costs.hold_ms * 1000
