"""Steps of gateway/server_limits.feature on real sockets."""

import asyncio
import time

from behave import given, then, when

from tests.platform_fleet import open_fleet

#: Requests per second and caller, refused ones included.
CALLER_RATE_PER_S = 10
REFUSED = 503


@given('a fleet on the platform with {count:d} gateways')
def step_fleet(context, count):
    open_fleet(context, gateway_count=count)
    context.gateway_count = count


@when('app-1 states a limit of {first:g} a second and app-2 one of {second:g}')
def step_limits(context, first, second):
    context.limits_per_s = {'app-1': first, 'app-2': second}
    for name, limit_per_s in context.limits_per_s.items():
        server = context.fleet.servers[name]
        server.rate.state(limit_per_s, time.monotonic())


async def call_repeatedly(context, number, duration_s):
    """Send requests at a constant rate; record status, headers and times."""
    until_s = time.monotonic() + duration_s
    while time.monotonic() < until_s:
        started_s = time.monotonic()
        path = '/look/whole' if number % 2 else '/book/whole'
        gateway = number % context.gateway_count
        status, headers, _ = await context.fleet.request(path, gateway)
        ended_s = time.monotonic()
        context.records.append(
            (started_s, ended_s - started_s, status, headers)
        )
        await asyncio.sleep(max(started_s + 1 / CALLER_RATE_PER_S - ended_s, 0))


@when('{count:d} callers send requests through all gateways for {duration:d} s')
def step_load(context, count, duration):
    context.records = []

    async def send():
        await asyncio.gather(
            *(
                call_repeatedly(context, number, duration)
                for number in range(count)
            )
        )

    context.run(send())


@then('neither server got more than its limit allows')
def step_within(context):
    excess = {
        name: context.fleet.servers[name].rate.excess()
        for name in context.limits_per_s
    }
    assert not any(excess.values()), excess


@then('most of what the limits allow was served')
def step_served(context):
    last_s = max(record[0] for record in context.records)
    served = [
        record
        for record in context.records
        if record[2] == 200 and record[0] > last_s - 4
    ]
    expected = 4 * sum(context.limits_per_s.values())
    assert len(served) >= expected / 2, (len(served), expected)
