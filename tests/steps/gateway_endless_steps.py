"""Steps of gateway/endless_bytes.feature."""

import asyncio
import itertools
import resource
import time

import aiohttp
from behave import then

from rattanvalve.errors import ServerBrokenError, StoreError
from rattanvalve.gateway.events import EventFollower
from rattanvalve.gateway.response_parser import ResponseParser
from rattanvalve.platform.objects import ObjectStore
from tests.platform_fleet import wait_until

PIECE_BYTES = 8192
KIB = 1024
HEAD = b'HTTP/1.1 200 OK\r\n'
CHUNKED = HEAD + b'Request-Id: ours\r\nTransfer-Encoding: chunked\r\n\r\n'
INTERIM = b'HTTP/1.1 100 Continue\r\n\r\n'
OTHERS = HEAD + b'Request-Id: late\r\nContent-Length: 100000000\r\n\r\n'
LINES = b'X-Line: some text\r\n'
#: All of it is given up well before the caller's deadline of 2.5 s.
AT_ONCE_S = 1.5


def given_up_after(feed, start, piece):
    """Feed a start and then the same bytes for ever; gives the total."""
    total = 0
    for data in itertools.chain((start,), itertools.repeat(piece)):
        total += len(data)
        assert total < 64 * KIB * KIB, 'nothing is given up'
        try:
            feed(data)
        except ServerBrokenError:
            return total


def parser_feed():
    """Make a parser that waits for our response."""
    parser = ResponseParser()
    parser.expect('ours')
    return parser.feed


def repeated(text):
    """Repeat bytes to the size of a piece."""
    return text * (PIECE_BYTES // len(text))


def assert_near(total, limit_kib):
    """Check that bytes were given up at a limit, give or take a piece."""
    assert abs(total - limit_kib * KIB) <= 2 * PIECE_BYTES, total


@then('header lines without end are given up after {limit:d} KiB')
def step_lines(context, limit):
    assert_near(given_up_after(parser_feed(), HEAD, repeated(LINES)), limit)


@then('one header line without end is given up after {limit:d} KiB')
def step_line(context, limit):
    start = HEAD + b'X-Line: '
    assert_near(given_up_after(parser_feed(), start, repeated(b'a')), limit)


@then('trailers without end are given up after {limit:d} KiB')
def step_trailers(context, limit):
    start = CHUNKED + b'2\r\nhi\r\n0\r\n'
    assert_near(given_up_after(parser_feed(), start, repeated(LINES)), limit)


@then('interim responses without end are given up after {limit:d} MiB')
def step_interim(context, limit):
    total = given_up_after(parser_feed(), INTERIM, repeated(INTERIM))
    assert_near(total, limit * KIB)


@then(
    'a response of another request without end is given up after {limit:d} MiB',
)
def step_foreign(context, limit):
    total = given_up_after(parser_feed(), OTHERS, repeated(b'a'))
    assert_near(total, limit * KIB)


@then('a late response of ordinary size is passed over')
def step_late(context):
    parser = ResponseParser()
    parser.expect('ours')
    for part in (b'late', b'late', b'ours'):
        parser.feed(
            HEAD + b'Request-Id: %b\r\nContent-Length: 400000\r\n\r\n' % part,
        )
        parser.feed(b'a' * 400_000)
    assert parser.is_complete and parser.buffered_bytes == 400_000


@then('an event without end is given up after {limit:d} KiB')
def step_event(context, limit):
    start = b'id: 1\ndata: '
    for piece in (b'a', b'a\ndata: '):
        total = given_up_after(EventFollower().feed, start, repeated(piece))
        assert_near(total, limit)


@then('events without end that are kept are given up after {limit:d} MiB')
def step_events(context, limit):
    event = b'data: ' + b'a' * 4088 + b'\n\n'
    total = given_up_after(EventFollower().feed, event, event)
    assert abs(total - limit * KIB * KIB) < 64 * KIB, total


@then('calls answered by an endless head or body get 502 at once')
def step_calls(context):
    context.before_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    for action in ('endlesshead', 'endlessbody', 'endlessother'):
        started_s = time.monotonic()
        status = context.run(context.fleet.request(f'/book/{action}'))[0]
        assert status == 502, (action, status)
        assert time.monotonic() - started_s < AT_ONCE_S, action


@then('a turn with an endless event ends incomplete at once')
def step_turn(context):
    started_s = time.monotonic()
    status = context.run(context.fleet.request('/chat/endlessevent'))[0]
    assert status == 0, status
    assert time.monotonic() - started_s < AT_ONCE_S


@then('the servers of all these see their connections closed')
def step_closed(context):
    servers = context.fleet.servers.values()
    context.run(
        wait_until(lambda: sum(server.endless_ended for server in servers) == 4)
    )


@then('the gateway has grown by less than {limit:d} MB')
def step_grown(context, limit):
    after_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    assert after_kb - context.before_kb < limit * 1000


@then('the gateway serves other calls')
def step_serves(context):
    answer = context.run(context.fleet.request('/book/whole'))
    assert answer[0] == 200, answer


@then('a list of the store without end is given up after {limit:d} MiB')
def step_store(context, limit):
    pieces = []

    async def serve(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(HEAD + b'Transfer-Encoding: chunked\r\n\r\n')
        piece = b'%x\r\n%b\r\n' % (PIECE_BYTES, b' ' * PIECE_BYTES)
        try:
            while True:
                writer.write(piece)
                await writer.drain()
                pieces.append(len(piece))
        except OSError:
            writer.close()

    async def read():
        server = await asyncio.start_server(serve, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        async with aiohttp.ClientSession() as session:
            store = ObjectStore(f'http://127.0.0.1:{port}', session)
            try:
                await store.list_objects('servers')
            except StoreError as error:
                return str(error)
            finally:
                server.close()

    text = context.run(read())
    assert 'no end' in text, text
    assert sum(pieces) < 2 * limit * KIB * KIB, len(pieces)


@then('a call with {size:d} KiB of headers gets 431 and nothing runs')
def step_headers(context, size):
    filler = {f'X_Filler_{n}': 'a' * KIB for n in range(size)}
    status = context.run(context.fleet.request('/book/whole', **filler))[0]
    assert status == 431, status
    assert not context.fleet.arrivals('/book/whole')
