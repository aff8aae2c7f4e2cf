"""Steps of gateway/endpoint_health.feature."""

from behave import given, then, when

from tests.placement_simulation import PlacementSimulation

FAULTS = {'fail': 'fail', 'hang': 'hang'}
FAULTY_PHASE_S = 20


@given('{count:d} endpoints, of which {few:d} {fault} 45 % of their requests')
def step_failing(context, count, few, fault):
    context.simulation = PlacementSimulation(count, few, FAULTS[fault], 0.45)


@given('{count:d} endpoints, of which {few:d} are {times:d} times as slow')
def step_slow(context, count, few, times):
    context.simulation = PlacementSimulation(count, few, 'slow', times)


@when('{per_s:d} requests a second come for {length_s:d} seconds')
def step_run_load(context, per_s, length_s):
    context.simulation.run(per_s, length_s)


def faulty_percent(context):
    """Compute the percentage of requests that met a fault."""
    simulation = context.simulation
    return 100 * simulation.faulty_request_count / len(simulation.sent_to)


@then('at most {most:d} % of the requests meet a fault')
def step_at_most(context, most):
    assert faulty_percent(context) <= most, faulty_percent(context)


@then('more than {least:d} % of the requests meet a fault')
def step_more(context, least):
    assert faulty_percent(context) > least, faulty_percent(context)


@then('endpoints that were faulty get work again after {length_s:d} seconds')
def step_used_again(context, length_s):
    simulation = context.simulation
    simulation.severity = 0
    end_s = FAULTY_PHASE_S
    simulation.run(60, length_s, start_s=end_s)
    simulation.sent_to.clear()
    simulation.run(60, length_s, start_s=end_s + length_s)
    assert simulation.faulty <= set(simulation.sent_to), set(simulation.sent_to)
