"""Parsed requests of callers: input of admission, placement and retries."""

import math
from dataclasses import dataclass, field
from hashlib import blake2b

from rattanvalve.gateway.events import EventParser
from rattanvalve.gateway.loads import PromptPart
from rattanvalve.platform import names
from rattanvalve.platform.number_bounds import TOKENS_MAX
from rattanvalve.resultcodes import ResultCode
from rattanvalve.sharedstate.rules import Route, Workspace
from rattanvalve.wholenumbers import parse_whole_number

__all__ = (
    'CONTINUATION_RANK',
    'Call',
    'Refusal',
    'TurnHeaders',
    'parse_header_number',
    'parse_turn_headers',
    'request_fingerprint',
)


#: Rank of requests that continue a program. Others rank behind by priority.
CONTINUATION_RANK = 0
#: Size of the digest that identifies a repeated request.
FINGERPRINT_BYTES = 12


@dataclass(frozen=True, slots=True)
class Refusal:
    """Result code of a refused request and the delay before a retry, if any."""

    code: ResultCode
    retry_after_s: float | None = None


@dataclass(frozen=True, slots=True)
class TurnHeaders:
    """Fields of a request that describe its program and its turn."""

    program_id: str
    previous_id: str
    budget_tokens: int | None
    output_tokens_max: int
    finish_ms: float | None
    parts: tuple[PromptPart, ...]
    #: Whether the token budget is unreadable or comes without a program id.
    is_malformed: bool = False


@dataclass(slots=True)
class Call:
    """An admitted request, with the state of its execution.

    ``received_s`` and ``deadline_s`` are monotonic times in seconds.
    ``headers`` holds only headers that may be forwarded.
    """

    request_id: str
    method: str
    target: str
    headers: list[tuple[str, str]]
    body: bytes
    route: Route
    workspace: Workspace | None
    received_s: float
    deadline_s: float
    turn: TurnHeaders
    #: API key of the caller; never logged and never forwarded.
    key: str = field(default='', repr=False)
    priority: int = 0
    #: Boot-clock time in seconds at which the rate grant expires.
    grant_expires_s: float = math.inf
    #: Bytes of the earlier turns, sent before the body.
    context: tuple[bytes, ...] = ()
    #: Id of the last event that the caller received; the stream resumes after
    #: it.
    resume_after: int | None = None
    #: Parser of the forwarded stream; ``None`` until the stream starts.
    event_parser: EventParser | None = None
    #: Whether other turns of the program have generated tokens.
    has_program_begun: bool = False
    #: Text of :attr:`fingerprint`; empty until it is needed.
    known_fingerprint: str = ''
    #: Whether the generated tokens were sent to the turn store.
    is_settled: bool = False

    @property
    def fingerprint(self) -> str:
        """Return a digest that all repetitions of this request share.

        Ids, the program and its earlier turns do not count, as they change
        with each repetition.

        :returns: hexadecimal digest of path, workspace and body.
        """
        if not self.known_fingerprint:
            self.known_fingerprint = request_fingerprint(
                self.target, self.workspace_name, self.body
            )
        return self.known_fingerprint

    def drop_payload(self) -> None:
        """Free the body and the context; keep the fingerprint."""
        self.known_fingerprint = self.fingerprint
        self.body = b''
        self.context = ()

    @property
    def payload_bytes(self) -> int:
        """Return the content length of the forwarded request.

        :returns: length in bytes of the earlier turns and the body.
        """
        return len(self.body) + sum(map(len, self.context))

    @property
    def is_program_start(self) -> bool:
        """Return whether this request is the first turn of its program.

        :returns: whether it is a turn that continues no earlier one and
            whose program has no tokens of other turns.
        """
        turn = self.turn
        is_turn = self.route.is_stream and bool(turn.program_id)
        return is_turn and not (turn.previous_id or self.has_program_begun)

    @property
    def rank(self) -> int:
        """Rank this request for scarce capacity; lower ranks go first.

        :returns: ``CONTINUATION_RANK`` for a request that continues a program;
            those that start one or belong to none follow by priority.
        """
        if self.turn.program_id and not self.is_program_start:
            return CONTINUATION_RANK
        return CONTINUATION_RANK + 1 + self.priority

    @property
    def has_stream_started(self) -> bool:
        """Return whether the response stream has started.

        :returns: whether the response may only continue that stream.
        """
        return self.event_parser is not None

    @property
    def forwarded_event_count(self) -> int:
        """Return the number of events that were forwarded to the caller.

        :returns: number of complete events; 0 before the stream starts.
        """
        return self.event_parser.event_count if self.event_parser else 0

    @property
    def workspace_name(self) -> str:
        """Return the name of the caller's workspace.

        :returns: the name; empty if the route needs no API key.
        """
        return self.workspace.name if self.workspace else ''


def request_fingerprint(target: str, workspace: str, body: bytes) -> str:
    """Compute the digest that identifies a request when it is repeated.

    :param target: path and query as received.
    :param workspace: name of the caller's workspace.
    :param body: body as received.
    :returns: hexadecimal digest.
    """
    digest = blake2b(body, digest_size=FINGERPRINT_BYTES)
    # No name contains a zero byte, so different parts give different inputs.
    parts = f'\0{workspace}\0{target}'
    digest.update(parts.encode('utf-8', 'surrogateescape'))
    return digest.hexdigest()


def parse_header_number(text: str | None) -> float | None:
    """Parse a header that holds a finite, non-negative number.

    :param text: value of the header; ``None`` if it is missing.
    :returns: the number; ``None`` if it is missing or invalid.
    """
    try:
        number = float(text or '')
    except ValueError:
        return None
    return number if 0 <= number < math.inf else None


def parse_turn_headers(headers) -> TurnHeaders:
    """Parse the headers that describe the program and the turn.

    Malformed headers are ignored, except for the budget: to ignore it would
    run the turn without a limit. A budget that is unreadable or has no
    program id sets ``is_malformed``.

    :param headers: headers, looked up by name without regard to case.
    :returns: fields of the program and the turn.
    """
    budget_text = headers.get(names.TOKEN_BUDGET)
    budget = parse_header_number(budget_text)
    _, _, output_limit_text = headers.get(names.TOKEN_USAGE, '').partition(',')
    program_id = headers.get(names.PROGRAM_ID, '')
    return TurnHeaders(
        program_id=program_id,
        previous_id=headers.get(names.PREVIOUS_TURN, ''),
        budget_tokens=None if budget is None else _to_tokens(budget),
        output_tokens_max=_to_tokens(
            parse_header_number(output_limit_text) or 0
        ),
        finish_ms=parse_header_number(headers.get(names.FINISH_MS)),
        parts=_parse_prompt_parts(headers.get(names.PROMPT_PARTS, '')),
        is_malformed=budget_text is not None
        and (budget is None or not program_id),
    )


def _to_tokens(number: float) -> int:
    return int(min(number, TOKENS_MAX))


def _parse_prompt_parts(text: str) -> tuple[PromptPart, ...]:
    parts = []
    for entry in text.split(','):
        part_id, _, count_text = entry.strip().partition(':')
        count = parse_whole_number(count_text)
        if part_id and count is not None:
            parts.append(PromptPart(part_id, count))
    return tuple(parts)
