"""Steps of gateway/endpoint_choice.feature; time and messages are simulated."""

import time
from unittest import mock

from behave import given, then, when

from rattanvalve.counters import Metrics
from rattanvalve.gateway import endpoint_choice
from rattanvalve.gateway.calls import Call, Refusal, TurnHeaders
from rattanvalve.gateway.endpoint_choice import (
    ChosenEndpoint,
    EndpointChooser,
)
from rattanvalve.gateway.endpoint_tables import EndpointTables
from rattanvalve.gateway.placement import Demand
from rattanvalve.gateway.return_schedule import ReturnSchedule
from rattanvalve.gateway.trace import Trace
from rattanvalve.resultcodes import ResultCode
from rattanvalve.sharedstate.rules import Route
from tests.endpoint_entries import endpoint
from tests.limited_endpoints import Stores, ask


def build_call(priority=0, program='p', previous='t', kind='safe'):
    """Create a request that continues a program unless told otherwise."""
    now_s = time.monotonic()
    return Call(
        request_id='r',
        method='GET',
        target='/',
        headers=[],
        body=b'',
        route=Route(
            name='r',
            host='h',
            path_prefix='/',
            kind=kind,
            timeout_ms=3000,
            target_ms=500,
            priority=1,
            services=(('app', 1),),
        ),
        workspace=None,
        received_s=now_s,
        deadline_s=now_s + 3,
        turn=TurnHeaders(
            program_id=program,
            previous_id=previous,
            budget_tokens=None,
            output_tokens_max=0,
            finish_ms=None,
            parts=(),
        ),
        priority=priority,
    )


@given('a gateway whose endpoint has no token left')
def step_exhausted(context):
    open_gateway(context, 1)


@given('a gateway with {count:d} endpoints that have no token left')
def step_many_exhausted(context, count):
    open_gateway(context, count)


def open_gateway(context, count, limit_per_s=0.2):
    """Create a gateway whose endpoints state limits."""
    now_s = time.monotonic()
    tables = EndpointTables(Metrics())
    listed = {
        f'app-{number}': endpoint(name=f'app-{number}')
        for number in range(1, count + 1)
    }
    tables.directory.update(listed.items(), now_s, is_store_stale=False)
    for entry in listed.values():
        texts = (f'{limit_per_s:g}',)
        tables.limits.apply_response(entry, texts, now_s - 1, now_s)
    context.stores = Stores(('a', 'b', 'c'))
    context.stores.relays = mock.Mock(known_count=mock.Mock(return_value=0))
    context.tables = tables
    context.chooser = EndpointChooser(tables, context.stores, 'z')


def choose(context, call, tried=()):
    """Choose an endpoint for a request."""
    return context.run(
        context.chooser.choose(call, Demand('app'), tried, Trace())
    )


@then('neither an attempt nor a repetition is sent to it')
def step_not_sent(context):
    context.refusals = [
        choose(context, build_call(program=program))
        for program in ('p', '', 'p')
    ]
    assert all(isinstance(refusal, Refusal) for refusal in context.refusals), (
        context.refusals
    )
    assert choose(context, build_call(), ('app-1',)) is None


@then('the caller gets a refusal with the time until the next token')
def step_refusal(context):
    refusal = context.refusals[0]
    assert refusal.code is ResultCode.ENDPOINTS_LIMITED
    # An empty bucket of 0.2 a second has its first token after 5 s.
    assert 4 < refusal.retry_after_s <= 5.1, refusal


@then('a request is refused after it has asked for tokens of {count:d}')
def step_few_asked(context, count):
    refusal = choose(context, build_call())
    assert refusal.code is ResultCode.ENDPOINTS_LIMITED, refusal
    asked = {
        report.endpoint
        for rates in context.stores.rates.values()
        for report in rates.limits.reports(0)
    }
    assert len(asked) == count, asked


@given('a gateway that began {count:d} programs before a limit of 1 a second')
def step_began(context, count):
    open_gateway(context, 1, limit_per_s=1)
    context.began_s = time.monotonic()
    for _ in range(count):
        context.chooser._capacity.record(
            build_start(), 'app', 0, context.began_s
        )


def build_start():
    """Create the first turn of a program."""
    return build_call(previous='', kind='stream')


def choose_at_simulated_time(context, call):
    """Choose an endpoint at the simulated time of the turn stores."""
    clock = mock.Mock()
    clock.monotonic.return_value = context.began_s + context.stores.now_s
    with mock.patch.object(endpoint_choice, 'time', clock):
        return choose(context, call)


@when('it got requests until now')
def step_taken(context):
    for _ in range(5):
        context.stores.now_s += 1
        ask(context, 1, wait_max_ms=300)
        now_s = context.began_s + context.stores.now_s
        context.tables.limits.apply_response(
            endpoint(), ('1',), now_s - 1, now_s
        )


@when('it got no request for {pause:d} s')
def step_unused(context, pause):
    context.stores.now_s += pause


@then('another program is refused')
def step_start_refused(context):
    refusal = choose_at_simulated_time(context, build_start())
    assert refusal.code is ResultCode.ENDPOINTS_LIMITED, refusal


@then('another program begins')
def step_start(context):
    chosen = choose_at_simulated_time(context, build_start())
    assert isinstance(chosen, ChosenEndpoint), chosen


@when('50 starts are refused in one second at a capacity of 5 a second')
def step_refused(context):
    schedule = ReturnSchedule()
    context.returns_s = [
        number / 50 + schedule.delay_s('app', 5, number / 50 + 0.5, number / 50)
        for number in range(50)
    ]


@then('their delays spread over the next 10 s at 5 a second')
def step_spread(context):
    assert max(context.returns_s) > 8
    for start_s in range(9):
        count = sum(
            start_s <= return_s < start_s + 1 for return_s in context.returns_s
        )
        assert count <= 6, (start_s, context.returns_s)
