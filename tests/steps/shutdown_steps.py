"""Steps of shutdown.feature."""

import asyncio
import time

from aiohttp import web
from behave import given, then, when

from rattanvalve.blackboard import Blackboard
from rattanvalve.busy_connections import BusyConnections
from rattanvalve.caller_api import RUNNER_OPTIONS
from rattanvalve.counters import Metrics
from rattanvalve.errors import StoreError
from rattanvalve.open_requests import OpenRequest, OpenRequests
from rattanvalve.shutdown import Shutdown
from tests.ingress_bench import TEXT, eventually, parse_stream_text
from tests.ingress_checks import read_all

#: Time for a request to reach its handler, in seconds.
START_S = 0.2
STOP_LIMIT_S = 10
REQUEST = b'GET / HTTP/1.1\r\nHost: a\r\n\r\n'


async def no_step():
    """Complete at once, as a stub of a shutdown step."""


async def stop(context, *, leave_fails=False, timeout_s=60, is_released=True):
    """Shut down an ingress while a stream is open."""
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
            close_idle=no_step,
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
        events.append(parse_stream_text(raw))
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


async def open_listener(handler, *middlewares):
    """Start a listener and open one connection to it."""
    app = web.Application(middlewares=middlewares)
    app.router.add_get('/', handler)
    runner = web.AppRunner(app, **RUNNER_OPTIONS)
    await runner.setup()
    await web.TCPSite(runner, '127.0.0.1', 0).start()
    reader, writer = await asyncio.open_connection(*runner.addresses[0][:2])
    return runner, reader, writer


@given('a listener with a request that never ends')
def step_endless(context):
    context.request_ends = []

    async def wait_forever(_request):
        try:
            await asyncio.Event().wait()
        finally:
            context.request_ends.append('cancelled')

    async def start():
        runner, _, writer = await open_listener(wait_forever)
        writer.write(REQUEST)
        await asyncio.sleep(START_S)
        return runner, writer

    opened = context.run(start())
    context.runner = opened[0]
    context.writer = opened[1]


@given('a listener whose requests take {duration_s:g} seconds')
def step_slow_listener(context, duration_s):
    context.open_requests = OpenRequests(Metrics())
    context.busy = BusyConnections()

    async def answer_late(_request):
        async with context.open_requests.enter(OpenRequest('')):
            await asyncio.sleep(duration_s)
        return web.Response(text=TEXT)

    opened = context.run(
        open_listener(answer_late, context.busy.middleware),
    )
    context.runner = opened[0]
    context.reader = opened[1]
    context.writer = opened[2]


@when('the process stops and a request comes once nothing else is open')
def step_late_request(context):
    runner = context.runner

    async def stop_listening():
        for site in tuple(runner.sites):
            await site.stop()
        context.writer.write(REQUEST)

    async def stop_all():
        await Shutdown(
            blackboard=Blackboard(),
            open_requests=context.open_requests,
            leave=no_step,
            stop_listening=stop_listening,
            close_idle=lambda: context.busy.close_idle((runner.server,)),
            grace_s=0,
            timeout_s=STOP_LIMIT_S,
        ).run()
        await runner.cleanup()
        return await context.reader.read()

    context.received = context.run(stop_all())
    context.writer.close()


@then('the request is answered whole')
def step_answered_whole(context):
    assert context.received.startswith(b'HTTP/1.1 200'), context.received
    assert context.received.endswith(TEXT.encode()), context.received


@when('the listener is closed')
def step_close_listener(context):
    started_s = time.monotonic()
    context.run(context.runner.cleanup())
    context.took_s = time.monotonic() - started_s
    context.writer.close()


@then('it is closed within {limit_s:d} seconds and the request was cancelled')
def step_closed_soon(context, limit_s):
    assert context.took_s < limit_s, context.took_s
    assert context.request_ends == ['cancelled'], context.request_ends
