"""Steps of gateway/first_list.feature."""

import asyncio

from behave import given, then, when

from rattanvalve.platform.names import KIND_MEMBER_LIST
from tests.platform_fleet import PlatformFleet


@given('a fleet on the platform whose turn stores cannot write their list')
def step_fleet(context):
    context.turn_ids = {}
    context.program_id = 'program-1'
    context.fleet = PlatformFleet()
    context.fleet.store.refused_kinds.add(KIND_MEMBER_LIST)

    async def begin():
        context.start = asyncio.ensure_future(context.fleet.start())

    context.run(begin())
    context.closers.append(context.fleet.stop)


@then('no gateway becomes ready within {wait_s:d} s')
def step_not_ready(context, wait_s):
    # The start of the fleet ends when its gateways are ready.
    _, pending = context.run(asyncio.wait((context.start,), timeout=wait_s))
    assert pending, 'the gateways are ready'


@when('the turn stores can write their list and the gateways are ready')
def step_ready(context):
    context.fleet.store.refused_kinds.clear()
    context.run(context.start)
