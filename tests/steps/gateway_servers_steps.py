"""Steps of gateway/whole_path.feature for servers and their responses."""

import asyncio
import time

from behave import then, when

from tests.platform_fleet import wait_until
from tests.platform_servers import EVENTS


@then('an unsafe call that breaks gets 502 and reaches one server')
def step_unsafe_break(context):
    status = context.run(context.fleet.request('/book/break'))[0]
    assert (status, context.fleet.arrivals('/book/break')) == (502, 1), status


@then('a safe call that breaks reaches two servers')
def step_safe_break(context):
    status = context.run(context.fleet.request('/look/break', method='GET'))[0]
    assert (status, context.fleet.arrivals('/look/break')) == (502, 2), status


@when('server {name} refuses')
def step_server_refuses(context, name):
    context.fleet.servers[name].refuses = True


@then('{count:d} unsafe calls are answered by {name}')
def step_answered_by(context, count, name):
    for _ in range(count):
        status, _, body = context.run(context.fleet.request('/book/whole'))
        assert (status, body) == (200, name.encode()), (status, body)


@then('a call with extra answers around its own gets its own')
def step_extra(context):
    for _ in range(5):
        answer = context.run(context.fleet.request('/book/extra'))
        assert (answer[0], answer[2]) == (200, b'mine'), answer
        answer = context.run(context.fleet.request('/book/whole'))
        assert answer[0] == 200 and answer[2].startswith(b'app-'), answer


@then('calls whose answer is cut or has no seal do not look complete')
def step_cut(context):
    for path in ('/book/short', '/book/unsealed'):
        status = context.run(context.fleet.request(path))[0]
        assert status == 502, (path, status)
    status, _, body = send_turn(context, '/chat/cut')
    assert status == 0, (status, body)


def send_turn(context, path):
    """Send a turn; the last part of the path selects what the server does."""
    return context.run(
        context.fleet.request(
            path,
            Program_Id='program-2',
            Token_Budget='1000',
            Token_Usage='100,27',
        ),
    )


@when('a caller reads the bytes of a stream that stalls')
def step_stall(context):
    context.bytes = context.run(
        context.fleet.raw_answer(
            '/chat/stall',
            'Request-Id: stalled',
            'Deadline-Ms: 500',
        ),
    )


@then('the bytes hold one response that is not complete')
def step_stalled(context):
    assert context.bytes.count(b'HTTP/1.1') == 1, context.bytes
    assert not context.bytes.endswith(b'0\r\n\r\n')


@then('a stream with pauses of 0.6 s between its events is whole')
def step_slow(context):
    answer = send_turn(context, '/chat/slow')
    assert (answer[0], answer[2]) == (200, b''.join(EVENTS)), answer


@then('a stream of a byte now and then ends incomplete at its deadline')
def step_slow_bytes(context):
    started_s = time.monotonic()
    context.bytes = context.run(
        context.fleet.raw_answer(
            '/chat/drip',
            'Request-Id: dripping',
            'Deadline-Ms: 800',
        ),
    )
    duration_s = time.monotonic() - started_s
    assert not context.bytes.endswith(b'0\r\n\r\n')
    assert 0.7 < duration_s < 1.5, duration_s
    server = context.fleet.servers['models-1']
    context.run(wait_until(lambda: server.endless_ended == 1))


@when('a caller leaves a held call')
def step_disconnect(context):
    async def leave():
        call = asyncio.ensure_future(context.fleet.request('/book/held'))
        await wait_until(lambda: context.fleet.arrivals('/book/held'))
        call.cancel()

    context.run(leave())


@then('the server sees its connection closed')
def step_connection_closed(context):
    events = [server.left for server in context.fleet.servers.values()]
    context.run(wait_until(lambda: any(event.is_set() for event in events)))
