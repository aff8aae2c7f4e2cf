"""Steps of gateway/busy_endpoints.feature."""

import asyncio
import json
import time

from behave import given, then, when

from rattanvalve.counters import Counter
from rattanvalve.gateway.server_connection import CONNECT_TIMEOUT_S
from rattanvalve.resultcodes import ResultCode
from tests.busy_server import BusyServer
from tests.platform_fleet import open_fleet, wait_until

SERVER = 'app-1'


@given('a fleet on the platform whose server accepts only one connection')
def step_fleet(context):
    open_fleet(context, server_names=('models-1',), gateway_count=1)
    fleet = context.fleet
    context.tables = fleet.gateways[0]._tables

    async def add():
        await fleet.add_server(SERVER, BusyServer)
        await wait_until(lambda: context.tables.directory.usable('app', 0))

    context.run(add())


@given('a call that this server holds')
def step_held(context):
    context.server = context.fleet.servers[SERVER]

    async def send():
        request = context.fleet.request('/look/held')
        context.held = asyncio.ensure_future(request)
        await wait_until(lambda: context.server.requests)

    context.run(send())


@when('another call is sent, and the server answers the first one meanwhile')
def step_both(context):
    async def send():
        other = asyncio.ensure_future(context.fleet.request('/look/whole'))
        await asyncio.sleep(CONNECT_TIMEOUT_S / 2)
        context.server.release.set()
        context.answers = await asyncio.gather(context.held, other)

    context.run(send())


@when('another call is sent')
def step_other(context):
    started_s = time.monotonic()
    context.answer = context.run(context.fleet.request('/look/whole'))
    context.duration_s = time.monotonic() - started_s


@then('both calls are answered')
def step_answered(context):
    statuses = [answer[0] for answer in context.answers]
    assert statuses == [200, 200], context.answers


@then('the attempt to connect is counted as not accepted')
def step_counted(context):
    counts = context.tables.metrics.counts
    assert counts[Counter.CONNECTION_NOT_ACCEPTED] == 1, counts


@then('the server is not avoided')
def step_not_avoided(context):
    assert not _is_avoided(context)


@then('the server is avoided')
def step_avoided(context):
    assert _is_avoided(context)


@then('it is refused within {most_s:d} s')
def step_refused(context, most_s):
    status, _, body = context.answer
    assert status == 503, context.answer
    assert json.loads(body)['code'] == ResultCode.QUEUE_FULL, body
    assert context.duration_s < most_s, context.duration_s


def _is_avoided(context):
    entry = context.tables.directory.usable('app', 0)[0]
    return context.tables.loads.get(entry).avoided_until_s > time.monotonic()
