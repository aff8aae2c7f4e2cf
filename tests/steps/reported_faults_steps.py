"""Steps of gateway/reported_faults.feature."""

from behave import then, when

from rattanvalve.errors import ServerExchangeError
from rattanvalve.gateway.response_parser import ResponseParser
from tests.platform_servers import EVENTS

HEAD_LINES = (
    'HTTP/1.1 200 OK',
    'Request-Id: ours',
    'Server-Seal: s.1',
    'Content-Type: text/event-stream',
)
STREAM = b''.join(EVENTS)
REFUSED_ID = 'attempt-that-is-refused'


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
