"""Records of the turn log: encoding, keys and retention."""

import struct
from dataclasses import dataclass

from rattanvalve import wire
from rattanvalve.errors import FrameError
from rattanvalve.sharedstate.rules import TrafficRules
from rattanvalve.turn_messages import Reserve, SettleTurn, TurnRecord

__all__ = (
    'LEDGER_RETENTION_MS',
    'RETENTION_MARGIN_S',
    'TURN_KEY_PREFIX',
    'LogRecord',
    'LoggedMessage',
    'decode_record',
    'encode_record',
    'record_key',
    'retention_max_ms',
    'turn_key',
)

LoggedMessage = Reserve | SettleTurn | TurnRecord

_HEADER = struct.Struct('>qB')
#: Records are retained longer than requested, to allow for clock skew and for
#: the time between the end of a turn and the caller's next turn.
RETENTION_MARGIN_S = 20.0
#: Minimum retention of the ledger of a budget.
LEDGER_RETENTION_MS = 60_000
#: Assumed while the retention of turns is not known.
UNKNOWN_RETENTION_MS = 2**53
#: Differences between clocks, for those who compare times of several stores.
CLOCK_MARGIN_MS = 20_000
TURN_KEY_PREFIX = 't:'
_PREFIXES = {Reserve: 'r:', SettleTurn: 's:', TurnRecord: TURN_KEY_PREFIX}
_CLASSES = {wire.kind_number(kind()): kind for kind in _PREFIXES}


@dataclass(frozen=True, slots=True)
class LogRecord:
    """A message with the Unix time in milliseconds at which it was written."""

    written_ms: int
    message: LoggedMessage

    def expires_s(self) -> float:
        """Compute when the record expires.

        :returns: Unix time in seconds, with the retention margin.
        """
        expires_ms = self.written_ms + self.message.retention_ms
        return expires_ms / 1000 + RETENTION_MARGIN_S


def retention_max_ms(rules: TrafficRules) -> int:
    """Compute the longest time for which any record may be needed.

    :param rules: rules of the operators.
    :returns: time in milliseconds since the record was written, with margins;
        practically unlimited while there are no rules.
    """
    if not rules.version:
        return UNKNOWN_RETENTION_MS
    retained = [route.retention_ms for route in rules.routes]
    longest_ms = max((LEDGER_RETENTION_MS, *retained))
    return longest_ms + int(RETENTION_MARGIN_S * 1000) + CLOCK_MARGIN_MS


def record_key(message: LoggedMessage) -> str:
    """Return the key of a record; equal keys imply equal content.

    :param message: message of the record.
    :returns: prefix of the message class, then the turn id.
    """
    return f'{_PREFIXES[type(message)]}{message.turn_id}'


def turn_key(turn_id: str) -> str:
    """Return the key of the record of a completed turn.

    :param turn_id: id of the turn.
    :returns: key, as :func:`record_key` of the record.
    """
    return f'{TURN_KEY_PREFIX}{turn_id}'


def encode_record(record: LogRecord) -> bytes:
    """Encode a record for the log and for peers.

    :param record: record to encode.
    :returns: header with time and kind, then the encoded message.
    """
    header = _HEADER.pack(record.written_ms, wire.kind_number(record.message))
    return header + wire.encode_struct(record.message)


def decode_record(encoded: bytes) -> LogRecord:
    """Decode a record from the log or from a peer.

    :param encoded: result of :func:`encode_record`.
    :returns: decoded record.
    :raises FrameError: if the record is malformed or of an unknown kind.
    """
    try:
        written_ms, kind = _HEADER.unpack_from(encoded)
        message_class = _CLASSES[kind]
    except (struct.error, KeyError) as error:
        raise FrameError('malformed record') from error
    message = wire.decode_struct(message_class, encoded[_HEADER.size :])
    return LogRecord(written_ms, message)
