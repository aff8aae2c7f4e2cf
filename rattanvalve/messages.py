"""Messages between processes as immutable data classes.

Field names match ``rattanvalve.thrift``. An empty string means that a name,
identifier or digest is absent. Token counts are whole tokens; ``_ms`` fields
are milliseconds relative to the time of sending, since monotonic clocks of
two VMs cannot be compared.
"""

from dataclasses import dataclass, field

__all__ = (
    'Ack',
    'Announce',
    'Begin',
    'Chunk',
    'Document',
    'End',
    'Explain',
    'Finish',
    'Handover',
    'Head',
    'Header',
    'Heartbeat',
    'Member',
    'Outcome',
    'Pull',
    'RecordSummary',
    'Refusal',
    'Release',
    'Resolve',
    'Run',
    'Seal',
    'Sealed',
    'Settle',
    'Settled',
    'Ticket',
    'Usage',
    'View',
)


@dataclass(frozen=True, slots=True, kw_only=True)
class Member:
    """A process of a cell and its peer address, as listed in the view."""

    name: str = ''
    role: str = ''
    host: str = ''
    port: int = 0
    zone: str = ''
    service_name: str = ''
    incarnation: str = ''


@dataclass(frozen=True, slots=True, kw_only=True)
class View:
    """Members of a cell at one epoch.

    ``former`` lists removed endpoint processes that may still run requests of
    an isolated owner.
    """

    cell: str = ''
    epoch: int = 0
    members: tuple[Member, ...] = ()
    change_id: str = ''
    former: tuple[Member, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class Header:
    """HTTP header of a request or a response."""

    name: str = ''
    content: str = ''


@dataclass(frozen=True, slots=True, kw_only=True)
class Usage:
    """Token counts of one run."""

    prompt_tokens: int = 0
    cached_tokens: int = 0
    output_tokens: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class Begin:
    """Requests admission from the owner of a workspace shard.

    ``config_generation`` is the configuration generation in which the ingress
    looked up the key.
    """

    request_id: str = ''
    workspace: str = ''
    shard: int = 0
    key_digest: str = ''
    program_id: str = ''
    parent_program_id: str = ''
    priority: int = 0
    idempotency_key: str = ''
    service_name: str = ''
    is_repeatable: bool = False
    prompt_tokens: int = 0
    max_tokens: int = 0
    history_digests: tuple[int, ...] = ()
    is_program_end: bool = False
    epoch: int = 0
    timeout_ms: int = 0
    config_generation: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class Ticket:
    """Permission to run one request once on one endpoint."""

    number: str = ''
    epoch: int = 0
    owner: str = ''
    request_id: str = ''
    workspace: str = ''
    shard: int = 0
    program_id: str = ''
    turn: int = 0
    service_name: str = ''
    endpoint: str = ''
    endpoint_incarnation: str = ''
    host: str = ''
    port: int = 0
    priority: int = 0
    attained_tokens: int = 0
    reserved_tokens: int = 0
    is_repeatable: bool = False
    idempotency_key: str = ''
    history_digest: int = 0
    timeout_ms: int = 0
    cache_hold_ms: int = 0
    is_program_end: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class Run:
    """Request to an endpoint process to run the request of a ticket."""

    ticket: Ticket = field(default_factory=Ticket)
    method: str = ''
    path: str = ''
    headers: tuple[Header, ...] = ()
    body: bytes = b''
    is_stream: bool = False
    resume_text: str = ''


@dataclass(frozen=True, slots=True, kw_only=True)
class Head:
    """HTTP status and headers of a response, sent before its first chunk."""

    number: str = ''
    http_status: int = 0
    headers: tuple[Header, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class Chunk:
    """Part of a response body."""

    number: str = ''
    content: bytes = b''


@dataclass(frozen=True, slots=True, kw_only=True)
class End:
    """End of a response, with its outcome and the load of the endpoint."""

    number: str = ''
    outcome: str = ''
    usage: Usage = field(default_factory=Usage)
    running_count: int = 0
    queued_count: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class Refusal:
    """Result code and detail of a request that was not run."""

    code: int = 0
    detail: str = ''
    retry_after_ms: int = 0
    epoch: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class Outcome:
    """Outcome of an earlier request and the endpoint that has its record."""

    number: str = ''
    outcome: str = ''
    endpoint: str = ''
    endpoint_incarnation: str = ''
    host: str = ''
    port: int = 0
    program_id: str = ''


@dataclass(frozen=True, slots=True, kw_only=True)
class Settle:
    """Requests the outcome of a ticket from an endpoint process."""

    number: str = ''
    epoch: int = 0
    wait_ms: int = 0
    endpoint_incarnation: str = ''


@dataclass(frozen=True, slots=True, kw_only=True)
class Settled:
    """Outcome of a ticket, with the recorded response."""

    number: str = ''
    outcome: str = ''
    http_status: int = 0
    headers: tuple[Header, ...] = ()
    body: bytes = b''
    usage: Usage = field(default_factory=Usage)


@dataclass(frozen=True, slots=True, kw_only=True)
class Finish:
    """Reports the usage and outcome of a ticket to its owner."""

    number: str = ''
    workspace: str = ''
    shard: int = 0
    program_id: str = ''
    outcome: str = ''
    usage: Usage = field(default_factory=Usage)
    epoch: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class Resolve:
    """Requests a decision of the owner after a run was interrupted."""

    number: str = ''
    request_id: str = ''
    workspace: str = ''
    shard: int = 0
    program_id: str = ''
    reason: str = ''
    is_relay_started: bool = False
    epoch: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class RecordSummary:
    """Record of a ticket at an endpoint process."""

    ticket: Ticket = field(default_factory=Ticket)
    outcome: str = ''
    usage: Usage = field(default_factory=Usage)
    age_ms: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class Seal:
    """Makes an endpoint process refuse older epochs and report records."""

    view: View = field(default_factory=View)
    owner: str = ''


@dataclass(frozen=True, slots=True, kw_only=True)
class Sealed:
    """Response to ``Seal``: the records of the shards that moved."""

    endpoint: str = ''
    incarnation: str = ''
    epoch: int = 0
    records: tuple[RecordSummary, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class Announce:
    """Membership and load that an endpoint process reports."""

    member: Member = field(default_factory=Member)
    epoch: int = 0
    running_count: int = 0
    queued_count: int = 0
    capacity_count: int = 0
    is_leaving: bool = False
    is_healthy: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class Heartbeat:
    """Epoch, generation and state that an entry process reports."""

    member: Member = field(default_factory=Member)
    epoch: int = 0
    generation: int = 0
    confirmation_age_ms: int = 0
    is_store_reachable: bool = False
    is_leaving: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class Ack:
    """Epoch and generation known to the responding process.

    ``queue_policy`` is the queue policy in the configuration of that
    generation.
    """

    epoch: int = 0
    generation: int = 0
    confirmation_age_ms: int = 0
    is_store_reachable: bool = False
    queue_policy: str = ''


@dataclass(frozen=True, slots=True, kw_only=True)
class Pull:
    """Requests a document that is newer than a version."""

    kind: str = ''
    newer_than: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class Document:
    """A versioned JSON document: view, configuration or explanation.

    ``age_ms`` is the time since the store last confirmed the version; it is
    set only between gateways and turn stores.
    """

    kind: str = ''
    version: int = 0
    body: bytes = b''
    age_ms: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class Handover:
    """Ledgers that a leaving owner transfers to their next owner."""

    epoch: int = 0
    owner: str = ''
    state: bytes = b''


@dataclass(frozen=True, slots=True, kw_only=True)
class Release:
    """Releases the engine cache of a program that moved or ended."""

    workspace: str = ''
    program_id: str = ''
    epoch: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class Explain:
    """Requests the state of a program or a request from its owner."""

    workspace: str = ''
    shard: int = 0
    program_id: str = ''
    request_id: str = ''
