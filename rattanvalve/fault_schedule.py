"""Seeded schedules of faults: kind, targets and duration of each fault."""

from collections.abc import Callable
from dataclasses import dataclass, replace
from random import Random

from rattanvalve.confirmations import LEASE_S
from rattanvalve.fleet_settings import (
    FleetPlan,
    peer_link,
    server_link,
    server_name,
    store_link,
)

__all__ = (
    'FAULT_KINDS',
    'FaultKind',
    'PlannedFault',
    'plan_schedule',
)

_PAIR_PROBABILITY = 0.3
_REPEAT_PROBABILITY = 0.2

#: Lists the possible targets; each is a tuple of the names of processes or
#: links that the fault affects together.
_Targets = Callable[[FleetPlan], list[tuple[str, ...]]]


@dataclass(frozen=True, slots=True, kw_only=True)
class FaultKind:
    """A kind of fault.

    ``action`` is the key of its action in ``fault_actions.ACTIONS``;
    ``min_duration_s`` and ``max_duration_s`` bound its duration. A planned kind
    must not interrupt any request.
    """

    action: str
    targets: _Targets
    min_duration_s: float = 1
    max_duration_s: float = 6
    is_planned: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class PlannedFault:
    """A fault of a schedule.

    Faults with the same ``round_index`` begin at the same time.
    """

    round_index: int
    kind: str
    targets: tuple[str, ...]
    duration_s: float


def plan_schedule(
    plan: FleetPlan,
    seed: int,
    rounds: int,
    kinds: tuple[str, ...] = (),
) -> list[PlannedFault]:
    """Generate the schedule of faults of a run.

    :param plan: names of processes and links.
    :param seed: seed; equal seeds give equal schedules.
    :param rounds: number of rounds; a round has one fault or two concurrent
        ones, and may repeat the faults of the previous round.
    :param kinds: kinds to use in rotation, one per round and without repeated
        rounds; by default all kinds in random order.
    :returns: faults in order of their rounds.
    """
    rng = Random(f'faults/{seed}')
    unused_kinds: list[str] = []
    schedule: list[PlannedFault] = []
    index = 0
    while index < rounds:
        is_pair = not kinds and rng.random() < _PAIR_PROBABILITY
        names = [
            _next_kind(unused_kinds, rng, kinds) for _ in range(1 + is_pair)
        ]
        faults = [_plan_fault(plan, name, index, rng) for name in names]
        schedule.extend(faults)
        index += 1
        if not kinds and index < rounds and rng.random() < _REPEAT_PROBABILITY:
            schedule.extend(
                replace(fault, round_index=index) for fault in faults
            )
            index += 1
    return schedule


def _next_kind(
    unused_kinds: list[str],
    rng: Random,
    kinds: tuple[str, ...],
) -> str:
    # Each kind is used once before any is used again.
    if not unused_kinds:
        unused_kinds.extend(reversed(kinds or tuple(FAULT_KINDS)))
        if not kinds:
            rng.shuffle(unused_kinds)
    return unused_kinds.pop()


def _plan_fault(
    plan: FleetPlan,
    name: str,
    index: int,
    rng: Random,
) -> PlannedFault:
    kind = FAULT_KINDS[name]
    return PlannedFault(
        round_index=index,
        kind=name,
        targets=rng.choice(kind.targets(plan)),
        duration_s=rng.uniform(kind.min_duration_s, kind.max_duration_s),
    )


def _entries(plan: FleetPlan) -> list[tuple[str, ...]]:
    return [(entry.name,) for entry in plan.entries]


def _endpoints(plan: FleetPlan) -> list[tuple[str, ...]]:
    return [(endpoint.name,) for endpoint in plan.endpoints]


def _servers(plan: FleetPlan) -> list[tuple[str, ...]]:
    return [(server_name(endpoint.name),) for endpoint in plan.endpoints]


def _entry_peers(plan: FleetPlan) -> list[tuple[str, ...]]:
    return [(peer_link(entry.name),) for entry in plan.entries]


