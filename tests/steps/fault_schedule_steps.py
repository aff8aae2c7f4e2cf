"""Steps of fault_schedule.feature."""

from itertools import pairwise

from behave import then

from rattanvalve.fault_actions import ACTIONS
from rattanvalve.fault_schedule import FAULT_KINDS, plan_schedule
from rattanvalve.fleet_settings import plan_fleet, server_name, with_proxies
from rattanvalve.scenario import load_scenario

PLAN = with_proxies(plan_fleet(load_scenario('tidewater')))


@then('schedules of {rounds:d} rounds depend on the seed alone')
def step_seed(context, rounds):
    first = plan_schedule(PLAN, 1, rounds)
    assert first == plan_schedule(PLAN, 1, rounds)
    assert first != plan_schedule(PLAN, 2, rounds)
    assert first[-1].round_index == rounds - 1


@then('a schedule of {rounds:d} rounds uses every kind, pairs and repetitions')
def step_all(context, rounds):
    schedule = plan_schedule(PLAN, 1, rounds)
    assert {fault.kind for fault in schedule} == set(FAULT_KINDS)
    round_indexes = [fault.round_index for fault in schedule]
    assert len(round_indexes) > len(set(round_indexes))
    assert any(
        (earlier.kind, earlier.targets) == (later.kind, later.targets)
        for earlier, later in pairwise(schedule)
    )


@then('a schedule of kill_entry and store_down has them in turn')
def step_chosen(context):
    kinds = ('kill_entry', 'store_down')
    schedule = plan_schedule(PLAN, 1, 3, kinds)
    assert [fault.kind for fault in schedule] == [*kinds, 'kill_entry']


@then('every target is a process, a link, the store or the operators')
def step_targets(context):
    names = {'store', 'operators', *PLAN.routes}
    names.update(entry.name for entry in PLAN.entries)
    for endpoint in PLAN.endpoints:
        names.update((endpoint.name, server_name(endpoint.name)))
    for kind in FAULT_KINDS.values():
        assert kind.action in ACTIONS
        assert 0 <= kind.min_duration_s <= kind.max_duration_s
        for targets in kind.targets(PLAN):
            assert targets
            assert set(targets) <= names, targets
