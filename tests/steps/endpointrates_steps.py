"""Steps of turnstore/endpointrates.feature; time and messages are simulated."""

import random
from collections import Counter as CountTable

from behave import given, then, when

from rattanvalve.standins.limits import allowed_count, busiest_window
from rattanvalve.turn_messages import EndpointLimit
from tests.limited_endpoints import KEY, Stores, ask

SEED = 11
LOAD_S = 30
OLD_LIMIT_FACTOR = 3
CONTINUATION = 'continuation'
URGENT_START = 'urgent start'
START = 'start'


@given('3 turn stores and an endpoint with a limit of {limit:g} a second')
def step_stores(context, limit):
    context.stores = Stores(('a', 'b', 'c'))
    context.limit_per_s = limit


def break_stores(context, trouble, second):
    """Apply a trouble in the given second of the load."""
    stores = context.stores
    names = [known.name for known in stores.members()]
    if trouble == 'each store restarts once' and second in {8, 14, 20}:
        stores.restart(names[(second - 8) // 6])
    if trouble == 'the first store stops answering' and second == 5:
        stores.silent.add(context.first)
    if trouble == 'two stores are replaced' and second in {8, 16}:
        stores.replace(context.first if second == 8 else names[0])


def limit_known_to(context, trouble, gateway):
    """Return the limit that a gateway knows."""
    is_old = trouble == 'half of the gateways know an old limit' and gateway % 2
    return context.limit_per_s * OLD_LIMIT_FACTOR if is_old else None


@when(
    '{gateways:d} gateways ask for a token {asks:d} times a second for 30 s',
)
def step_asks(context, gateways, asks):
    rng = random.Random(SEED)
    context.asks = sorted(
        (rng.uniform(0, LOAD_S), gateway)
        for gateway in range(gateways)
        for _ in range(asks * LOAD_S)
    )


@when('meanwhile {trouble}')
def step_trouble(context, trouble):
    context.grants_s = []
    context.first = context.stores.members()[0].name
    seconds = iter(range(LOAD_S + 1))
    second = next(seconds)
    for now_s, gateway in context.asks:
        context.stores.now_s = now_s
        while second <= now_s:
            break_stores(context, trouble, second)
            second = next(seconds)
        if limit_known_to(context, trouble, gateway) is not None:
            tell_old_limit(context, now_s)
        if ask(context, context.limit_per_s).is_granted:
            context.grants_s.append(now_s)


def tell_old_limit(context, now_s):
    """Let a gateway tell all stores a limit that it heard 5 s ago."""
    report = EndpointLimit(
        endpoint=KEY,
        is_limited=True,
        rate_per_s=context.limit_per_s * OLD_LIMIT_FACTOR,
        age_ms=5000,
    )
    for rates in context.stores.rates.values():
        rates.limits.merge_reports((report,), now_s)


@then('no 4 s have more grants than the limit allows')
def step_grants(context):
    most = busiest_window(context.grants_s, 0)
    assert most <= allowed_count(context.limit_per_s), most


@then('the grants use at least {share:d} percent of the limit')
def step_share(context, share):
    expected = context.limit_per_s * LOAD_S * share / 100
    assert len(context.grants_s) >= expected, len(context.grants_s)


@when('starts, urgent starts and continuations each ask 5 times a second')
def step_ranks(context):
    rng = random.Random(SEED)
    kinds = {
        START: {'is_start': True, 'priority': 3},
        URGENT_START: {'is_start': True},
        CONTINUATION: {'wait_max_ms': 300},
    }
    asks = sorted(
        (rng.uniform(0, LOAD_S), kind) for kind in kinds for _ in range(150)
    )
    context.granted = CountTable()
    for now_s, kind in asks:
        context.stores.now_s = now_s
        grant = ask(context, context.limit_per_s, **kinds[kind])
        context.granted[kind] += grant.is_granted


@then('continuations get most tokens, then urgent starts, then the others')
def step_order(context):
    granted = context.granted
    assert granted[CONTINUATION] > 0.7 * granted.total(), granted
    assert granted[URGENT_START] >= granted[START], granted
