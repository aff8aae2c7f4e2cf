"""Steps of candidates.feature; they count operations, not time."""

import hypothesis
from behave import given, then
from hypothesis import strategies

from rattanvalve import routing, views
from rattanvalve.capacity.samples import SERVICE, announce, sample_view
from rattanvalve.capacity.states import loads_of
from rattanvalve.endpointstate import EndpointState
from rattanvalve.loads import EndpointLoads
from rattanvalve.messages import View
from tests.cellsim import soak_settings


class CountedMembers:
    """Members that count their iterations."""

    def __init__(self, members):
        self.members = members
        self.list_count = 0

    def __iter__(self):
        """Count the iteration and start it."""
        self.list_count += 1
        return iter(self.members)


@given('a view whose members count how often they are listed')
def step_view(context):
    context.view = View(epoch=1, members=CountedMembers(sample_view().members))


@then('1000 lookups of owners and members list them once')
def step_lookups(context):
    for index in range(1000):
        owner = views.owner_of(context.view, f'workspace-{index}', 0)
        assert views.find_member(context.view, owner).name == owner
    assert context.view.members.list_count == 1


@then('1000 announces list them once for each lookup table')
def step_announces(context):
    loads = EndpointLoads()
    for _ in range(1000):
        loads.report(announce(sample_view().members[0]), 0)
        loads.set_view(context.view)
    assert context.view.members.list_count == 1


@given('{count:d} endpoints whose states count how often they are judged')
def step_endpoints(context, count):
    context.count = count
    context.described_names = []
    context.loads = loads_of(sample_view(count))
    describe = EndpointState.describe

    def counting_describe(state, now_s):
        context.described_names.append(state.announce.member.name)
        return describe(state, now_s)

    EndpointState.describe = counting_describe
    context.closers.append(lambda: setattr(EndpointState, 'describe', describe))


@then('1000 placements judge each of them at most once')
def step_placements(context):
    request = routing.PlacementRequest(service_name=SERVICE)
    for _ in range(1000):
        found = context.loads.candidates(SERVICE, frozenset(), 1)
        chosen = routing.place(request, 'affinity', found, 1)
        context.loads.started(chosen.name)
    assert len(context.described_names) <= context.count


def loads_by_name(loads, now_s):
    """Return the loads of the candidates; check the least load."""
    found = loads.candidates(SERVICE, (), now_s)
    if found:
        assert found.least_load() == min(entry.load for entry in found)
    return {entry.member.name: entry.load for entry in found}


ACTIONS = {
    'report': lambda loads, message, now_s: loads.report(message, now_s),
    'start': lambda loads, message, _: loads.started(message.member.name),
    'end': lambda loads, message, now_s: loads.finished(
        message.member.name,
        False,
        now_s,
    ),
    'fail': lambda loads, message, now_s: loads.finished(
        message.member.name,
        True,
        now_s,
    ),
    'forget': lambda loads, message, _: loads.forget(message.member.name),
    'hint': lambda loads, message, now_s: loads.hints.replace_hints(
        {message.member.name},
        now_s,
    ),
    'pause': lambda _loads, _message, _now_s: None,
}


@then('random reports, requests and pauses give the same candidates')
def step_same(context):
    members = sample_view(3).members[:3]
    step = strategies.tuples(
        strategies.sampled_from(members),
        strategies.sampled_from((*ACTIONS, 'report', 'fail')),
        # Whole seconds exceed the step of 0.1 s in a slow start.
        strategies.integers(0, 7),
    )

    @soak_settings
    @hypothesis.given(strategies.lists(step, min_size=20, max_size=60))
    def soak(steps):
        cached, uncached, now_s = EndpointLoads(), EndpointLoads(), 0
        for member, action, wait_s in steps:
            now_s += wait_s
            for loads in (cached, uncached):
                ACTIONS[action](loads, announce(member), now_s)
            uncached._candidate_cache.clear()
            assert loads_by_name(cached, now_s) == loads_by_name(
                uncached, now_s
            )

    soak()
