"""Messages of the turn store protocol, as data classes.

Field names match ``rattanvalve.thrift``; the conventions are those of
:mod:`rattanvalve.messages`.
"""

from dataclasses import dataclass, field

__all__ = (
    'EndpointLimit',
    'EndpointLoadReport',
    'ExplainPlacement',
    'ExplainedCandidate',
    'FetchRecords',
    'FetchTurn',
    'GatewayList',
    'Introduce',
    'Ledger',
    'LedgerEntry',
    'ListRecords',
    'Observations',
    'PlacementExplained',
    'ProbeRelay',
    'RateGrant',
    'RateTransfer',
    'RatesAccepted',
    'RecordBatch',
    'RecordKey',
    'RecordList',
    'RelayState',
    'Relayed',
    'RequestCrash',
    'Reserve',
    'SettleTurn',
    'Stored',
    'TakeEndpointRate',
    'TakeRate',
    'TransferRates',
    'TurnChain',
    'TurnRecord',
)


@dataclass(frozen=True, slots=True, kw_only=True)
class LedgerEntry:
    """Tokens of one turn: the generated count if settled, else the maximum."""

    turn_id: str = ''
    tokens: int = 0
    is_settled: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class Reserve:
    """Reserve the maximum tokens of a turn before it is sent to an engine.

    ``epoch`` is that of the sender's list of members; a store with another
    one does not store the message. The same holds for each such field below.
    """

    program_id: str = ''
    turn_id: str = ''
    tokens: int = 0
    retention_ms: int = 0
    epoch: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class Ledger:
    """Token counts of a program that one store has.

    ``is_complete`` is false while the store may lack records of the program,
    and if its list of members has another epoch than the request. ``epoch``
    is that of its list.
    """

    is_complete: bool = False
    entries: tuple[LedgerEntry, ...] = ()
    epoch: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class TurnRecord:
    """A completed turn: its new input, its output and its tokens."""

    turn_id: str = ''
    program_id: str = ''
    workspace: str = ''
    previous_id: str = ''
    prompt: bytes = b''
    output: bytes = b''
    tokens: int = 0
    retention_ms: int = 0
    epoch: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class SettleTurn:
    """Replace the reservation of a turn by the tokens that it generated."""

    program_id: str = ''
    turn_id: str = ''
    tokens: int = 0
    retention_ms: int = 0
    epoch: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class Stored:
    """Acknowledge a record; ``is_complete`` as in :class:`Ledger`."""

    is_complete: bool = False
    epoch: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class FetchTurn:
    """Request a turn and its predecessors."""

    turn_id: str = ''
    epoch: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class TurnChain:
    """The requested turn and its known predecessors, newest first.

    ``is_complete`` means that the store lacks no record of any program that
    earlier lists of members let others store.
    """

    is_complete: bool = False
    turns: tuple[TurnRecord, ...] = ()
    epoch: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class RecordKey:
    """Key of a stored record and the program that determines its placement."""

    key: str = ''
    program_id: str = ''


