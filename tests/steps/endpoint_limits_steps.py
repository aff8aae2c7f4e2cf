"""Steps of gateway/endpoint_limits.feature; time and messages are simulated."""

import itertools
import random
from unittest import mock

from behave import given, then, when

from rattanvalve.counters import Counter, Metrics
from rattanvalve.gateway import endpoint_limits
from rattanvalve.gateway.endpoint_limits import EndpointLimits
from rattanvalve.sharedstate.endpoint_limits import LimitTable
from rattanvalve.statedlimits import KnownLimit
from tests.endpoint_entries import endpoint
from tests.limited_endpoints import KEY

SEED = 11


@given('a gateway that knows a limit of {limit:g} a second since 10 s')
def step_gateway(context, limit):
    context.metrics = Metrics()
    context.limits = EndpointLimits(context.metrics)
    context.limits.apply_response(endpoint(), (f'{limit:g}',), -15, -10)


@when('a response to a request of {age:d} s ago states no limit')
def step_no_limit(context, age):
    # The limit was stated again 5 s ago.
    context.limits.apply_response(endpoint(), ('5',), -6, -5)
    context.limits.apply_response(endpoint(), (), -age, 0)


@then('the limit is still {limit:g} a second')
def step_still(context, limit):
    assert context.limits.rate_per_s(endpoint()) == limit


@then('there is no limit')
def step_none(context):
    assert context.limits.rate_per_s(endpoint()) is None


@given('two gateways and a turn store that exchange limits')
def step_tables(context):
    context.tables = [LimitTable() for _ in range(3)]
    context.now_s = 100.0


@when('one hears a limit of 5 and a second later the other hears none')
def step_hear_both(context):
    first, _, other = context.tables
    first.merge(KEY, KnownLimit(5, context.now_s), context.now_s)
    context.now_s += 1
    other.merge(KEY, KnownLimit(None, context.now_s), context.now_s)


@when('the first one hears a limit of 3')
def step_hear_three(context):
    context.now_s += 0.1
    known = KnownLimit(3, context.now_s)
    context.tables[0].merge(KEY, known, context.now_s)


def exchange_all(context, rng):
    """Send the limits of all tables to all others, in random order."""
    pairs = list(itertools.permutations(context.tables, 2))
    rng.shuffle(pairs)
    # Each table hears from both others at least once after all have sent.
    for sender, receiver in (
        *pairs,
        *itertools.permutations(context.tables, 2),
    ):
        context.now_s += 0.001
        reports = sender.reports(context.now_s)
        receiver.merge_reports(reports, context.now_s)


@then('all of them know of no limit, in any order of the messages')
def step_all_none(context):
    exchange_all(context, random.Random(SEED))
    assert all(table.get(KEY).rate_per_s is None for table in context.tables)


@then('all of them know a limit of {limit:g}, in any order of the messages')
def step_all_limit(context, limit):
    exchange_all(context, random.Random(SEED))
    rates = [table.get(KEY).rate_per_s for table in context.tables]
    assert set(rates) == {limit}, rates


@when('the endpoint starts again at its address')
def step_restart(context):
    context.restarted = endpoint(born_ms=2)


@then('the new one has no limit')
def step_new(context):
    assert context.limits.rate_per_s(context.restarted) is None


@when('a response states the limits {texts}')
def step_malformed(context, texts):
    context.log = mock.Mock()
    with mock.patch.object(endpoint_limits, '_log', context.log):
        for _ in range(2):
            context.limits.apply_response(
                endpoint(), texts.split(' and '), -1, 0
            )


@then('one warning tells that it cannot be read')
def step_warning(context):
    assert context.log.warning.call_count == 1
    assert context.metrics.counts[Counter.ENDPOINT_LIMIT_MALFORMED] == 2
