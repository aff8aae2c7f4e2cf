"""Steps of small_pieces.feature."""

import time
import tracemalloc
from contextlib import suppress

from behave import then, when

from rattanvalve.chatstream import ChatStream
from rattanvalve.errors import ServerExchangeError
from rattanvalve.gateway.events import EventParser
from rattanvalve.gateway.response_parser import ResponseParser
from rattanvalve.messages import Ticket
from rattanvalve.responsestore import Record, ResponseStore

PIECE_BYTES = 4096
SMALL_PIECE_BYTES = 16
SHORT_BYTES = 64 * 1024
REPETITIONS = 3
HEAD = b'HTTP/1.1 200 OK\r\n'
CHUNKED = HEAD + b'Request-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n'
CHAT_EVENT = b'data: {"choices": [{"delta": {"content": "a"}}]}\n\n'


def feed_events(piece):
    """Return a reader of events, and the pieces to feed."""
    parser = EventParser()
    return parser, parser.feed, piece * (PIECE_BYTES // len(piece))


def feed_response(start, piece):
    """Return a reader of a response, and the pieces to feed."""
    parser = ResponseParser()
    parser.expect('a')
    parser.feed(start)
    return parser, parser.feed, piece * (PIECE_BYTES // len(piece))


def feed_chat():
    """Return a reader of a chat response, and the pieces to feed."""
    stream = ChatStream(is_resumable=True)
    return stream, stream.feed, CHAT_EVENT * (PIECE_BYTES // len(CHAT_EVENT))


def feed_record():
    """Return a recorder of a response, and the pieces to feed."""
    store = ResponseStore()
    record = Record(ticket=Ticket(), accepted_at_s=0)

    def append(piece):
        for byte in piece:
            store.append(record, bytes((byte, 10)))

    return record, append, b'a' * (PIECE_BYTES // 2)


READERS = {
    'events of two bytes': lambda: feed_events(b'data:ab\n\n'),
    'lines of an event': lambda: feed_events(b'data\n'),
    'chunks of a body': lambda: feed_response(CHUNKED, b'2\r\nab\r\n'),
    'headers of a response': lambda: feed_response(HEAD, b'X-A: bc\r\n'),
    'texts of a chat response': feed_chat,
    'parts of a recorded response': feed_record,
}


@when('{kind} are read up to {limit:d} KiB')
def step_read(context, kind, limit):
    tracemalloc.start()
    context.closers.append(tracemalloc.stop)
    before_bytes, _ = tracemalloc.get_traced_memory()
    reader, feed, piece = READERS[kind]()
    with suppress(ServerExchangeError):
        # A limit may end the response.
        for _ in range(limit * 1024 // len(piece)):
            feed(piece)
    after_bytes, _ = tracemalloc.get_traced_memory()
    context.reader = reader
    context.kept_bytes = after_bytes - before_bytes


@then('at most {limit:d} MiB is kept')
def step_kept(context, limit):
    assert context.kept_bytes <= limit * 1024 * 1024, context.kept_bytes


def start_line():
    """Return the feed method of a stream within a line."""
    parser = EventParser()
    parser.feed(b'data:')
    return parser.feed


def start_chat_event():
    """Return the feed method of a chat response within an event."""
    stream = ChatStream(is_resumable=True)
    stream.feed(b'data:')
    return stream.feed


STARTS = {'a line': start_line, 'an event of a chat': start_chat_event}


def shortest_s(start, length):
    """Measure how long it takes to read bytes in small pieces."""
    piece = b'a' * SMALL_PIECE_BYTES
    durations_s = []
    for _ in range(REPETITIONS):
        feed = start()
        started_s = time.process_time()
        for _ in range(length // SMALL_PIECE_BYTES - 1):
            feed(piece)
        durations_s.append(time.process_time() - started_s)
    return min(durations_s)


@when('{kind} is read in pieces of 16 bytes, once four times as long')
def step_measure(context, kind):
    start = STARTS[kind]
    short_s = shortest_s(start, SHORT_BYTES)
    context.ratio = shortest_s(start, 4 * SHORT_BYTES) / short_s


@then('it takes less than {limit:d} times as long')
def step_linear(context, limit):
    assert context.ratio < limit, context.ratio
