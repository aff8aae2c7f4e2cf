"""Steps of gateway/deadly_requests.feature on real sockets."""

import asyncio
import time

from behave import given, then, when

from rattanvalve.standins.crashes import MARKER
from tests.platform_fleet import open_fleet

DEADLY_INTERVAL_S = 0.3
CALLER_INTERVAL_S = 0.1
#: Statuses of responses that a request gets if it is denied for its own sake.
DENIED = range(400, 500)


@given(
    'a fleet on the platform with {gateways:d} gateways and '
    '{servers:d} plain servers'
)
def step_fleet(context, gateways, servers):
    names = tuple(f'app-{number + 1}' for number in range(servers))
    open_fleet(
        context,
        gateway_count=gateways,
        server_names=(*names, 'models-1'),
    )
    context.gateway_count = gateways


async def repeat(context, until_s, interval_s, send):
    """Call a function again and again with the number of the gateway."""
    number = 0
    while time.monotonic() < until_s:
        await send(number % context.gateway_count)
        await asyncio.sleep(interval_s)
        number += 1


@when(
    'a request that crashes servers comes through all gateways for '
    '{duration:d} s'
)
def step_deadly(context, duration):
    context.deadly_statuses = []
    context.until_s = time.monotonic() + duration

    async def send(gateway):
        status, _, _ = await context.fleet.request(
            '/book/whole', gateway, body=MARKER
        )
        context.deadly_statuses.append(status)

    context.deadly = context.loop.create_task(
        repeat(context, context.until_s, DEADLY_INTERVAL_S, send)
    )


@when('{count:d} callers send requests through all gateways meanwhile')
def step_callers(context, count):
    context.statuses = []

    async def send(gateway, body):
        status, _, _ = await context.fleet.request(
            '/book/whole', gateway, body=body
        )
        context.statuses.append(status)

    def call_repeatedly(number):
        body = f'body {number}'.encode()
        return repeat(
            context,
            context.until_s,
            CALLER_INTERVAL_S,
            lambda gateway: send(gateway, body),
        )

    async def send_all():
        await asyncio.gather(
            context.deadly, *map(call_repeatedly, range(count))
        )

    context.run(send_all())


@then('it reached no server later than 3 s after its third crash')
def step_late(context):
    deadly = context.fleet.deadly
    assert deadly.crash_count(), context.deadly_statuses
    assert not deadly.late_count(), (
        deadly.late_count(),
        deadly.crash_count(),
        context.deadly_statuses,
    )


@then('no other request was denied')
def step_denied(context):
    denied = [status for status in context.statuses if status in DENIED]
    assert not denied, denied
    assert context.statuses.count(200) > len(context.statuses) / 2
