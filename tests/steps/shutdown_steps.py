"""Steps of shutdown.feature."""

import asyncio
import time

from aiohttp import web
from behave import given, then, when

from rattanvalve.caller_api import RUNNER_OPTIONS
from rattanvalve.errors import StoreError
from rattanvalve.shutdown import Shutdown
from tests.ingress_bench import TEXT, eventually, text_of
from tests.ingress_checks import read_all

#: Time for a request to reach its handler.
START_S = 0.2


async def stop(context, *, leave_fails=False, timeout_s=60, is_released=True):
    """Stop while a stream is open."""
    bench = context.bench
    bench.endpoint.script = ['hold2']
    events = context.events = []

    async def leave():
        assert not bench.blackboard.readiness.is_ready()
        events.append('left')
        if leave_fails:
            raise StoreError('store down on purpose')

    async def stop_listening():
        events.append('closed')

    reading = asyncio.ensure_future(read_all(bench.chat(stream=True)))
    await eventually(lambda: bench.endpoint.parts_sent == 2)
    stopping = asyncio.ensure_future(
        Shutdown(
            blackboard=bench.blackboard,
            open_requests=bench.open_requests,
            leave=leave,
            stop_listening=stop_listening,
            grace_s=0,
            timeout_s=timeout_s,
        ).run(),
    )
    await eventually(lambda: 'closed' in events)
    if is_released:
        context.during = (await read_all(bench.chat()))[0]
        assert not stopping.done()
        bench.endpoint.release.set()
        _, raw = await reading
        events.append(text_of(raw))
    context.is_complete = await stopping
    reading.cancel()


@when('the process stops while a stream is open')
def step_stop(context):
    context.run(stop(context))


@when('the process stops while a stream is open and the view cannot be left')
def step_stop_down(context):
    context.run(stop(context, leave_fails=True))


@when('the process stops with a stream that never ends')
def step_stop_limit(context):
    context.run(stop(context, timeout_s=0.05, is_released=False))


@then('readiness, leaving, listening and the stream end in this order')
def step_order(context):
    assert context.events == ['left', 'closed', TEXT]
    assert context.is_complete


@then('requests on open connections are still answered and close them')
def step_during(context):
    assert context.during.status == 200
    assert context.during.headers['Connection'] == 'close'


@then('the stop reports what was left open')
def step_left_open(context):
    assert not context.is_complete


@given('a listener with a request that never ends')
def step_endless(context):
    context.endings = []

    async def wait_forever(_request):
        try:
            await asyncio.Event().wait()
        finally:
            context.endings.append('cancelled')

    async def start():
        app = web.Application()
        app.router.add_get('/', wait_forever)
        runner = web.AppRunner(app, **RUNNER_OPTIONS)
        await runner.setup()
        await web.TCPSite(runner, '127.0.0.1', 0).start()
        _, writer = await asyncio.open_connection(*runner.addresses[0][:2])
        writer.write(b'GET / HTTP/1.1\r\nHost: a\r\n\r\n')
        await asyncio.sleep(START_S)
        return runner, writer

    started = context.run(start())
    context.runner = started[0]
    context.writer = started[1]


@when('the listener is closed')
def step_close_listener(context):
    started_s = time.monotonic()
    context.run(context.runner.cleanup())
    context.took_s = time.monotonic() - started_s
    context.writer.close()


@then('it is closed within {limit_s:d} seconds and the request was cancelled')
def step_closed_soon(context, limit_s):
    assert context.took_s < limit_s, context.took_s
    assert context.endings == ['cancelled'], context.endings
