"""Index of attempts by ticket number, request id and idempotency key."""

import itertools
from collections import OrderedDict
from dataclasses import dataclass, field

from rattanvalve import outcomes
from rattanvalve.budgets import Reservation
from rattanvalve.errors import InvariantError
from rattanvalve.messages import Begin, Outcome, Ticket

__all__ = (
    'RETENTION_S',
    'Attempt',
    'AttemptIndex',
    'is_same_content',
    'outcome_of',
)

#: Retention of finished attempts, equal to that of the endpoint records.
RETENTION_S = 600.0
MAX_ATTEMPT_COUNT = 100_000
# Expired attempts checked per call; each call adds at most one attempt.
_EXPIRE_BATCH_COUNT = 8

#: Of several attempts with the same key, the highest outcome is indexed.
_OUTCOME_RANK = {
    outcomes.NOT_RUN: 0,
    outcomes.UNKNOWN: 1,
    outcomes.RUNNING: 2,
    outcomes.ANSWERED: 3,
}


@dataclass(slots=True, kw_only=True)
class Attempt:
    """One turn of a program and its newest ticket.

    ``numbers`` holds the numbers of all its tickets. ``begin`` is empty if
    the attempt was rebuilt from a record.
    """

    ticket: Ticket
    begin: Begin = field(default_factory=Begin)
    reservation: Reservation = field(default_factory=Reservation)
    outcome: str = outcomes.RUNNING
    issued_s: float = 0
    finished_s: float = 0
    numbers: list[str] = field(default_factory=list)


class AttemptIndex:
    """Attempts of one workspace shard; finished ones expire."""

    def __init__(self) -> None:
        self.by_number: dict[str, Attempt] = {}
        self._by_request: dict[str, Attempt] = {}
        self._by_key: dict[str, Attempt] = {}
        # Finished attempts in order of their end, by ``is_repeatable``.
        # Repeatable ones may be dropped early. Without its attempt, a
        # non-repeatable request could run twice.
        self._finished: dict[bool, OrderedDict[str, Attempt]] = {
            True: OrderedDict(),
            False: OrderedDict(),
        }

    def find(self, request_id: str, idempotency_key: str) -> Attempt | None:
        """Find an attempt of the same request.

        :param request_id: request id, or an empty string.
        :param idempotency_key: idempotency key, or an empty string.
        :returns: the attempt, if it may have run.
        """
        for index, key in (
            (self._by_key, idempotency_key),
            (self._by_request, request_id),
        ):
            found = index.get(key)
            if found is not None and found.outcome != outcomes.NOT_RUN:
                return found
        return None

    def add(self, attempt: Attempt, is_rebuilt: bool = False) -> None:
        """Index an attempt by its newest ticket.

        :param attempt: attempt whose ticket is not indexed yet.
        :param is_rebuilt: whether the ticket was issued by an earlier owner.
            Its retries of a repeatable request are separate attempts here.
        :raises InvariantError: if the request has another ticket that may
            have run.
        """
        ticket = attempt.ticket
        other = self.find(ticket.request_id, ticket.idempotency_key)
        is_second = other is not None and other is not attempt
        if is_second and not is_rebuilt:
            raise InvariantError('second ticket for one request')
        self.by_number[ticket.number] = attempt
        if ticket.number not in attempt.numbers:
            attempt.numbers.append(ticket.number)
        for index, key in self._index_keys(ticket):
            if key and _outcome_rank(attempt) >= _outcome_rank(index.get(key)):
                index[key] = attempt

    def replace_ticket(self, attempt: Attempt, ticket: Ticket) -> None:
        """Assign a new ticket of the same turn to an attempt.

        :param attempt: indexed and finished attempt.
        :param ticket: new ticket.
        :raises InvariantError: if the earlier ticket of a request that is not
            repeatable may have run.
        """
        earlier = attempt.ticket
        if not earlier.is_repeatable and attempt.outcome != outcomes.NOT_RUN:
            raise InvariantError('second ticket for a non-repeatable request')
        self._finished[earlier.is_repeatable].pop(earlier.number, None)
        if earlier.request_id != ticket.request_id:
            self._by_request.pop(earlier.request_id, None)
        attempt.ticket = ticket
        attempt.outcome = outcomes.RUNNING
        self.add(attempt)

    def finish(self, attempt: Attempt, outcome: str, now_s: float) -> None:
        """Record the end of an attempt; it expires after the retention.

        :param attempt: indexed attempt.
        :param outcome: outcome name.
        :param now_s: current time in seconds.
        """
        attempt.outcome = outcome
        attempt.finished_s = now_s
        ticket = attempt.ticket
        self._finished[ticket.is_repeatable][ticket.number] = attempt

    def has_room(self, now_s: float) -> bool:
        """Drop expired attempts and return whether another can be added.

        :param now_s: current time in seconds.
        :returns: ``False`` if the index is full of attempts that must be kept.
        """
        expired: list[Attempt] = []
        for finished in self._finished.values():
            for oldest in itertools.islice(
                finished.values(), _EXPIRE_BATCH_COUNT
            ):
                if now_s - oldest.finished_s < RETENTION_S:
                    break
                expired.append(oldest)
        for attempt in expired:
            self._drop(attempt)
        repeatable = self._finished[True]
        if len(self.by_number) >= MAX_ATTEMPT_COUNT and repeatable:
            self._drop(next(iter(repeatable.values())))
        return len(self.by_number) < MAX_ATTEMPT_COUNT

    def _index_keys(
        self,
        ticket: Ticket,
    ) -> tuple[tuple[dict[str, Attempt], str], ...]:
        return (
            (self._by_request, ticket.request_id),
            (self._by_key, ticket.idempotency_key),
        )

    def _drop(self, attempt: Attempt) -> None:
        ticket = attempt.ticket
        self._finished[ticket.is_repeatable].pop(ticket.number, None)
        for number in attempt.numbers:
            self.by_number.pop(number, None)
        for index, key in self._index_keys(ticket):
            if index.get(key) is attempt:
                index.pop(key)


def is_same_content(ticket: Ticket, begin: Begin) -> bool:
    """Compare a request with an earlier one of the same idempotency key.

    :param ticket: ticket of the earlier request.
    :param begin: later request.
    :returns: whether program, service and history are equal.
    """
    digests = begin.history_digests
    digest = digests[-1] if digests else 0
    return (ticket.program_id, ticket.service_name, ticket.history_digest) == (
        begin.program_id,
        begin.service_name,
        digest,
    )


def outcome_of(attempt: Attempt) -> Outcome:
    """Return the outcome of an attempt and the location of its record.

    :param attempt: attempt; its newest ticket is used.
    :returns: message for the ingress.
    """
    ticket = attempt.ticket
    return Outcome(
        number=ticket.number,
        outcome=attempt.outcome,
        endpoint=ticket.endpoint,
        endpoint_incarnation=ticket.endpoint_incarnation,
        host=ticket.host,
        port=ticket.port,
        program_id=ticket.program_id,
    )


def _outcome_rank(attempt: Attempt | None) -> int:
    if attempt is None:
        return 0
    return _OUTCOME_RANK[attempt.outcome]
