"""Steps of http_errors.feature."""

import asyncio
import io
import logging

from aiohttp import web
from behave import given, then, when

from rattanvalve.caller_api import RUNNER_OPTIONS
from rattanvalve.counters import Counter, Metrics
from rattanvalve.http_errors import malformed_http_counter

TIMEOUT_S = 30
KEY = 'rv-secret-key-of-a-caller'
LINE_CHARS_MAX = 300


async def answer_healthy(_request):
    """Handle a well-formed request."""
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


def send_raw(context, raw):
    """Send the bytes of one request and return the response status."""

    async def send():
        reader, writer = await asyncio.open_connection(
            '127.0.0.1',
            context.port,
        )
        writer.write(raw)
        async with asyncio.timeout(TIMEOUT_S):
            head = await reader.readuntil(b'\r\n\r\n')
            # Reading to the end waits for the access log, which aiohttp calls
            # before it closes the connection.
            writer.write_eof()
            await reader.read()
        writer.close()
        return int(head.split()[1])

    return context.run(send())


@when('the bytes {text} arrive')
def step_bytes(context, text):
    raw = text.replace(r'\r\n', '\r\n').encode()
    context.status = send_raw(context, raw)


@when('{count:d} requests with a key arrive that cannot be read')
def step_unreadable_keys(context, count):
    output = io.StringIO()
    handler = logging.StreamHandler(output)
    logging.getLogger().addHandler(handler)
    logging.disable(logging.NOTSET)
    raw = f'GET /healthz HTTP/1.1\r\nAuthorization: {KEY}\x01\r\n\r\n'.encode()
    try:
        for _ in range(count):
            assert send_raw(context, raw) == 400
    finally:
        logging.disable(logging.CRITICAL)
        logging.getLogger().removeHandler(handler)
    context.logged = output.getvalue()


@then('{count:d} malformed requests are counted')
def step_count_only(context, count):
    assert context.metrics.counts[Counter.HTTP_MALFORMED] == count


@then('at most {count:d} lines are logged, each short and without the key')
def step_no_key(context, count):
    lines = context.logged.splitlines()
    assert 1 <= len(lines) <= count, lines
    assert KEY not in context.logged
    assert max(map(len, lines)) <= LINE_CHARS_MAX


@then('the logged lines contain the key')
def step_key_logged(context):
    assert KEY in context.logged


@then('the status is {status:d} and {count:d} malformed requests are counted')
def step_counted(context, status, count):
    assert context.status == status, context.status
    assert context.metrics.counts[Counter.HTTP_MALFORMED] == count
