"""Steps of gateway/costs.feature."""

import random
from dataclasses import replace

from behave import given, then, when

from rattanvalve.channels import Address
from rattanvalve.gateway.costs import CostTable
from rattanvalve.gateway.loads import LoadTable, PromptPart
from rattanvalve.gateway.placement import Demand, choose_endpoint
from rattanvalve.sharedstate.endpoints import EndpointEntry

SLOTS = 16
TOKENS = 10_000
BASE_MS = 20.0
HOLD_MS = 350.0


def endpoint(name, zone='z'):
    """Create an endpoint of an engine service."""
    return EndpointEntry(
        name=name,
        service='models',
        address=Address(name, 1),
        zone=zone,
        slots=SLOTS,
        born_ms=1,
    )


def record_requests(loads, entry, count):
    """Record a number of requests as in flight at an endpoint."""
    for _ in range(count):
        loads.record_start(entry)


@given('an engine that reads {speed:g} tokens a millisecond')
def step_engine(context, speed):
    context.rng = random.Random(3)
    context.speed = speed
    context.costs = CostTable().get('models', is_generation=True)


@when('{count:d} of its answers have been seen')
def step_answers(context, count):
    for _ in range(count):
        uncached_tokens = context.rng.choice((0, 500, 3000, 13_000))
        wait_ms = context.rng.expovariate(1 / BASE_MS)
        duration_ms = uncached_tokens / context.speed + wait_ms
        context.costs.record_head_latency(uncached_tokens, duration_ms)
        context.costs.record_duration(duration_ms + HOLD_MS)


@when('{count:d} answers without unread tokens have been seen')
def step_cached_answers(context, count):
    for _ in range(count):
        context.costs.record_head_latency(
            0, context.rng.expovariate(1 / BASE_MS)
        )


@then("reading {tokens:d} tokens is expected to take that engine's time")
def step_learned(context, tokens):
    expected_ms = context.costs.read_ms_per_token * tokens
    true_ms = tokens / context.speed
    # The random waits before prefill differ by some milliseconds.
    assert abs(expected_ms - true_ms) < 0.2 * true_ms + 2, expected_ms


@then('reading {tokens:d} tokens is expected to take {duration_ms:d} ms')
def step_default(context, tokens, duration_ms):
    assert abs(context.costs.read_ms_per_token * tokens - duration_ms) < 0.001


@when(
    'one of two engines has read {tokens:d} tokens and has {count:d} requests '
    'of 16 slots',
)
def step_two(context, tokens, count):
    parts = (PromptPart('shared', tokens),)
    context.endpoints = [endpoint('has read it'), endpoint('is idle')]
    context.loads = LoadTable()
    context.loads.get(context.endpoints[0]).record_prompt(parts, 1_000_000)
    record_requests(context.loads, context.endpoints[0], count)
    context.demand = Demand(
        'models',
        is_generation=True,
        parts=parts,
        costs=context.costs,
    )


def choose(context, demand):
    """Return the name of the chosen endpoint."""
    chosen = choose_endpoint(demand, context.endpoints, context.loads, 'z', 0)
    return chosen.name


@then('a request with these tokens goes to the engine that {place}')
def step_place(context, place):
    assert choose(context, context.demand) == place


@given(
    'a near endpoint with {count:d} requests of 16 slots and an idle far one'
)
def step_near(context, count):
    context.endpoints = [endpoint('near'), endpoint('far', zone='other')]
    context.loads = LoadTable()
    record_requests(context.loads, context.endpoints[0], count)
    costs = CostTable().get('models', is_generation=True)
    costs.hold_ms = 2 * HOLD_MS
    context.demand = Demand('models', is_generation=True, costs=costs)


@then('a request of {size_kb:d} kB goes to the {place} one')
def step_payload(context, size_kb, place):
    demand = replace(context.demand, payload_bytes=size_kb * 1000)
    assert choose(context, demand) == place
