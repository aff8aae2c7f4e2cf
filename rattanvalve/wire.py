"""Frames between processes: thrift compact structs with a keyed MAC.

A frame is a 4-byte big-endian length of the rest of the frame, one byte of
protocol version, one byte of message kind, a 16-byte MAC and the payload. The
MAC covers the nonce of the connection, the direction, a frame counter, the
version, the kind and the payload, so that a frame cannot be replayed,
reordered or reflected to its sender.
"""

import hmac
import struct
from functools import cache
from hashlib import blake2b
from typing import Any

from thrift.protocol import fastbinary
from thrift.protocol.TCompactProtocol import TCompactProtocolAccelerated
from thrift.Thrift import TException, TType
from thrift.transport.TTransport import TMemoryBuffer

from rattanvalve import messages, turn_messages
from rattanvalve.errors import FrameError
from rattanvalve.wire_gen import ttypes

__all__ = (
    'HEADER_BYTES',
    'MAX_FRAME_BYTES',
    'NONCE_BYTES',
    'FrameSealer',
    'decode_struct',
    'encode_struct',
    'kind_number',
    'message_class_of_kind',
    'parse_length',
)

PROTOCOL_VERSION = 1
NONCE_BYTES = 16
MAC_BYTES = 16
LENGTH_BYTES = 4
HEADER_BYTES = LENGTH_BYTES
MAX_FRAME_BYTES = 16 * 1024 * 1024
_OVERHEAD_BYTES = 2 + MAC_BYTES

#: Message classes by their kind number on the wire. A number is never reused
#: for another message.
_CLASSES: dict[int, type] = {
    1: messages.Begin,
    2: messages.Ticket,
    3: messages.Run,
    4: messages.Head,
    5: messages.Chunk,
    6: messages.End,
    7: messages.Refusal,
    8: messages.Outcome,
    9: messages.Settle,
    10: messages.Settled,
    11: messages.Finish,
    12: messages.Resolve,
    13: messages.Seal,
    14: messages.Sealed,
    15: messages.Announce,
    16: messages.Heartbeat,
    17: messages.Ack,
    18: messages.Pull,
    19: messages.Document,
    20: messages.Handover,
    21: messages.Explain,
    22: messages.View,
    23: messages.Release,
    24: turn_messages.Reserve,
    25: turn_messages.Ledger,
    26: turn_messages.TurnRecord,
    27: turn_messages.SettleTurn,
    28: turn_messages.Stored,
    29: turn_messages.FetchTurn,
    30: turn_messages.TurnChain,
    31: turn_messages.ListRecords,
    32: turn_messages.RecordList,
    33: turn_messages.FetchRecords,
    34: turn_messages.RecordBatch,
    35: turn_messages.TakeRate,
    36: turn_messages.RateGrant,
    37: turn_messages.Introduce,
    38: turn_messages.GatewayList,
    39: turn_messages.ProbeRelay,
    40: turn_messages.RelayState,
    41: turn_messages.Relayed,
    42: turn_messages.Observations,
    43: turn_messages.TakeEndpointRate,
    44: turn_messages.TransferRates,
    45: turn_messages.RatesAccepted,
    46: turn_messages.ExplainPlacement,
    47: turn_messages.PlacementExplained,
}
_KIND_NUMBERS = {
    message_class: number for number, message_class in _CLASSES.items()
}


#: Exceptions of the thrift decoder for a malformed payload.
_DECODE_ERRORS = (
    TException,
    EOFError,
    ValueError,
    TypeError,
    AttributeError,
    OverflowError,
    MemoryError,
    RecursionError,
)


def message_class_of_kind(number: int) -> type | None:
    """Return the message class of a kind number.

    :param number: message kind on the wire.
    :returns: the class, or ``None`` for an unknown kind.
    """
    return _CLASSES.get(number)


def kind_number(message: Any) -> int:
    """Return the kind number of a message.

    :param message: instance of a class in :mod:`rattanvalve.messages` or
        :mod:`rattanvalve.turn_messages`.
    :returns: message kind on the wire.
    :raises FrameError: if the class has no kind, since it is sent only as a
        field of other messages.
    """
    number = _KIND_NUMBERS.get(type(message))
    if number is None:
        raise FrameError(f'no message kind for {type(message).__name__}')
    return number


