"""Steps of gateway/endless_bytes.feature."""

import asyncio
import itertools
import resource
import time

import aiohttp
from behave import then

from rattanvalve.errors import ServerExchangeError, StoreError
from rattanvalve.gateway.events import EventParser
from rattanvalve.gateway.response_parser import ResponseParser
from rattanvalve.platform.objects import ObjectStore
from tests.platform_fleet import wait_until

PIECE_BYTES = 8192
KIB = 1024
STATUS_LINE = b'HTTP/1.1 200 OK\r\n'
CHUNKED_HEAD = (
    STATUS_LINE + b'Request-Id: ours\r\nTransfer-Encoding: chunked\r\n\r\n'
)
INTERIM_RESPONSE = b'HTTP/1.1 100 Continue\r\n\r\n'
LATE_HEAD = (
    STATUS_LINE + b'Request-Id: late\r\nContent-Length: 100000000\r\n\r\n'
)
HEADER_LINE = b'X-Line: some text\r\n'
#: Oversized responses must fail well before the caller's deadline of 2.5 s.
FAILURE_MAX_S = 1.5


def bytes_until_error(feed, start, piece):
    """Feed bytes until the parser raises, and return how many were fed.

    Feeds ``start`` once, then ``piece`` repeatedly, up to 64 MiB.
    """
    total = 0
    for data in itertools.chain((start,), itertools.repeat(piece)):
        total += len(data)
        assert total < 64 * KIB * KIB, 'no size limit was enforced'
        try:
            feed(data)
        except ServerExchangeError:
            return total


def parser_feed():
    """Return the feed method of a parser that expects the id ``ours``."""
    parser = ResponseParser()
    parser.expect('ours')
    return parser.feed


def fill_piece(text):
    """Repeat bytes up to at most ``PIECE_BYTES``."""
    return text * (PIECE_BYTES // len(text))


def assert_near_limit(total, limit_kib):
    """Check that a total is within two pieces of a limit in KiB."""
    assert abs(total - limit_kib * KIB) <= 2 * PIECE_BYTES, total


@then('header lines without end are given up after {limit:d} lines')
def step_lines(context, limit):
    total = bytes_until_error(parser_feed(), STATUS_LINE, HEADER_LINE)
    line_count = (total - len(STATUS_LINE)) // len(HEADER_LINE)
    # The parser reports a header at the beginning of the next one.
    assert limit < line_count <= limit + 2, line_count
    assert total <= 64 * KIB


@then('one header line without end is given up after {limit:d} KiB')
def step_line(context, limit):
    start = STATUS_LINE + b'X-Line: '
    assert_near_limit(
        bytes_until_error(parser_feed(), start, fill_piece(b'a')), limit
    )


@then('trailers without end are given up after {limit:d} KiB')
def step_trailers(context, limit):
    start = CHUNKED_HEAD + b'2\r\nhi\r\n0\r\n'
    assert_near_limit(
        bytes_until_error(parser_feed(), start, fill_piece(HEADER_LINE)), limit
    )


@then('interim responses without end are given up after {limit:d} MiB')
def step_interim(context, limit):
    total = bytes_until_error(
        parser_feed(), INTERIM_RESPONSE, fill_piece(INTERIM_RESPONSE)
    )
    assert_near_limit(total, limit * KIB)


@then(
    'a response of another request without end is given up after {limit:d} MiB',
)
def step_other_response(context, limit):
    total = bytes_until_error(parser_feed(), LATE_HEAD, fill_piece(b'a'))
    assert_near_limit(total, limit * KIB)


@then('a late response of ordinary size is passed over')
def step_late(context):
    parser = ResponseParser()
    parser.expect('ours')
    for part in (b'late', b'late', b'ours'):
        parser.feed(
            STATUS_LINE
            + b'Request-Id: %b\r\nContent-Length: 400000\r\n\r\n' % part,
        )
        parser.feed(b'a' * 400_000)
    assert parser.is_complete and parser.buffered_bytes == 400_000


@then('an event without end is given up after {limit:d} KiB')
def step_event(context, limit):
    start = b'id: 1\ndata: '
    for piece in (b'a', b'a\ndata: '):
        total = bytes_until_error(EventParser().feed, start, fill_piece(piece))
        assert_near_limit(total, limit)


@then('events without end that are kept are given up after {limit:d} MiB')
def step_events(context, limit):
    event = b'data: ' + b'a' * 4088 + b'\n\n'
    total = bytes_until_error(EventParser().feed, event, event)
    assert abs(total - limit * KIB * KIB) < 64 * KIB, total


@then('calls answered by an endless head or body get 502 at once')
def step_calls(context):
    context.before_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    for action in ('endlesshead', 'endlessbody', 'endlessother'):
        started_s = time.monotonic()
        status = context.run(context.fleet.request(f'/book/{action}'))[0]
        assert status == 502, (action, status)
        assert time.monotonic() - started_s < FAILURE_MAX_S, action


@then('a turn with an endless event ends incomplete at once')
def step_turn(context):
    started_s = time.monotonic()
    status = context.run(context.fleet.request('/chat/endlessevent'))[0]
    assert status == 0, status
    assert time.monotonic() - started_s < FAILURE_MAX_S


@then('the servers of all these see their connections closed')
def step_closed(context):
    servers = context.fleet.servers.values()
    context.run(
        wait_until(lambda: sum(server.endless_ended for server in servers) == 4)
    )


@then('the gateway has grown by less than {limit:d} MB')
def step_memory_growth(context, limit):
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
        writer.write(STATUS_LINE + b'Transfer-Encoding: chunked\r\n\r\n')
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
    assert 'larger than' in text, text
    assert sum(pieces) < 2 * limit * KIB * KIB, len(pieces)


@then('a call with {size:d} KiB of headers gets 431 and nothing runs')
def step_headers(context, size):
    filler = {f'X_Filler_{n}': 'a' * KIB for n in range(size)}
    status = context.run(context.fleet.request('/book/whole', **filler))[0]
    assert status == 431, status
    assert not context.fleet.arrivals('/book/whole')
