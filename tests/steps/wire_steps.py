"""Steps of wire.feature."""

import dataclasses

from behave import given, then

from rattanvalve import messages, wire
from rattanvalve.errors import FrameError

SECRET = b's' * 32
NONCE = b'n' * wire.NONCE_BYTES
#: Values by field type, chosen to differ from the defaults.
SAMPLES = {str: 'žúr', int: 2**31 - 1, bool: True, bytes: b'\xff\x00'}


def sample_of(kind):
    """Build a message with every field set."""
    fields = {}
    for name, nested, is_list in wire._field_plan(kind):
        field = next(f for f in dataclasses.fields(kind) if f.name == name)
        content = sample_of(nested) if nested else SAMPLES.get(field.type, 7)
        fields[name] = (content, content) if is_list else content
    return kind(**fields)


def open_again(frame, secret=SECRET, direction=b'c'):
    """Open a frame with a new sealer."""
    sealer = wire.FrameSealer(secret, NONCE, direction)
    return sealer.open(frame[wire.HEADER_BYTES :])


def is_refused(action):
    """Tell whether an action raises a frame error."""
    try:
        action()
    except FrameError:
        return True
    return False


@then('every message class decodes to what was encoded')
def step_round_trip(context):
    for name in messages.__all__:
        message = sample_of(getattr(messages, name))
        encoded = wire.encode_struct(message)
        assert wire.decode_struct(type(message), encoded) == message, name


@given('a sealed frame')
def step_sealed(context):
    sealer = wire.FrameSealer(SECRET, NONCE, b'c')
    context.frame = sealer.seal(messages.Settle(number='entry-a/1/1'))
    assert open_again(context.frame).number == 'entry-a/1/1'


@then('the frame is refused after any single byte is changed')
def step_changed(context):
    for place in range(wire.HEADER_BYTES, len(context.frame)):
        changed = bytearray(context.frame)
        changed[place] ^= 1
        assert is_refused(lambda frame=bytes(changed): open_again(frame)), place


@then('the frame is refused a second time')
def step_replayed(context):
    sealer = wire.FrameSealer(SECRET, NONCE, b'c')
    body = context.frame[wire.HEADER_BYTES :]
    sealer.open(body)
    assert is_refused(lambda: sealer.open(body))


@then('the frame is refused by a connection with another secret')
def step_foreign(context):
    assert is_refused(lambda: open_again(context.frame, secret=b'x' * 32))


@then('the frame is refused in the other direction')
def step_reflected(context):
    assert is_refused(lambda: open_again(context.frame, direction=b's'))


@then('lengths below the overhead and above the limit are refused')
def step_lengths(context):
    for length in (0, 17, wire.MAX_FRAME_BYTES + 1, 2**32 - 1):
        header = length.to_bytes(4)
        assert is_refused(lambda raw=header: wire.parse_length(raw))
    assert wire.parse_length(wire.MAX_FRAME_BYTES.to_bytes(4)) > 0
