"""State of one relayed request, and how one message of a run changes it."""

from dataclasses import dataclass, field
from typing import Any

from rattanvalve import outcomes
from rattanvalve.delivery import Delivery
from rattanvalve.errors import InvariantError, PeerError
from rattanvalve.messages import (
    Begin,
    Chunk,
    End,
    Head,
    Header,
    Outcome,
    Refusal,
    Ticket,
)
from rattanvalve.resultcodes import ResultCode, info_of
from rattanvalve.streams import OpenRequest

__all__ = (
    'Progress',
    'RefusedRunError',
    'RelayRequest',
    'check_ticket',
    'pass_on',
    'place_of',
    'timeout_refusal',
)


@dataclass(frozen=True, slots=True, kw_only=True)
class RelayRequest:
    """A checked request of a caller.

    ``deadline_s`` is a time of ``time.monotonic()``.
    """

    begin: Begin
    entry: OpenRequest
    method: str
    path: str
    headers: tuple[Header, ...]
    body: bytes
    deadline_s: float
    is_stream: bool = False
    is_chat: bool = False
    is_resumable: bool = False


class RefusedRunError(PeerError):
    """The endpoint process refused a ticket."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__('refused by the endpoint process')
        self.refusal = refusal


@dataclass(slots=True)
class Progress:
    """State of one request.

    ``unsettled`` holds the tickets that were handed over and may have run;
    ``refusal`` is the last refusal by an endpoint process; ``place`` is where
    the record of the last run is; ``is_sent`` tells whether the last ticket has
    left this process.
    """

    request: RelayRequest
    delivery: Delivery
    number: str = ''
    is_repeatable: bool = False
    refusal: Refusal | None = None
    place: Outcome = field(default_factory=Outcome)
    is_sent: bool = True
    unsettled: set[str] = field(default_factory=set)

    def hand_over(self, place: Outcome) -> None:
        """Note that a ticket may run from now on."""
        self.place = place
        self.number = place.number
        self.unsettled.add(place.number)
        self.request.entry.may_have_run = True

    def note_not_sent(self) -> None:
        """Note that the endpoint process of the ticket cannot be reached."""
        self.is_sent = False
        self.refusal = Refusal(code=ResultCode.NO_ENDPOINT)
        self.note_not_run(self.number)

    def break_reason(self) -> str:
        """Say for the owner why a run brought no response.

        :returns: reason of a ``Resolve``.
        """
        if not self.is_sent:
            return outcomes.NOT_SENT_REASON
        return f'refused {self.refusal.code}' if self.refusal else 'broken'

    def note_not_run(self, *numbers: str) -> None:
        """Note that tickets did not run and never will."""
        self.unsettled.difference_update(numbers)
        self.request.entry.may_have_run = bool(self.unsettled)


async def pass_on(message: Any, progress: Progress) -> None:
    """Pass one message of a run on.

    :param message: message of the endpoint process.
    :param progress: state of the request.
    :raises InvariantError: if it belongs to another ticket.
    :raises PeerError: if it ends the run without a response.
    """
    if isinstance(message, Refusal):
        if info_of(message.code).was_not_run:
            progress.note_not_run(progress.number)
        raise RefusedRunError(message)
    number = getattr(message, 'number', '')
    if number != progress.number:
        raise InvariantError(f'{number} in the run of {progress.number}')
    await _deliver(message, progress.delivery)


async def _deliver(message: Any, delivery: Delivery) -> None:
    if isinstance(message, Head):
        return delivery.head(message)
    if isinstance(message, Chunk):
        return await delivery.take(message.content)
    if isinstance(message, End) and message.outcome == outcomes.ANSWERED:
        return await delivery.end()
    raise PeerError('the run ended without a response')


def check_ticket(ticket: Ticket, begin: Begin) -> None:
    """Check that a ticket is for this request.

    :param ticket: ticket of the owner.
    :param begin: request to the owner.
    :raises InvariantError: if the ticket is for another request.
    """
    if (ticket.request_id, ticket.workspace, ticket.program_id) != (
        begin.request_id,
        begin.workspace,
        begin.program_id,
    ):
        raise InvariantError(f'{ticket.number} is for another request')


def place_of(ticket: Ticket) -> Outcome:
    """Tell where the record of a ticket will be.

    :param ticket: ticket of the owner.
    :returns: place at the endpoint process.
    """
    return Outcome(
        number=ticket.number,
        outcome=outcomes.RUNNING,
        endpoint=ticket.endpoint,
        endpoint_incarnation=ticket.endpoint_incarnation,
        host=ticket.host,
        port=ticket.port,
        program_id=ticket.program_id,
    )


def timeout_refusal(progress: Progress) -> Refusal:
    """Choose the refusal at the deadline of a request."""
    request = progress.request
    if request.entry.may_have_run:
        return Refusal(code=ResultCode.BACKEND_TIMEOUT)
    if request.begin.idempotency_key and not progress.number:
        return Refusal(code=ResultCode.OUTCOME_UNKNOWN)
    return Refusal(code=ResultCode.TIMEOUT_QUEUED)
