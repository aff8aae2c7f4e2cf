"""Steps of standins/service.feature."""

import asyncio
import io
import json

import aiohttp
from behave import given, then, when

from rattanvalve.standins.journal import journal_writer
from rattanvalve.standins.service import ServiceState, build_service_app
from tests.steps.standin_http import journal_events, poll, send, start, wait_for


def start_service(context, **behaviour):
    """Serve a plain service that writes its journal to memory."""
    context.journal = io.StringIO()
    write = journal_writer('s1', context.journal)
    app = build_service_app(ServiceState(name='s1', **behaviour), write)
    context.url = start(context, app)


@given('a stand-in service that fails every third request')
def step_service(context):
    start_service(context, fail_every_count=3)


@given('a stand-in service that never finishes')
def step_endless(context):
    start_service(context, delay_s=3600)


@then('its receipts tell what it did and its journal has each run')
def step_receipts(context):
    statuses = []
    for method in ('POST', 'DELETE', 'PUT'):
        status, _, _ = send(
            context,
            method,
            f'{context.url}/orders/7?x=1',
            data=b'{"order_id": "o1"}',
            headers={'X-Request-Id': 'e/1/1'},
        )
        statuses.append(status)
    assert statuses == [200, 200, 500]
    send(context, 'GET', f'{context.url}/v1/load')
    events = ' '.join(event for event, _ in journal_events(context.journal))
    assert events == 'start end start end start end'
    line = json.loads(context.journal.getvalue().splitlines()[2])
    assert line['method'] == 'DELETE'
    assert line['path'] == '/orders/7?x=1'
    assert line['request_id'] == 'e/1/1'
    assert line['body'] == '{"order_id": "o1"}'


@when('a caller leaves the service')
def step_leave(context):
    async def disconnect():
        async with aiohttp.ClientSession() as session:
            request = asyncio.ensure_future(session.get(f'{context.url}/x'))
            await poll(lambda: 'start' in context.journal.getvalue())
            request.cancel()

    context.run(disconnect())


@then('the service journal ends with a cancel')
def step_cancelled(context):
    wait_for(context, lambda: 'cancel' in context.journal.getvalue())
    assert [event for event, _ in journal_events(context.journal)] == [
        'start',
        'cancel',
    ]
