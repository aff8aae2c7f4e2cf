"""Steps of standins/store.feature."""

import asyncio
import json

import aiohttp
from behave import given, then, when

from rattanvalve.standins.store import (
    MAX_OBJECT_BYTES,
    StoreFaults,
    StoreState,
    build_store_app,
)
from tests.steps.standin_http import TIMEOUT_S, poll, send, start

CREATE = {'If-None-Match': '*'}


@given('a stand-in store')
def step_store(context):
    context.store = StoreState()
    context.base = start(context, build_store_app(context.store))
    context.url = f'{context.base}/v1/objects/view/cell-1'


def put(context, body, condition=None):
    """Write the object; returns the status and the ``ETag``."""
    status, headers, _ = send(
        context, 'PUT', context.url, data=body, headers=condition
    )
    return status, headers.get('ETag')


@then('objects are created once and updated only from their version')
def step_conditional(context):
    assert send(context, 'GET', context.url)[0] == 404
    assert put(context, b'a', {'If-Match': '"0"'})[0] == 412
    assert put(context, b'a', CREATE) == (200, '"1"')
    assert put(context, b'b', CREATE)[0] == 412
    assert put(context, b'b', {'If-Match': '"2"'})[0] == 412
    assert put(context, b'b', {'If-Match': '"1"'}) == (200, '"2"')
    assert put(context, b'c')[0] == 428
    status, headers, body = send(context, 'GET', context.url)
    assert (status, headers['ETag'], body) == (200, '"2"', b'b')


def watch(context, change, after):
    """Watch the object while ``change`` runs; returns status and body."""

    async def run():
        async with aiohttp.ClientSession() as session:
            request = asyncio.ensure_future(
                session.get(f'{context.url}?watch_after={after}&timeout_s=60'),
            )
            await poll(lambda: context.store.calls['watch'])
            await change(session)
            async with asyncio.timeout(TIMEOUT_S):
                response = await request
            return response.status, await response.read()

    return context.run(run())


@then('a watch returns the next version, or 304 without one')
def step_watch(context):
    async def change(session):
        await session.put(context.url, data=b'next', headers=CREATE)

    assert watch(context, change, after=0) == (200, b'next')
    url = f'{context.url}?watch_after=1&timeout_s=0.01'
    assert send(context, 'GET', url)[0] == 304


@then('a store that goes down answers 503 to new calls and open watches')
def step_down(context):
    async def change(session):
        faults = json.dumps({'is_down': True})
        await session.put(f'{context.base}/faults', data=faults)

    assert watch(context, change, after=0)[0] == 503
    assert send(context, 'GET', context.url)[0] == 503


@when('its next response is lost')
def step_lose(context):
    context.store.faults = StoreFaults(lose_response_count=1)


@then('the writer sees a broken connection and the object has changed')
def step_lost(context):
    # aiohttp retries a PUT when the connection breaks, so the test observes
    # the lost response on a raw TCP connection.
    async def write():
        port = int(context.base.rpartition(':')[2])
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        writer.write(
            b'PUT /v1/objects/view/cell-1 HTTP/1.1\r\nHost: store\r\n'
            b'If-None-Match: *\r\nContent-Length: 1\r\n\r\na',
        )
        try:
            return await reader.read()
        except ConnectionError:
            return b''
        finally:
            writer.close()

    assert context.run(write()) == b''
    assert send(context, 'GET', context.url)[2] == b'a'
    assert put(context, b'b', {'If-Match': '"1"'}) == (200, '"2"')


@then('an object above 1 MB is refused and calls are counted by kind')
def step_limits(context):
    assert put(context, bytes(MAX_OBJECT_BYTES + 1), CREATE)[0] == 413
    assert put(context, bytes(MAX_OBJECT_BYTES), CREATE)[0] == 200
    send(context, 'GET', context.url)
    calls = json.loads(send(context, 'GET', f'{context.base}/calls')[2])
    assert calls == {'put': 2, 'get': 1}
