"""Steps of gateway/endpoint_health.feature."""

from behave import given, then, when

from tests.placement_world import PlacementWorld

FAULTS = {'fail': 'fail', 'hang': 'hang'}
SEARCH_S = 20


@given('{count:d} endpoints, of which {few:d} {fault} 45 % of their requests')
def step_failing(context, count, few, fault):
    context.world = PlacementWorld(count, few, FAULTS[fault], 0.45)


@given('{count:d} endpoints, of which {few:d} are {times:d} times as slow')
def step_slow(context, count, few, times):
    context.world = PlacementWorld(count, few, 'slow', times)


@when('{per_s:d} requests a second come for {length_s:d} seconds')
def step_play(context, per_s, length_s):
    context.world.play(per_s, length_s)


def fault_percent(context):
    """Give the part of the requests that met a fault."""
    world = context.world
    return 100 * world.fault_count / len(world.sent_to)


@then('at most {most:d} % of the requests meet a fault')
def step_at_most(context, most):
    assert fault_percent(context) <= most, fault_percent(context)


@then('more than {least:d} % of the requests meet a fault')
def step_more(context, least):
    assert fault_percent(context) > least, fault_percent(context)


@then('endpoints that were faulty get work again after {length_s:d} seconds')
def step_again(context, length_s):
    world = context.world
    world.strength = 0
    end_s = SEARCH_S
    world.play(60, length_s, start_s=end_s)
    world.sent_to.clear()
    world.play(60, length_s, start_s=end_s + length_s)
    assert world.faulty <= set(world.sent_to), set(world.sent_to)
