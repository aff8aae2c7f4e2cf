"""Steps of http_errors.feature."""

import asyncio

from aiohttp import web
from behave import given, then, when

from rattanvalve.caller_api import RUNNER_OPTIONS
from rattanvalve.counters import Counter, Metrics
from rattanvalve.http_errors import malformed_http_counter

TIMEOUT_S = 30


async def answer_healthy(_request):
    """Answer a readable request."""
    return web.Response(text='ok')


@given("a listener of the callers' API")
def step_listener(context):
    context.metrics = Metrics()
    app = web.Application()
    app.router.add_get('/healthz', answer_healthy)

    async def start():
        runner = web.AppRunner(
            app,
            access_log_class=malformed_http_counter(context.metrics),
            **RUNNER_OPTIONS,
        )
        await runner.setup()
        context.closers.append(runner.cleanup)
        await web.TCPSite(runner, '127.0.0.1', 0).start()
        return runner.addresses[0][1]

    context.port = context.run(start())


@when('the bytes {text} arrive')
def step_bytes(context, text):
    raw = text.replace(r'\r\n', '\r\n').encode()

    async def send():
        reader, writer = await asyncio.open_connection(
            '127.0.0.1',
            context.port,
        )
        writer.write(raw)
        async with asyncio.timeout(TIMEOUT_S):
            head = await reader.readuntil(b'\r\n\r\n')
            # The response is logged before its connection is closed.
            writer.write_eof()
            await reader.read()
        writer.close()
        return int(head.split()[1])

    context.status = context.run(send())


@then('the status is {status:d} and {count:d} malformed requests are counted')
def step_counted(context, status, count):
    assert context.status == status, context.status
    assert context.metrics.counts[Counter.HTTP_MALFORMED] == count
