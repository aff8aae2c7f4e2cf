"""Messages between processes, as data classes.

Field names match ``rattanvalve.thrift``. An empty string stands for an absent
name, identifier or digest. Token counts are whole tokens; ``_ms`` fields are
milliseconds relative to the moment of sending, since monotonic clocks of two
VMs cannot be compared.
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
    """A process of a cell, as listed in the view."""

    name: str = ''
    role: str = ''
    host: str = ''
    port: int = 0
    zone: str = ''
    service_name: str = ''
    incarnation: str = ''


@dataclass(frozen=True, slots=True, kw_only=True)
class View:
    """The members of one cell at one epoch.

    ``former`` are removed endpoint processes that may still run work of an
    isolated owner.
    """

    cell: str = ''
    epoch: int = 0
    members: tuple[Member, ...] = ()
    change_id: str = ''
    former: tuple[Member, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class Header:
    """One HTTP header of a request or an answer."""

    name: str = ''
    content: str = ''


@dataclass(frozen=True, slots=True, kw_only=True)
class Usage:
    """Tokens that one run used."""

    prompt_tokens: int = 0
    cached_tokens: int = 0
    output_tokens: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class Begin:
    """Ask the owner of a workspace shard to admit a request.

    ``config_generation`` is the generation in which the ingress found the key.
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
    """Hand a ticket and its request body to an endpoint process."""

    ticket: Ticket = field(default_factory=Ticket)
    method: str = ''
    path: str = ''
    headers: tuple[Header, ...] = ()
    body: bytes = b''
    is_stream: bool = False
    resume_text: str = ''


@dataclass(frozen=True, slots=True, kw_only=True)
class Head:
    """Status and headers of an answer, before its first chunk."""

    number: str = ''
    http_status: int = 0
    headers: tuple[Header, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class Chunk:
    """A part of the body of an answer."""

    number: str = ''
    content: bytes = b''


@dataclass(frozen=True, slots=True, kw_only=True)
class End:
    """The end of an answer."""

    number: str = ''
    outcome: str = ''
    usage: Usage = field(default_factory=Usage)
    running_count: int = 0
    queued_count: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class Refusal:
    """A request that was not run, with the reason."""

    code: int = 0
    detail: str = ''
    retry_after_ms: int = 0
    epoch: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class Outcome:
    """What is known about an earlier request, and where its record is."""

    number: str = ''
    outcome: str = ''
    endpoint: str = ''
    endpoint_incarnation: str = ''
    host: str = ''
    port: int = 0
    program_id: str = ''


@dataclass(frozen=True, slots=True, kw_only=True)
class Settle:
    """Ask an endpoint process for the outcome of a ticket."""

    number: str = ''
    epoch: int = 0
    wait_ms: int = 0
    endpoint_incarnation: str = ''


@dataclass(frozen=True, slots=True, kw_only=True)
class Settled:
    """The outcome of a ticket, with the recorded answer."""

    number: str = ''
    outcome: str = ''
    http_status: int = 0
    headers: tuple[Header, ...] = ()
    body: bytes = b''
    usage: Usage = field(default_factory=Usage)


@dataclass(frozen=True, slots=True, kw_only=True)
class Finish:
    """Report usage and outcome of a ticket to its owner."""

    number: str = ''
    workspace: str = ''
    shard: int = 0
    program_id: str = ''
    outcome: str = ''
    usage: Usage = field(default_factory=Usage)
    epoch: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class Resolve:
    """Ask the owner what to do after a run that broke off."""

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
    """The record of one ticket at an endpoint process."""

    ticket: Ticket = field(default_factory=Ticket)
    outcome: str = ''
    usage: Usage = field(default_factory=Usage)
    age_ms: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class Seal:
    """Make an endpoint process refuse older epochs and report records."""

    view: View = field(default_factory=View)
    owner: str = ''


@dataclass(frozen=True, slots=True, kw_only=True)
class Sealed:
    """Answer to ``Seal``: the records of the shards that moved."""

    endpoint: str = ''
    incarnation: str = ''
    epoch: int = 0
    records: tuple[RecordSummary, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class Announce:
    """Membership and load of an endpoint process."""

    member: Member = field(default_factory=Member)
    epoch: int = 0
    running_count: int = 0
    queued_count: int = 0
    capacity_count: int = 0
    is_leaving: bool = False
    is_healthy: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class Heartbeat:
    """Liveness and versions of an entry process."""

    member: Member = field(default_factory=Member)
    epoch: int = 0
    generation: int = 0
    confirmation_age_ms: int = 0
    is_store_reachable: bool = False
    is_leaving: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class Ack:
    """Versions known to the process that answers.

    ``queue_policy`` is the rule of the configuration of that generation.
    """

    epoch: int = 0
    generation: int = 0
    confirmation_age_ms: int = 0
    is_store_reachable: bool = False
    queue_policy: str = ''


@dataclass(frozen=True, slots=True, kw_only=True)
class Pull:
    """Ask for a document newer than a version."""

    kind: str = ''
    newer_than: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class Document:
    """A versioned JSON document: view, configuration or explanation.

    ``age_ms`` is the time since the store last confirmed the version; only
    documents between gateways and turn stores have it.
    """

    kind: str = ''
    version: int = 0
    body: bytes = b''
    age_ms: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class Handover:
    """Ledgers of a leaving owner, for their next owner."""

    epoch: int = 0
    owner: str = ''
    state: bytes = b''


@dataclass(frozen=True, slots=True, kw_only=True)
class Release:
    """Release the engine cache of a program that moved or ended."""

    workspace: str = ''
    program_id: str = ''
    epoch: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class Explain:
    """Ask an owner what it knows about a program or a request."""

    workspace: str = ''
    shard: int = 0
    program_id: str = ''
    request_id: str = ''
