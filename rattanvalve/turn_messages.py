"""Messages to and from the turn store, as data classes.

Field names match ``rattanvalve.thrift``; the conventions are those of
:mod:`rattanvalve.messages`.
"""

from dataclasses import dataclass

__all__ = (
    'FetchRecords',
    'FetchTurn',
    'GatewayList',
    'Introduce',
    'Ledger',
    'LedgerEntry',
    'ListRecords',
    'ProbeRelay',
    'RateGrant',
    'RecordBatch',
    'RecordKey',
    'RecordList',
    'RelayState',
    'Relayed',
    'Reserve',
    'SettleTurn',
    'Stored',
    'TakeRate',
    'TurnChain',
    'TurnRecord',
)


@dataclass(frozen=True, slots=True, kw_only=True)
class LedgerEntry:
    """Tokens of one turn: at most if it is not settled, else as generated."""

    turn_id: str = ''
    tokens: int = 0
    is_settled: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class Reserve:
    """Count the most that a turn may generate, before it is sent."""

    program_id: str = ''
    turn_id: str = ''
    tokens: int = 0
    retention_ms: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class Ledger:
    """What one store knows of the tokens of a program.

    ``is_complete`` is false while a store that lost its disk catches up.
    """

    is_complete: bool = False
    entries: tuple[LedgerEntry, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class TurnRecord:
    """A turn that ended whole: its new input, its output and its tokens."""

    turn_id: str = ''
    program_id: str = ''
    workspace: str = ''
    previous_id: str = ''
    prompt: bytes = b''
    output: bytes = b''
    tokens: int = 0
    retention_ms: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class SettleTurn:
    """Replace the reservation of a turn by what it generated."""

    program_id: str = ''
    turn_id: str = ''
    tokens: int = 0
    retention_ms: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class Stored:
    """A record is on disk; ``is_complete`` as in :class:`Ledger`."""

    is_complete: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class FetchTurn:
    """Ask for a turn and the turns that it continues."""

    turn_id: str = ''


@dataclass(frozen=True, slots=True, kw_only=True)
class TurnChain:
    """Turns from the one asked for back to the first, as far as known."""

    is_complete: bool = False
    turns: tuple[TurnRecord, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class RecordKey:
    """Key of a stored record and the program that places it."""

    key: str = ''
    program_id: str = ''


@dataclass(frozen=True, slots=True, kw_only=True)
class ListRecords:
    """Ask a store which records it got after a position."""

    member: str = ''
    after: int = 0
    members_version: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class RecordList:
    """Keys of records in the order of arrival; positions end at a restart."""

    incarnation: str = ''
    next_after: int = 0
    is_end: bool = False
    keys: tuple[RecordKey, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class FetchRecords:
    """Ask a store for records by key."""

    keys: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class RecordBatch:
    """Encoded records, as they lie in the log."""

    records: tuple[bytes, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class TakeRate:
    """Ask for one request within the rate of a workspace.

    ``is_start`` says that a program begins with it; ``priority`` is its rank,
    0 first; ``wait_max_ms`` is how long it may wait for its turn.
    """

    workspace: str = ''
    is_start: bool = False
    priority: int = 0
    wait_max_ms: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class RateGrant:
    """Whether the request is within this store's share of the rate.

    ``is_known`` is false while the store has no configuration. A request that
    is granted may be sent after ``wait_ms``; one that is not may come again
    then.
    """

    is_known: bool = False
    is_granted: bool = False
    wait_ms: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class Introduce:
    """Tell a member that a gateway takes frames at an address."""

    host: str = ''
    port: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class GatewayList:
    """Hosts of the gateways that made themselves known a moment ago."""

    hosts: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class ProbeRelay:
    """Ask another gateway whether it reaches the turn stores."""


@dataclass(frozen=True, slots=True, kw_only=True)
class RelayState:
    """Whether a gateway reaches the turn stores, or a call through it did."""

    reaches_stores: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class Relayed:
    """A message to a member of the turn store, sent through a gateway.

    ``kind`` is the wire number of the message in ``payload``.
    """

    host: str = ''
    port: int = 0
    kind: int = 0
    payload: bytes = b''
    timeout_ms: int = 0
