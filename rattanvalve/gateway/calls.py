"""One request of a caller, as the decisions of the gateway see it."""

from dataclasses import dataclass

from rattanvalve.gateway.loads import PromptPart
from rattanvalve.platform import names
from rattanvalve.resultcodes import ResultCode
from rattanvalve.sharedstate.rules import Route, Workspace

__all__ = ('Call', 'Refusal', 'TurnCall', 'header_number', 'read_turn')


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
    priority: int = 0
    #: Bytes of the earlier turns, which go before the body.
    context: tuple[bytes, ...] = ()

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
    return number if number >= 0 else None


def read_turn(headers) -> TurnCall:
    """Read what the headers say of the program; malformed ones are left out.

    :param headers: headers by name without regard to case.
    :returns: what they say.
    """
    budget = header_number(headers.get(names.TOKEN_BUDGET))
    _, _, most_text = headers.get(names.TOKEN_USAGE, '').partition(',')
    return TurnCall(
        program_id=headers.get(names.PROGRAM_ID, ''),
        previous_id=headers.get(names.PREVIOUS_TURN, ''),
        budget_tokens=None if budget is None else int(budget),
        output_tokens_max=int(header_number(most_text) or 0),
        finish_ms=header_number(headers.get(names.FINISH_MS)),
        parts=_read_parts(headers.get(names.PROMPT_PARTS, '')),
    )


def _read_parts(text: str) -> tuple[PromptPart, ...]:
    parts = []
    for entry in text.split(','):
        part_id, _, count = entry.strip().partition(':')
        if part_id and count.isdigit():
            parts.append(PromptPart(part_id, int(count)))
    return tuple(parts)
