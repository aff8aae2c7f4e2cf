"""Steps of gateway/reported_faults.feature."""

import asyncio

from behave import then, when

from rattanvalve.errors import ServerExchangeError
from rattanvalve.gateway.response_parser import ResponseParser
from tests.platform_fleet import KEY
from tests.platform_servers import EVENTS

HEAD_LINES = (
    'HTTP/1.1 200 OK',
    'Request-Id: ours',
    'Server-Seal: s.1',
    'Content-Type: text/event-stream',
)
STREAM = b''.join(EVENTS)
REFUSED_ID = 'attempt-that-is-refused'
#: Seconds after the signal at which the listener of a fleet's gateway closes.
LISTENER_CLOSED_S = 0.7


@when(
    'a server refuses an unsafe call and repeats that when its id comes again'
)
def step_repeated_refusal(context):
    context.statuses = [
        context.run(
            context.fleet.request('/book/refusedtwice', Request_Id=REFUSED_ID)
        )[0]
        for _ in range(2)
    ]


@then('the second attempt with that id gets the answer of its run')
def step_second_answer(context):
    assert context.statuses == [503, 200], context.statuses


def encode_head(*lines):
    """Encode the head of a response."""
    return '\r\n'.join((*HEAD_LINES, *lines, '', '')).encode()


def feed_and_close(payload, earlier=b''):
    """Parse a response that ends with a close; return the parser."""
    parser = ResponseParser()
    if earlier:
        parser.expect('earlier')
        parser.feed(earlier)
    parser.expect('ours')
    try:
        parser.feed(payload)
    except ServerExchangeError:
        return parser
    parser.feed_eof()
    return parser


def assert_incomplete(head):
    """Check all prefixes of a head on new and on used connections."""
    earlier = encode_head('Content-Length: 2').replace(b'ours', b'earlier')
    for before in (b'', earlier + b'hi'):
        for end in range(len(head)):
            parser = feed_and_close(head[:end], before)
            assert parser.head is None, head[:end]
            assert not parser.is_complete, head[:end]
            assert not parser.is_reusable, head[:end]


@then('no prefix of a head completes a framed answer')
def step_framed(context):
    assert_incomplete(encode_head('Content-Length: 0'))


@then('no prefix of a head completes an answer that ends with its connection')
def step_unframed(context):
    head = encode_head('Connection: close')
    assert_incomplete(head)
    parser = feed_and_close(head + b'whole')
    assert parser.is_complete and parser.take_chunk() == b'whole'


@then('no prefix of a head completes a stream')
def step_stream(context):
    assert_incomplete(encode_head('Transfer-Encoding: chunked'))


@when('streams without length end after each byte of their events')
def step_unframed_streams(context):
    context.outcomes = {}
    for end in range(len(STREAM) + 1):
        status, _, body = context.run(
            context.fleet.request(f'/stream/unframed?{end}')
        )
        context.outcomes[end] = (status, body)


@then('only those that end between events are whole')
def step_between_events(context):
    for end, (status, body) in context.outcomes.items():
        sent = STREAM[:end]
        is_whole = not sent or sent.endswith(b'\n\n')
        assert (status == 200) == is_whole, (end, status, body)
        assert not is_whole or body == sent, (end, status, body)


async def send_call(writer, path):
    """Send an unsafe call of a caller on an open connection."""
    lines = (
        f'POST {path} HTTP/1.1',
        'Host: farm.example',
        f'X-Api-Key: {KEY}',
        f'Request-Id: late{path.replace("/", "-")}',
        'Deadline-Ms: 2500',
        'Content-Length: 0',
    )
    writer.write('\r\n'.join((*lines, '', '')).encode())
    await writer.drain()


async def call_in_stop(fleet, path):
    """Send a call behind one that was open when the gateway stopped.

    Return the bytes that come after the answer of the first call.
    """
    reader, writer = await asyncio.open_connection(
        fleet.host('gateway', 0), fleet.callers_port
    )
    await send_call(writer, '/book/held')
    await asyncio.sleep(0.1)
    stopping = asyncio.ensure_future(fleet.stop_process('gateway-0'))
    await asyncio.sleep(LISTENER_CLOSED_S)
    # The next request is on its way when the first answer is written.
    await send_call(writer, path)
    for server in fleet.servers.values():
        server.release.set()
        server.release = asyncio.Event()
    received = await asyncio.wait_for(reader.read(), 5)
    await stopping
    writer.close()
    return received


@when(
    'a call that needs more time than the stop has left comes on an open '
    'connection'
)
def step_late_call(context):
    context.received = context.run(
        call_in_stop(context.fleet, '/book/late/held')
    )
    context.late_arrivals = context.fleet.arrivals('/book/late/held')


@then('it is refused as not run and reached no server')
def step_refused(context):
    heads = [
        line
        for line in context.received.decode('latin-1').split('\r\n')
        if line.startswith('HTTP/1.1')
    ]
    assert context.late_arrivals == 0, (heads, context.late_arrivals)
    assert [head.split()[1] for head in heads] in (['200'], ['200', '503']), (
        context.received
    )


@then('a call that ends in time is answered in the stop')
def step_in_time(context):
    async def call():
        stopping = asyncio.ensure_future(
            context.fleet.stop_process('gateway-1')
        )
        await asyncio.sleep(0.1)
        answer = await context.fleet.request('/book/whole', 1)
        await stopping
        return answer

    status, _, _ = context.run(call())
    assert status == 200, status
