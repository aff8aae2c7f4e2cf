"""State of a relayed request, updated by the messages of its runs."""

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
from rattanvalve.open_requests import OpenRequest
from rattanvalve.resultcodes import ResultCode, result_code_info

__all__ = (
    'Progress',
    'RefusedRunError',
    'RelayRequest',
    'check_ticket',
    'forward_message',
    'running_outcome',
    'timeout_refusal',
)


@dataclass(frozen=True, slots=True, kw_only=True)
class RelayRequest:
    """A validated request of a caller.

    ``deadline_s`` is on the clock of ``time.monotonic()``.
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

    ``unsettled`` holds the numbers of dispatched tickets that may have run.
    ``refusal`` is the last refusal by an endpoint process. ``location`` states
    where the record of the last run is. ``is_sent`` is false if the last
    ticket was not sent to its endpoint process.
    """

    request: RelayRequest
    delivery: Delivery
    number: str = ''
    is_repeatable: bool = False
    refusal: Refusal | None = None
    location: Outcome = field(default_factory=Outcome)
    is_sent: bool = True
    unsettled: set[str] = field(default_factory=set)

    def mark_dispatched(self, location: Outcome) -> None:
        """Record that a ticket may run from now on."""
        self.location = location
        self.number = location.number
        self.unsettled.add(location.number)
        self.request.entry.may_have_run = True

    def mark_not_sent(self) -> None:
        """Record that the endpoint process of the ticket is unreachable."""
        self.is_sent = False
        self.refusal = Refusal(code=ResultCode.NO_ENDPOINT)
        self.mark_not_run(self.number)

    def failure_reason(self) -> str:
        """Return why the last run produced no complete response.

        :returns: value for the ``reason`` of a ``Resolve``.
        """
        if not self.is_sent:
            return outcomes.NOT_SENT_REASON
        return f'refused {self.refusal.code}' if self.refusal else 'broken'

    def mark_not_run(self, *numbers: str) -> None:
        """Record that tickets did not run and cannot run later."""
        self.unsettled.difference_update(numbers)
        self.request.entry.may_have_run = bool(self.unsettled)


async def forward_message(message: Any, progress: Progress) -> None:
    """Forward one message of a run to the caller.

    :param message: message of the endpoint process.
    :param progress: state of the request.
    :raises InvariantError: if the message belongs to another ticket.
    :raises RefusedRunError: if the endpoint process refused the ticket.
    :raises PeerError: if the message ends the run without a response.
    """
    if isinstance(message, Refusal):
        if result_code_info(message.code).was_not_run:
            progress.mark_not_run(progress.number)
        raise RefusedRunError(message)
    number = getattr(message, 'number', '')
    if number != progress.number:
        raise InvariantError(
            f'message of {number} in the run of {progress.number}'
        )
    await _deliver(message, progress.delivery)


async def _deliver(message: Any, delivery: Delivery) -> None:
    if isinstance(message, Head):
        return delivery.apply_head(message)
    if isinstance(message, Chunk):
        return await delivery.feed(message.content)
    if isinstance(message, End) and message.outcome == outcomes.ANSWERED:
        return await delivery.finish()
    raise PeerError('the run ended without a response')


def check_ticket(ticket: Ticket, begin: Begin) -> None:
    """Check that a ticket was issued for this request.

    :param ticket: ticket issued by the owner.
    :param begin: request sent to the owner.
    :raises InvariantError: if the ticket is for another request.
    """
    if (ticket.request_id, ticket.workspace, ticket.program_id) != (
        begin.request_id,
        begin.workspace,
        begin.program_id,
    ):
        raise InvariantError(f'ticket {ticket.number} is for another request')


def running_outcome(ticket: Ticket) -> Outcome:
    """Return the location of the future record of a ticket.

    :param ticket: ticket issued by the owner.
    :returns: outcome ``running`` with the address of the endpoint process.
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
    """Return the refusal of a request that reached its deadline.

    :param progress: state of the request.
    :returns: ``TIMEOUT_QUEUED`` only if the request did not run.
    """
    request = progress.request
    if request.entry.may_have_run:
        return Refusal(code=ResultCode.BACKEND_TIMEOUT)
    if request.begin.idempotency_key and not progress.number:
        return Refusal(code=ResultCode.OUTCOME_UNKNOWN)
    return Refusal(code=ResultCode.TIMEOUT_QUEUED)
