"""Steps of wire.feature, over every message class."""

import dataclasses
from functools import partial
from typing import get_args, get_origin, get_type_hints

from behave import given, then
from thrift.protocol.TCompactProtocol import TCompactProtocolAccelerated
from thrift.transport.TTransport import TMemoryBuffer

from rattanvalve import messages, turn_messages, wire
from rattanvalve.errors import FrameError
from rattanvalve.wire_gen import ttypes

SECRET = b's' * 32
NONCE = b'n' * wire.NONCE_BYTES
#: All message classes, also those that are only fields of other messages.
MESSAGE_CLASSES = tuple(
    getattr(module, name)
    for module in (messages, turn_messages)
    for name in module.__all__
)
#: Values by field type, all different from the defaults; other types get 7.
SAMPLES = {str: 'žúr', int: 2**31 - 1, bool: True, bytes: b'\xff\x00'}


def build_sample(kind):
    """Build a message in which each field differs from its default."""
    fields = {}
    for name, hint in get_type_hints(kind).items():
        is_list = get_origin(hint) is tuple
        item = get_args(hint)[0] if is_list else hint
        is_message = dataclasses.is_dataclass(item)
        content = build_sample(item) if is_message else SAMPLES.get(item, 7)
        fields[name] = (content, content) if is_list else content
    return kind(**fields)


def to_plain_values(message):
    """Convert a message, also of a generated class, to lists and dicts."""
    if isinstance(message, (list, tuple)):
        return [to_plain_values(part) for part in message]
    classes = {kind.__name__: kind for kind in MESSAGE_CLASSES}
    kind = classes.get(type(message).__name__)
    if kind is not None:
        names = get_type_hints(kind)
        return {name: to_plain_values(getattr(message, name)) for name in names}
    return message


def open_first_frame(frame, secret=SECRET, direction=b'c'):
    """Open a frame as the first one of a new connection."""
    sealer = wire.FrameSealer(secret, NONCE, direction)
    return sealer.open(frame[wire.HEADER_BYTES :])


def is_refused(action):
    """Return whether an action raises ``FrameError``."""
    try:
        action()
    except FrameError:
        return True
    return False


@then('every message class decodes to what was encoded')
def step_round_trip(context):
    for kind in MESSAGE_CLASSES:
        message = build_sample(kind)
        encoded = wire.encode_struct(message)
        assert wire.decode_struct(kind, encoded) == message, kind


@then('the generated code reads and writes the same bytes')
def step_generated(context):
    for kind in MESSAGE_CLASSES:
        name = kind.__name__
        message = build_sample(kind)
        encoded = wire.encode_struct(message)
        generated = getattr(ttypes, name)()
        generated.read(TCompactProtocolAccelerated(TMemoryBuffer(encoded)))
        assert to_plain_values(generated) == to_plain_values(message), name
        buffer = TMemoryBuffer()
        generated.write(TCompactProtocolAccelerated(buffer))
        assert buffer.getvalue() == encoded, name


@then('absent fields have their defaults and unknown ones are passed over')
def step_versions(context):
    encoded = wire.encode_struct(messages.Heartbeat(epoch=7))
    assert wire.decode_struct(messages.Ack, b'\0') == messages.Ack()
    # These fields are unknown to Ack or have another type there.
    assert isinstance(wire.decode_struct(messages.Ack, encoded), messages.Ack)


@then('truncated payloads of every message are refused')
def step_truncated(context):
    for kind in MESSAGE_CLASSES:
        name = kind.__name__
        encoded = wire.encode_struct(build_sample(kind))
        for length in range(len(encoded)):
            assert is_refused(
                partial(wire.decode_struct, kind, encoded[:length]),
            ), (name, length)


@given('a sealed frame')
def step_sealed(context):
    sealer = wire.FrameSealer(SECRET, NONCE, b'c')
    context.frame = sealer.seal(messages.Settle(number='entry-a/1/1'))
    assert open_first_frame(context.frame).number == 'entry-a/1/1'


@then('the frame is refused after any single byte is changed')
def step_changed(context):
    for offset in range(wire.HEADER_BYTES, len(context.frame)):
        changed = bytearray(context.frame)
        changed[offset] ^= 1
        assert is_refused(
            lambda frame=bytes(changed): open_first_frame(frame)
        ), offset


@then('the frame is refused a second time')
def step_replayed(context):
    sealer = wire.FrameSealer(SECRET, NONCE, b'c')
    body = context.frame[wire.HEADER_BYTES :]
    sealer.open(body)
    assert is_refused(lambda: sealer.open(body))


@then('the frame is refused by a connection with another secret')
def step_foreign(context):
    assert is_refused(lambda: open_first_frame(context.frame, secret=b'x' * 32))


@then('the frame is refused in the other direction')
def step_reflected(context):
    assert is_refused(lambda: open_first_frame(context.frame, direction=b's'))


@then('lengths below the overhead and above the limit are refused')
def step_lengths(context):
    for length in (0, 17, wire.MAX_FRAME_BYTES + 1, 2**32 - 1):
        header = length.to_bytes(4)
        assert is_refused(lambda raw=header: wire.parse_length(raw))
    assert wire.parse_length(wire.MAX_FRAME_BYTES.to_bytes(4)) > 0
