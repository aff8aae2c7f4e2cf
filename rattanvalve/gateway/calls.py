"""One request of a caller, as the decisions of the gateway see it."""

import math
from dataclasses import dataclass, field

from rattanvalve.gateway.events import EventFollower
from rattanvalve.gateway.loads import PromptPart
from rattanvalve.platform import names
from rattanvalve.resultcodes import ResultCode
from rattanvalve.sharedstate.rules import Route, Workspace
from rattanvalve.wholenumbers import whole_number

__all__ = (
    'Call',
    'Refusal',
    'TurnCall',
    'header_number',
    'read_turn',
)


@dataclass(frozen=True, slots=True)
class Refusal:
    """Why a request is not served, and when it may come again."""

    code: ResultCode
    retry_after_s: float | None = None


@dataclass(frozen=True, slots=True)
class TurnCall:
    """What a request says of its program."""

    program_id: str
    previous_id: str
    budget_tokens: int | None
    output_tokens_max: int
    finish_ms: float | None
    parts: tuple[PromptPart, ...]
    #: Whether a header that decides what runs cannot be read.
    is_malformed: bool = False


@dataclass(slots=True)
class Call:
    """A request that was read and that the rules allow.

    ``received_s`` and ``deadline_s`` are monotonic times in seconds.
    ``headers`` are those that may be forwarded.
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
    turn: TurnCall
    #: Never logged, never sent on.
    key: str = field(default='', repr=False)
    priority: int = 0
    #: Time of the boot clock at which the grant of the rate runs out.
    grant_until_s: float = math.inf
    #: Bytes of the earlier turns, which go before the body.
    context: tuple[bytes, ...] = ()
    #: Id of the last event that the caller has.
    resume_after: int | None = None
    #: The stream that is passed on, once it has begun.
    follower: EventFollower | None = None
    #: Whether other turns of the program have generated tokens.
    has_program_begun: bool = False
    #: Whether the turn store has the tokens that the turn generated.
    is_settled: bool = False

    @property
    def payload_bytes(self) -> int:
        """Count the bytes that a server is sent after the head.

        :returns: bytes of the earlier turns and of the body.
        """
        return len(self.body) + sum(map(len, self.context))

    @property
    def is_program_start(self) -> bool:
        """Return whether a program begins with this request.

        :returns: whether it is a turn and none went before it.
        """
        turn = self.turn
        is_turn = self.route.is_stream and bool(turn.program_id)
        return is_turn and not (turn.previous_id or self.has_program_begun)

    @property
    def is_begun_stream(self) -> bool:
        """Return whether the caller has got the head of a stream.

        :returns: whether only the rest of that stream may follow.
        """
        return self.follower is not None

    @property
    def handed_count(self) -> int:
        """Count the events that were passed on to the caller.

        :returns: complete events.
        """
        return self.follower.event_count if self.follower else 0

    @property
    def workspace_name(self) -> str:
        """Name the workspace of the caller.

        :returns: name; empty on a route that is open to all.
        """
        return self.workspace.name if self.workspace else ''


def header_number(text: str | None) -> float | None:
    """Read a header that holds a number.

    :param text: content of the header.
    :returns: the number, or ``None`` if there is none.
    """
    try:
        number = float(text or '')
    except ValueError:
        return None
    return number if 0 <= number < math.inf else None


def read_turn(headers) -> TurnCall:
    """Read what the headers say of the program.

    Malformed ones are left out, but a budget that cannot be read, or of no
    program, would be no budget, so it is noted.

    :param headers: headers by name without regard to case.
    :returns: what they say.
    """
    budget_text = headers.get(names.TOKEN_BUDGET)
    budget = header_number(budget_text)
    _, _, most_text = headers.get(names.TOKEN_USAGE, '').partition(',')
    program_id = headers.get(names.PROGRAM_ID, '')
    return TurnCall(
        program_id=program_id,
        previous_id=headers.get(names.PREVIOUS_TURN, ''),
        budget_tokens=None if budget is None else int(budget),
        output_tokens_max=int(header_number(most_text) or 0),
        finish_ms=header_number(headers.get(names.FINISH_MS)),
        parts=_read_parts(headers.get(names.PROMPT_PARTS, '')),
        is_malformed=budget_text is not None
        and (budget is None or not program_id),
    )


def _read_parts(text: str) -> tuple[PromptPart, ...]:
    parts = []
    for entry in text.split(','):
        part_id, _, count_text = entry.strip().partition(':')
        count = whole_number(count_text)
        if part_id and count is not None:
            parts.append(PromptPart(part_id, count))
    return tuple(parts)
