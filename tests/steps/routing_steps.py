"""Steps of routing.feature."""

from collections import Counter as CountTable

from behave import given, then

from rattanvalve.loads import EndpointLoad
from rattanvalve.messages import Member
from rattanvalve.routing import (
    PLACEMENT_POLICIES,
    PlacementRequest,
    make_least_loaded,
    make_round_robin,
    place,
)


@given('endpoints with loads {loads}')
def step_loads(context, loads):
    context.candidates = [
        EndpointLoad(member=Member(name=f's-{index}'), load=float(load))
        for index, load in enumerate(loads.split())
    ]


def chosen_names(policy, candidates, count, **fields):
    """Return the names of the endpoints of successive placements."""
    request = PlacementRequest(service_name='s', **fields)
    return [place(request, policy, candidates, 0).name for _ in range(count)]


@then('affinity for {last} with {tokens:d} prompt tokens chooses {kind}')
def step_affinity(context, last, tokens, kind):
    chosen = chosen_names(
        'affinity',
        context.candidates,
        20,
        last_endpoint=last,
        prompt_tokens=tokens,
    )
    assert (set(chosen) == {last}) == (kind == 'last'), chosen


@then('least_loaded is repeatable, prefers low loads, and never takes s-2')
def step_least(context):
    runs = [
        chosen_names(make_least_loaded(3), context.candidates, 300)
        for _ in range(2)
    ]
    assert runs[0] == runs[1]
    counts = CountTable(runs[0])
    assert counts['s-0'] > counts['s-1']
    assert set(counts) == {'s-0', 's-1'}


@then('round_robin gives s-0 s-1 s-2 s-0, and skips a missing one')
def step_round_robin(context):
    policy = make_round_robin()
    chosen = chosen_names(policy, context.candidates, 4)
    assert chosen == ['s-0', 's-1', 's-2', 's-0']
    context.candidates.pop(1)
    assert chosen_names(policy, context.candidates, 2) == ['s-2', 's-0']


@then('every policy gives nothing for no candidates')
def step_nothing(context):
    request = PlacementRequest(service_name='s')
    for policy in (*PLACEMENT_POLICIES, 'unknown'):
        assert place(request, policy, [], 0) is None