def _endpoint_peers(plan: FleetPlan) -> list[tuple[str, ...]]:
    return [(peer_link(endpoint.name),) for endpoint in plan.endpoints]


def _server_links(plan: FleetPlan) -> list[tuple[str, ...]]:
    return [(server_link(endpoint.name),) for endpoint in plan.endpoints]


def _store_links(plan: FleetPlan) -> list[tuple[str, ...]]:
    return [(store_link(entry.name),) for entry in plan.entries]


def _isolated_entries(plan: FleetPlan) -> list[tuple[str, ...]]:
    return [
        (peer_link(entry.name), store_link(entry.name))
        for entry in plan.entries
    ]


def _zones(plan: FleetPlan) -> list[tuple[str, ...]]:
    zones = {entry.zone for entry in plan.entries}
    return [_zone_processes(plan, zone) for zone in sorted(zones)]


def _zone_processes(plan: FleetPlan, zone: str) -> tuple[str, ...]:
    names = [entry.name for entry in plan.entries if entry.zone == zone]
    for endpoint in plan.endpoints:
        if endpoint.zone == zone:
            names.extend((endpoint.name, server_name(endpoint.name)))
    return tuple(names)


def _all_processes(plan: FleetPlan) -> list[tuple[str, ...]]:
    members = (*plan.entries, *plan.endpoints)
    return [tuple(member.name for member in members)]


def _store(_plan: FleetPlan) -> list[tuple[str, ...]]:
    return [('store',)]


def _operators(_plan: FleetPlan) -> list[tuple[str, ...]]:
    return [('operators',)]


FAULT_KINDS: dict[str, FaultKind] = {
    'kill_entry': FaultKind(action='kill', targets=_entries),
    'kill_endpoint': FaultKind(action='kill', targets=_endpoints),
    'kill_server': FaultKind(action='kill', targets=_servers),
    'kill_zone': FaultKind(action='kill', targets=_zones),
    # Longer than the lease, so that the owner resumes after its lease has
    # expired.
    'pause_entry': FaultKind(
        action='pause',
        targets=_entries,
        min_duration_s=LEASE_S + 1,
        max_duration_s=LEASE_S + 4,
    ),
    'pause_endpoint': FaultKind(
        action='pause',
        targets=_endpoints,
        max_duration_s=LEASE_S + 2,
    ),
    'cut_entry': FaultKind(action='cut', targets=_entry_peers),
    'cut_endpoint': FaultKind(action='cut', targets=_endpoint_peers),
    'cut_server': FaultKind(action='cut', targets=_server_links),
    'isolate_entry': FaultKind(
        action='cut',
        targets=_isolated_entries,
        max_duration_s=LEASE_S + 4,
    ),
    'cut_store': FaultKind(
        action='cut',
        targets=_store_links,
        max_duration_s=12,
    ),
    'stall_entry': FaultKind(action='stall', targets=_entry_peers),
    'stall_endpoint': FaultKind(action='stall', targets=_endpoint_peers),
    'stall_server': FaultKind(action='stall', targets=_server_links),
    'one_way_entry': FaultKind(action='lose_replies', targets=_entry_peers),
    'one_way_endpoint': FaultKind(
        action='lose_replies',
        targets=_endpoint_peers,
    ),
    'delay_endpoint': FaultKind(action='delay', targets=_endpoint_peers),
    'store_down': FaultKind(
        action='store_down',
        targets=_store,
        max_duration_s=14,
    ),
    'store_slow': FaultKind(action='store_slow', targets=_store),
    'store_replies_lost': FaultKind(action='store_lose', targets=_store),
    'operators_race': FaultKind(
        action='race',
        targets=_operators,
        is_planned=True,
    ),
    # Short, so that programs of the key are still running when it is
    # withdrawn.
    'key_withdrawn': FaultKind(
        action='churn',
        targets=_operators,
        max_duration_s=3,
        is_planned=True,
    ),
    'rolling_restart': FaultKind(
        action='restart',
        targets=_all_processes,
        min_duration_s=0,
        max_duration_s=0,
        is_planned=True,
    ),
}
