"""Steps of chatstream.feature."""

from itertools import pairwise

from behave import then
from hypothesis import given, settings
from hypothesis import strategies as st

from rattanvalve.chatstream import MAX_KEPT_BYTES, ChatStream
from tests.ingress_bench import event

STREAM = b''.join(
    (
        b': comment\r\n\r\n',
        event(role='assistant', content=''),
        event(content='žúr'),
        event(content=None),
        b'event: x\ndata: not JSON\n\n',
        event(content=' end').replace(b'\n', b'\r\n'),
        b'data: {"choices": [], "usage": {"prompt_tokens": 3}}\n\n',
        b'data: [DONE]\n\n',
    ),
)


@settings(database=None, derandomize=True, deadline=None)
@given(st.sets(st.integers(0, len(STREAM))))
def check_split(offsets):
    """Check that splits at the given offsets do not change the events."""
    chat = ChatStream(is_resumable=True)
    edges = [0, *sorted(offsets), len(STREAM)]
    forwarded = [chat.feed(STREAM[start:end]) for start, end in pairwise(edges)]
    assert b''.join(forwarded) == STREAM
    assert all(part.endswith(b'\n') for part in forwarded if part)
    assert (chat.text, chat.is_done) == ('žúr end', True)
    assert chat.flush() == b''


@then('any split of a stream passes the same bytes in whole events')
def step_split(context):
    check_split()


@then('an endless event is passed on and makes the stream not resumable')
def step_endless(context):
    chat = ChatStream(is_resumable=True)
    forwarded = [chat.feed(b'x' * MAX_KEPT_BYTES) for _ in range(3)]
    assert len(b''.join(forwarded)) >= 2 * MAX_KEPT_BYTES
    assert not chat.is_resumable
