"""Records of an endpoint process, which let each ticket run at most once."""

from collections.abc import Callable

from rattanvalve import outcomes
from rattanvalve.errors import InvariantError
from rattanvalve.lazyheap import LazyHeap
from rattanvalve.messages import (
    Head,
    RecordSummary,
    Refusal,
    Sealed,
    Settle,
    Settled,
    Ticket,
    Usage,
    View,
)
from rattanvalve.responsestore import Record, ResponseStore
from rattanvalve.resultcodes import ResultCode
from rattanvalve.ticketnumbers import TicketHighWaterMarks

__all__ = ('RETENTION_S', 'RecordStore')

#: How long a completed record is kept, in seconds.
RETENTION_S = 600.0
#: Largest number of records; their summaries must fit into one 16 MiB frame.
MAX_RECORD_COUNT = 20_000
_MS_PER_S = 1000

#: Refusal code of a number that has a record, by whether it ended as not run.
_REPEATED_CODES = {
    True: ResultCode.TICKET_VOID,
    False: ResultCode.DUPLICATE_TICKET,
}

OwnerOf = Callable[[View, str, int], str]


class RecordStore:
    """Records by ticket number, bounded in count, bytes and time.

    The eviction of a record must not let its ticket run again. The highest
    evicted sequence of each issuer is therefore kept, and a number at or below
    it that has no record is refused as ``OUTCOME_UNKNOWN``.

    :param endpoint: name of this endpoint process.
    :param incarnation: incarnation of this endpoint process.
    :param owner_of: function of :mod:`rattanvalve.views` that returns the
        owner of a shard.
    :param responses: store of response bodies; a new one if omitted.
    """

    def __init__(
        self,
        endpoint: str,
        incarnation: str,
        owner_of: OwnerOf,
        responses: ResponseStore | None = None,
    ) -> None:
        self.newest_epoch = 0
        self._endpoint = endpoint
        self._incarnation = incarnation
        self._owner_of = owner_of
        self._responses = responses or ResponseStore()
        self.records: dict[str, Record] = {}
        self._completed = LazyHeap()
        self._high_water_marks = TicketHighWaterMarks()

    def accept(self, ticket: Ticket, now_s: float) -> Refusal | None:
        """Accept a ticket and add its record; each number is accepted once.

        :param ticket: ticket of a received run.
        :param now_s: monotonic time in seconds.
        :returns: ``None`` if the request may run, else the refusal.
        """
        refusal = self.check_ticket(ticket)
        if refusal is None:
            self.observe_epoch(ticket.epoch)
            self._add(Record(ticket=ticket, accepted_at_s=now_s))
        return refusal

    def observe_epoch(self, epoch: int) -> None:
        """Raise the oldest epoch whose tickets are accepted.

        :param epoch: epoch of a message or view; a lower one has no effect.
        """
        self.newest_epoch = max(self.newest_epoch, epoch)

    def mark_dispatched(self, number: str) -> None:
        """Record that the request is about to be sent to the server.

        :param number: ticket number of a queued request.
        :raises InvariantError: if the request was handed over before.
        """
        record = _running_record(self.records, number)
        if record.is_handed_over:
            raise InvariantError(
                f'ticket {number} was sent to the server twice'
            )
        record.is_handed_over = True

    def start(self, number: str, head: Head) -> None:
        """Record status and headers of the response.

        :param number: ticket number of a running request.
        :param head: status and headers.
        :raises InvariantError: if the request is not running at the server.
        """
        record = _running_record(self.records, number)
        if not record.is_handed_over or record.http_status:
            raise InvariantError(f'ticket {number} has an unexpected response')
        record.http_status = head.http_status
        record.headers = head.headers

    def append(self, number: str, content: bytes) -> None:
        """Append a part of the response body to the record.

        :param number: ticket number of a running request.
        :param content: next bytes of the body.
        :raises InvariantError: if status and headers are not recorded yet.
        """
        record = _running_record(self.records, number)
        if not record.http_status:
            raise InvariantError(f'ticket {number} has a body before its head')
        self._responses.append(record, content)

    def complete(
        self,
        number: str,
        outcome: str,
        usage: Usage,
        now_s: float,
    ) -> None:
        """Complete the record of a running request.

        :param number: ticket number.
        :param outcome: ``answered``, ``not_run`` or ``unknown``.
        :param usage: tokens that the run used.
        :param now_s: monotonic time in seconds.
        :raises InvariantError: if the outcome contradicts the record.
        """
        record = _running_record(self.records, number)
        if outcome == outcomes.RUNNING or (
            (outcome == outcomes.ANSWERED) and not record.http_status
        ):
            raise InvariantError(f'ticket {number} cannot end as {outcome}')
        if outcome == outcomes.NOT_RUN and record.http_status:
            raise InvariantError(f'ticket {number} ran, cannot end as not run')
        record.outcome = outcome
        record.usage = usage
        if outcome != outcomes.ANSWERED:
            self._responses.drop(record)
        self._close(record, now_s)

    def settle(self, settle: Settle, now_s: float) -> Settled:
        """Return the outcome of a ticket; void a number that has no record.

        A message of any epoch is accepted, since it can only prevent a run.

        :param settle: number, and the incarnation its ticket is bound to.
        :param now_s: monotonic time in seconds.
        :returns: outcome, with the response if it was answered.
        """
        self.observe_epoch(settle.epoch)
        record = self.records.get(settle.number)
        if record is not None:
            return self._responses.settled(record)
        if (
            settle.endpoint_incarnation != self._incarnation
            or not self._high_water_marks.is_new(settle.number)
        ):
            return Settled(number=settle.number, outcome=outcomes.UNKNOWN)
        record = Record(
            ticket=Ticket(number=settle.number),
            accepted_at_s=now_s,
            outcome=outcomes.NOT_RUN,
        )
        self._add(record)
        self._close(record, now_s)
        return self._responses.settled(record)

    def seal(self, view: View, owner: str, now_s: float) -> Sealed | Refusal:
        """Refuse tickets of older epochs from now on and report records.

        :param view: new view of the cell.
        :param owner: name of the entry that sends the seal.
        :param now_s: monotonic time in seconds.
        :returns: records of the shards that this entry owns in the view, or
            ``STALE_EPOCH`` if a newer epoch is known.
        """
        if view.epoch < self.newest_epoch:
            return _stale_epoch(view.epoch, self.newest_epoch)
        self.observe_epoch(view.epoch)
        return Sealed(
            endpoint=self._endpoint,
            incarnation=self._incarnation,
            epoch=self.newest_epoch,
            records=tuple(
                _summarize(record, now_s)
                for record in self.records.values()
                # A number that was settled without a run has no workspace.
                if (ticket := record.ticket).workspace
                and self._owner_of(view, ticket.workspace, ticket.shard)
                == owner
            ),
        )

    def expire(self, now_s: float) -> None:
        """Evict the records that completed ``RETENTION_S`` ago or earlier.

        :param now_s: monotonic time in seconds.
        """
        oldest = self._completed.peek()
        while oldest is not None and oldest[0] <= now_s - RETENTION_S:
            self._evict(oldest[1])
            oldest = self._completed.peek()

    def check_ticket(self, ticket: Ticket) -> Refusal | None:
        """Check whether a ticket can be accepted, without accepting it.

        :param ticket: ticket of a received run.
        :returns: ``None`` if :meth:`accept` would accept it, else the refusal.
        """
        if ticket.endpoint_incarnation != self._incarnation:
            return Refusal(code=ResultCode.STALE_TICKET)
        record = self.records.get(ticket.number)
        if record is not None:
            return Refusal(
                code=_REPEATED_CODES[record.outcome == outcomes.NOT_RUN]
            )
        # Checked before the epoch: a stale epoch states that the request was
        # not run, while the ticket of an evicted record may have run.
        if not self._high_water_marks.is_new(ticket.number):
            return Refusal(
                code=ResultCode.OUTCOME_UNKNOWN,
                detail='the record of this ticket is no longer kept',
            )
        if ticket.epoch < self.newest_epoch:
            return _stale_epoch(ticket.epoch, self.newest_epoch)
        return None

    def _add(self, record: Record) -> None:
        if record.ticket.number in self.records:
            raise InvariantError(
                f'ticket {record.ticket.number} was accepted twice',
            )
        if len(self.records) >= MAX_RECORD_COUNT and self._completed:
            self._evict(self._completed.peek()[1])
        self.records[record.ticket.number] = record

    def _close(self, record: Record, now_s: float) -> None:
        self._completed.push(record.ticket.number, now_s)
        self._responses.mark_completed(record)

    def _evict(self, number: str) -> None:
        self._completed.discard(number)
        record = self.records.pop(number)
        if record.outcome == outcomes.RUNNING:
            raise InvariantError(f'running ticket {number} was evicted')
        self._responses.drop(record)
        self._high_water_marks.advance(number)


def _running_record(records: dict[str, Record], number: str) -> Record:
    record = records.get(number)
    if record is None or record.outcome != outcomes.RUNNING:
        raise InvariantError(f'ticket {number} is not running')
    return record


def _stale_epoch(epoch: int, newest_epoch: int) -> Refusal:
    return Refusal(
        code=ResultCode.STALE_EPOCH,
        detail=f'epoch {epoch} is older than {newest_epoch}',
        epoch=newest_epoch,
    )


def _summarize(record: Record, now_s: float) -> RecordSummary:
    return RecordSummary(
        ticket=record.ticket,
        outcome=record.outcome,
        usage=record.usage,
        age_ms=int((now_s - record.accepted_at_s) * _MS_PER_S),
    )
