"""Decides whether a program may start while callers compete for endpoints.

Endpoints serve in order of arrival, so every program that starts at a full
service delays all that run there. A start is therefore refused while the
service is fuller than the start's bound.
"""

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from rattanvalve.gateway.balancing.start_bounds import Start, start_bound
from rattanvalve.gateway.balancing.workspace_use import WorkspaceUse
from rattanvalve.gateway.calls import Call, Refusal
from rattanvalve.gateway.loads import LoadTable
from rattanvalve.gateway.placement import Demand
from rattanvalve.gateway.return_schedule import ReturnSchedule
from rattanvalve.resultcodes import ResultCode
from rattanvalve.sharedstate.endpoints import EndpointEntry

__all__ = ('Admission', 'Decision', 'admission_fields', 'expected_fullness')

#: Age up to which a load report counts for a decision.
REPORT_MAX_AGE_S = 1.0
#: Share of the slots of a service whose endpoints must have reported. With
#: fewer, the gateway knows too little to refuse anything.
REPORTED_SHARE_MIN = 0.5
#: Turns of an average program and of a short one, which hold a slot one after
#: the other.
TURNS_PER_PROGRAM = 6
TURNS_MIN = 4
#: Shortest delay that a refused start is told, about the time in which a
#: running program ends a turn.
RETRY_AFTER_MIN_S = 0.25
#: Share of the time that a program has left for which its caller waits before
#: it sends a refused start again.
KEPT_DELAY_SHARE = 1 / 3


@dataclass(frozen=True, slots=True)
class Decision:
    """Decision on a start and what it was made from, for the log.

    ``fullness`` is the expected number of requests per slot of the service;
    ``None`` if too few endpoints have reported. The start is refused if it is
    above ``bound``.
    """

    fullness: float | None = None
    bound: float | None = None
    used_percent: int | None = None
    refusal: Refusal | None = None


class Admission:
    """Admits starts of programs, by the load that this gateway believes.

    :param loads: loads of the endpoints.
    :param gateway_count: returns the number of gateways that share the
        endpoints, this one included.
    """

    def __init__(
        self, loads: LoadTable, gateway_count: Callable[[], int]
    ) -> None:
        self._loads = loads
        self._gateway_count = gateway_count
        self._use = WorkspaceUse()
        self._schedule = ReturnSchedule()

    def record_use(
        self, workspace: str, used_percent: int, now_s: float
    ) -> None:
        """Record how much of its rate a workspace uses.

        :param workspace: name of the workspace.
        :param used_percent: recent use in percent of the rate.
        :param now_s: monotonic time in seconds.
        """
        self._use.record(workspace, used_percent, now_s)

    def decide(
        self,
        call: Call,
        demand: Demand,
        endpoints: Sequence[EndpointEntry],
        now_s: float,
        *,
        is_first: bool,
    ) -> Decision:
        """Decide whether a program may start now.

        :param call: first request of the program.
        :param demand: resources that the request needs.
        :param endpoints: usable endpoints of the service.
        :param now_s: monotonic time in seconds.
        :param is_first: whether the workspace goes before all others.
        :returns: the decision, with a refusal if the program may not start.
        """
        used_percent = self._use.used_percent(call.workspace_name, now_s)
        fullness = expected_fullness(endpoints, self._loads, now_s)
        start = Start(
            priority=call.priority,
            is_first=is_first,
            finish_ms=call.turn.finish_ms,
            least_ms=TURNS_MIN * _idle_hold_ms(demand, fullness),
            used_percent=used_percent,
        )
        bound = start_bound(start)
        refusal = None
        if fullness is not None and fullness > bound:
            slot_count = sum(endpoint.slots for endpoint in endpoints)
            hold_ms = _idle_hold_ms(demand, fullness)
            interval_s = TURNS_PER_PROGRAM * hold_ms / 1000 / slot_count
            surplus_count = (fullness - bound) * slot_count
            refusal = Refusal(
                ResultCode.SERVICE_FULL,
                self._delay_s(call, demand, interval_s, surplus_count, now_s),
            )
        return Decision(fullness, bound, used_percent, refusal)

    def _delay_s(
        self,
        call: Call,
        demand: Demand,
        interval_s: float,
        surplus_count: float,
        now_s: float,
    ) -> float:
        """Compute when a refused start may return.

        The surplus must end first; then each gateway gets its share of the
        programs that the service can take. A delay for which the caller does
        not wait takes no place in the schedule.
        """
        finish_ms = call.turn.finish_ms
        remaining_s = (
            call.deadline_s - now_s if finish_ms is None else finish_ms / 1000
        )
        return self._schedule.delay_s(
            demand.service,
            1 / interval_s / self._gateway_count(),
            now_s + max(surplus_count * interval_s, RETRY_AFTER_MIN_S),
            now_s,
            kept_max_s=remaining_s * KEPT_DELAY_SHARE,
        )


def admission_fields(decision: Decision) -> dict[str, float | None]:
    """Return the fields of a decision in the log line of its request.

    :param decision: the decision.
    :returns: values by field name.
    """
    fullness, bound = decision.fullness, decision.bound
    return {
        'fullness': fullness and round(fullness, 2),
        'start_bound': bound and round(bound, 2),
        'used_percent': decision.used_percent,
    }


def expected_fullness(
    endpoints: Sequence[EndpointEntry], loads: LoadTable, now_s: float
) -> float | None:
    """Estimate how full a service is.

    Endpoints without a recent report do not count. A report whose time is in
    the future is as good as none.

    :param endpoints: usable endpoints of the service.
    :param loads: loads of the endpoints.
    :param now_s: monotonic time in seconds.
    :returns: expected requests per slot; ``None`` if too few endpoints have
        reported.
    """
    known_slots = 0
    reported_slots = 0
    expected_count: float = 0
    for endpoint in endpoints:
        load = loads.get(endpoint)
        known_slots += endpoint.slots
        if 0 <= load.report_age_s(now_s) <= REPORT_MAX_AGE_S:
            reported_slots += endpoint.slots
            expected_count += load.expected_count(now_s)
    if not reported_slots or reported_slots < known_slots * REPORTED_SHARE_MIN:
        return None
    return expected_count / reported_slots


def _idle_hold_ms(demand: Demand, fullness: float | None) -> float:
    """Estimate for how long a request would hold a slot on an idle server.

    The measured time of a request includes its wait in the queue of the
    endpoint, which grows with the fullness.
    """
    return demand.costs.hold_ms / max(fullness or 0, 1)