@dataclass(frozen=True, slots=True, kw_only=True)
class ListRecords:
    """Request the keys of the records that a store got from a position on.

    ``complete_epoch`` is the epoch at which the sender was last complete.
    """

    member: str = ''
    after: int = 0
    epoch: int = 0
    complete_epoch: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class RecordList:
    """Keys of records in arrival order.

    Positions are valid only for one ``incarnation``, that is, until the store
    restarts. The store accepts no record of an earlier list of members than
    that of ``epoch`` any more. ``is_intact`` is false while it may lack records
    that it had acknowledged on a disk that was lost.
    """

    incarnation: str = ''
    next_after: int = 0
    is_end: bool = False
    keys: tuple[RecordKey, ...] = ()
    epoch: int = 0
    is_intact: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class FetchRecords:
    """Request records by key."""

    keys: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class RecordBatch:
    """Records as encoded in the log.

    They are those of the first ``key_count`` requested keys; the others did
    not fit into the message.
    """

    records: tuple[bytes, ...] = ()
    key_count: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class EndpointLoadReport:
    """What one incarnation of an endpoint last reported about its load.

    ``endpoint`` is the key of the incarnation, ``count`` the number of running
    and queued requests. ``speed_percent`` is how long work takes there at
    present; 100 is its usual duration. ``age_ms`` is the time since the report.
    """

    endpoint: str = ''
    count: int = 0
    speed_percent: int = 100
    age_ms: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class TakeRate:
    """Request a token of a workspace's rate limit for one request.

    ``is_start`` is true for the first request of a program; ``priority`` is
    its rank, 0 is the highest; ``wait_max_ms`` is the longest time that it may
    wait for its token. ``loads`` holds the load reports that the store may
    lack.
    """

    workspace: str = ''
    is_start: bool = False
    priority: int = 0
    wait_max_ms: int = 0
    loads: tuple[EndpointLoadReport, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class RateGrant:
    """Whether the store grants a request a token of its share of the rate.

    ``is_known`` is false while the store has no configuration or no share of
    the workspace's rate. A granted request may be sent after ``wait_ms``; a
    refused one may be retried after that time. ``loads`` holds load reports
    that are newer than those of the request. ``used_percent`` is the recent
    use of the rate by the workspace, in percent of the rate.
    """

    is_known: bool = False
    is_granted: bool = False
    wait_ms: int = 0
    loads: tuple[EndpointLoadReport, ...] = ()
    used_percent: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class RateTransfer:
    """Tokens of one workspace that another store of its group hands over."""

    workspace: str = ''
    tokens: float = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class TransferRates:
    """Hand over unused tokens; the sender has removed them from its buckets."""

    transfers: tuple[RateTransfer, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class RatesAccepted:
    """Answer to :class:`TransferRates`."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ExplainPlacement:
    """Ask a gateway where it would send a request now; nothing is sent.

    ``prompt_parts`` has the form of the header ``Prompt-Prefix``.
    """

    host: str = ''
    path: str = ''
    workspace: str = ''
    prompt_parts: str = ''
    request_id: str = ''
    payload_bytes: int = 0
    continues_program: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class ExplainedCandidate:
    """What a gateway expects of one endpoint.

    ``report_age_ms`` is -1 without a usable report.
    ``surcharge_ms`` is the cost of a token and of a new connection;
    ``expected_ms`` does not include it.
    """

    endpoint: str = ''
    zone: str = ''
    expected_count: float = 0
    report_age_ms: int = 0
    cached_tokens: int = 0
    has_idle_connection: bool = False
    is_preferred: bool = False
    is_avoided: bool = False
    has_room: bool = False
    health_penalty_ms: float = 0
    surcharge_ms: float = 0
    expected_ms: float = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class PlacementExplained:
    """Answer to :class:`ExplainPlacement`; ``chosen`` is empty if refused."""

    service_name: str = ''
    chosen: str = ''
    reason: str = ''
    candidates: tuple[ExplainedCandidate, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class Introduce:
    """Announce to a member that a gateway accepts frames at an address."""

    host: str = ''
    port: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class GatewayList:
    """Hosts of the gateways that announced themselves recently."""

    hosts: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class ProbeRelay:
    """Ask another gateway whether it reaches the turn stores."""


@dataclass(frozen=True, slots=True, kw_only=True)
class RelayState:
    """Whether a gateway, or a call relayed by it, reached the turn stores."""

    reaches_stores: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class Relayed:
    """A message to a member of the turn store, relayed by a gateway.

    ``kind`` is the wire number of the message class in ``payload``.
    """

    host: str = ''
    port: int = 0
    kind: int = 0
    payload: bytes = b''
    timeout_ms: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class EndpointLimit:
    """What an endpoint last stated about its request rate limit.

    ``endpoint`` names one incarnation of the endpoint. ``rate_per_s`` counts
    only if ``is_limited`` is true; otherwise a response stated no limit any
    more. ``age_ms`` is the time since that response.
    """

    endpoint: str = ''
    is_limited: bool = False
    rate_per_s: float = 0
    age_ms: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestCrash:
    """Crash of one incarnation of an endpoint while it ran a request.

    ``run_ms`` is the time from sending the request to the crash, and
    ``crash_age_ms`` the time since then. ``is_cleared`` means that the request
    was served as a whole afterwards, or that an operator lifted its block.
    """

    fingerprint: str = ''
    endpoint: str = ''
    workspace: str = ''
    path: str = ''
    run_ms: int = 0
    crash_age_ms: int = 0
    is_cleared: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class Observations:
    """What a process knows of limits, crashes and loads of endpoints.

    ``crash_digest`` is the digest of all crashes that the sender knows.
    ``crashes`` holds only those that the receiver may lack. A turn store that
    knows no more of them than the sender waits up to ``wait_ms`` for news
    before it answers.
    """

    limits: tuple[EndpointLimit, ...] = ()
    crashes: tuple[RequestCrash, ...] = ()
    crash_digest: int = 0
    wait_ms: int = 0
    loads: tuple[EndpointLoadReport, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class TakeEndpointRate:
    """Request a token of an endpoint's rate limit for one request.

    ``is_start`` is false only for a request that continues a program. The other
    fields are those of :class:`TakeRate`.
    """

    limit: EndpointLimit = field(default_factory=EndpointLimit)
    is_start: bool = False
    priority: int = 0
    wait_max_ms: int = 0