def parse_length(header: bytes) -> int:
    """Decode the length header of a frame.

    :param header: the first ``HEADER_BYTES`` bytes.
    :returns: length of the rest of the frame in bytes.
    :raises FrameError: if the length is below the overhead of a frame or
        above ``MAX_FRAME_BYTES``.
    """
    length = int.from_bytes(header, 'big')
    if not _OVERHEAD_BYTES <= length <= MAX_FRAME_BYTES:
        raise FrameError(f'frame length {length} bytes is out of range')
    return length


class FrameSealer:
    """Authenticates the frames of one direction of one connection.

    :param secret: shared secret of the processes.
    :param nonce: nonce that the accepting side sent.
    :param direction: ``b'c'`` for frames that the connecting side sends,
        ``b's'`` for those of the accepting side.
    """

    def __init__(self, secret: bytes, nonce: bytes, direction: bytes) -> None:
        self._keyed_hash = blake2b(
            nonce + direction,
            key=secret,
            digest_size=MAC_BYTES,
        )
        self._frame_count = 0

    def seal(self, message: Any) -> bytes:
        """Encode a message as the next frame.

        :param message: message to send.
        :returns: the frame with its length header.
        :raises FrameError: if the frame would be too large.
        """
        payload = encode_struct(message)
        kind = kind_number(message)
        length = _OVERHEAD_BYTES + len(payload)
        if length > MAX_FRAME_BYTES:
            raise FrameError(f'frame of {length} bytes is too large')
        head = bytes((PROTOCOL_VERSION, kind))
        mac = self._next_mac(head, payload)
        return b''.join(
            (length.to_bytes(LENGTH_BYTES, 'big'), head, mac, payload)
        )

    def open(self, body: bytes) -> Any:
        """Check and decode the next frame.

        :param body: frame without its length header.
        :returns: the message.
        :raises FrameError: if version, MAC, kind or payload is wrong.
        """
        head, mac = body[:2], body[2:_OVERHEAD_BYTES]
        payload = body[_OVERHEAD_BYTES:]
        if not hmac.compare_digest(mac, self._next_mac(head, payload)):
            raise FrameError('frame authentication failed')
        if head[0] != PROTOCOL_VERSION or head[1] not in _CLASSES:
            raise FrameError(f'unknown frame version or kind {head.hex()}')
        return decode_struct(_CLASSES[head[1]], payload)

    def _next_mac(self, head: bytes, payload: bytes) -> bytes:
        mac = self._keyed_hash.copy()
        mac.update(struct.pack('>Q', self._frame_count))
        mac.update(head)
        mac.update(payload)
        self._frame_count += 1
        return mac.digest()


def encode_struct(message: Any) -> bytes:
    """Encode a message in the thrift compact protocol.

    :param message: instance of a class in :mod:`rattanvalve.messages` or
        :mod:`rattanvalve.turn_messages`.
    :returns: encoded bytes.
    """
    # The encoder reads attributes by name, so it accepts instances of other
    # classes than the generated ones.
    return fastbinary.encode_compact(message, _codec_arguments(type(message)))


def decode_struct(message_class: type, payload: bytes) -> Any:
    """Decode a message from the thrift compact protocol.

    :param message_class: class of the message.
    :param payload: encoded bytes.
    :returns: instance of the class; absent fields have their defaults and
        unknown fields are ignored.
    :raises FrameError: if the payload is malformed.
    """
    protocol = TCompactProtocolAccelerated(TMemoryBuffer(payload))
    try:
        return fastbinary.decode_compact(
            None, protocol, _codec_arguments(message_class)
        )
    except _DECODE_ERRORS as error:
        raise FrameError(f'malformed {message_class.__name__}') from error


@cache
def _codec_arguments(message_class: type) -> list[Any]:
    """Return the type arguments of a message class for the thrift codec.

    They are the generated field types with the immutable message classes in
    place of the generated ones, so that the codec creates these directly and
    no message is copied field by field.
    """
    generated = getattr(ttypes, message_class.__name__).thrift_spec
    return [
        message_class,
        tuple(field and _field_spec(field) for field in generated),
    ]


def _field_spec(field: tuple[Any, ...]) -> tuple[Any, ...]:
    return (*field[:3], _type_argument(field[1], field[3]), field[4])


def _message_class(name: str) -> type:
    module = messages if name in messages.__all__ else turn_messages
    return getattr(module, name)


def _type_argument(type_number: int, argument: Any) -> Any:
    if type_number == TType.STRUCT:
        return _codec_arguments(_message_class(argument[0].__name__))
    if type_number == TType.LIST:
        item_type, item_argument, _ = argument
        # The last element makes the codec decode the list as a tuple.
        return item_type, _type_argument(item_type, item_argument), True
    return argument
