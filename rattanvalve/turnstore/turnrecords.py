"""Records of the log: their encoding, their keys and how long they are kept."""

import struct
from dataclasses import dataclass

from rattanvalve import wire
from rattanvalve.errors import FrameError
from rattanvalve.turn_messages import Reserve, SettleTurn, TurnRecord

__all__ = (
    'KEEP_MARGIN_S',
    'LogRecord',
    'Stored',
    'decode_record',
    'encode_record',
    'key_of',
)

Stored = Reserve | SettleTurn | TurnRecord

_HEADER = struct.Struct('>qB')
#: Records are kept longer than asked for, by the skew of clocks and the time
#: between the end of a turn and the caller's next one.
KEEP_MARGIN_S = 20.0
_PREFIXES = {Reserve: 'r:', SettleTurn: 's:', TurnRecord: 't:'}
_CLASSES = {wire.kind_of(kind()): kind for kind in _PREFIXES}


@dataclass(frozen=True, slots=True)
class LogRecord:
    """A message with the Unix time in milliseconds at which it was written."""

    written_ms: int
    message: Stored

    def expires_s(self) -> float:
        """Tell until when the record is kept.

        :returns: Unix time in seconds.
        """
        kept_ms = self.written_ms + self.message.retention_ms
        return kept_ms / 1000 + KEEP_MARGIN_S


def key_of(message: Stored) -> str:
    """Give the key of a record; equal keys mean equal content.

    :param message: message of the record.
    :returns: key.
    """
    return f'{_PREFIXES[type(message)]}{message.turn_id}'


def encode_record(record: LogRecord) -> bytes:
    """Encode a record for the log and for peers.

    :param record: the record.
    :returns: encoded record.
    """
    header = _HEADER.pack(record.written_ms, wire.kind_of(record.message))
    return header + wire.encode_struct(record.message)


def decode_record(encoded: bytes) -> LogRecord:
    """Decode a record.

    :param encoded: encoded record.
    :returns: the record.
    :raises FrameError: if it is malformed.
    """
    try:
        written_ms, kind = _HEADER.unpack_from(encoded)
        message_class = _CLASSES[kind]
    except (struct.error, KeyError) as error:
        raise FrameError('malformed record') from error
    message = wire.decode_struct(message_class, encoded[_HEADER.size :])
    return LogRecord(written_ms, message)
