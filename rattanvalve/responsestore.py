"""Recorded responses, bounded in bytes."""

from collections import OrderedDict
from dataclasses import dataclass, field

import msgspec

from rattanvalve import outcomes
from rattanvalve.errors import InvariantError
from rattanvalve.messages import Header, Settled, Ticket, Usage
from rattanvalve.resultcodes import ResultCode, info_of

__all__ = ('RESULT_CODE_HEADER', 'Record', 'ResponseStore')

#: Most bytes of one body; a settled response must fit a frame of 16 MiB.
MAX_BODY_BYTES = 8 * 1024 * 1024
MAX_TOTAL_BYTES = 256 * 1024 * 1024
#: Header that marks a recorded response whose body was not kept.
RESULT_CODE_HEADER = 'Rattanvalve-Result-Code'


@dataclass(slots=True, kw_only=True)
class Record:
    """What is known about one ticket number."""

    ticket: Ticket
    accepted_at_s: float
    outcome: str = outcomes.RUNNING
    is_handed_over: bool = False
    is_body_lost: bool = False
    http_status: int = 0
    headers: tuple[Header, ...] = ()
    parts: list[bytes] = field(default_factory=list)
    body_bytes: int = 0
    usage: Usage = field(default_factory=Usage)


class ResponseStore:
    """Bodies of recorded responses; the oldest completed are evicted first.

    :param max_body_bytes: most bytes kept of one body.
    :param max_total_bytes: most bytes kept of all bodies.
    """

    def __init__(
        self,
        max_body_bytes: int = MAX_BODY_BYTES,
        max_total_bytes: int = MAX_TOTAL_BYTES,
    ) -> None:
        self.total_bytes = 0
        self._max_body_bytes = max_body_bytes
        self._max_total_bytes = max_total_bytes
        self._evictable: OrderedDict[str, Record] = OrderedDict()

    def append(self, record: Record, content: bytes) -> None:
        """Keep a part of a body, or drop the whole body if it is too large.

        :param record: record of a running request.
        :param content: bytes that follow the earlier ones.
        """
        if record.is_body_lost:
            return
        record.parts.append(content)
        record.body_bytes += len(content)
        self.total_bytes += len(content)
        if record.body_bytes > self._max_body_bytes:
            self.drop(record)
        self._make_room(record)

    def completed(self, record: Record) -> None:
        """Allow that the body of a record is evicted.

        :param record: record that is closed.
        """
        # One object takes less memory than one for each part.
        record.parts = [b''.join(record.parts)]
        if record.body_bytes:
            self._evictable[record.ticket.number] = record

    def drop(self, record: Record) -> None:
        """Drop the body of a record.

        :param record: any record.
        :raises InvariantError: if the count of bytes is wrong.
        """
        record.is_body_lost = True
        self.total_bytes -= record.body_bytes
        record.parts = []
        record.body_bytes = 0
        self._evictable.pop(record.ticket.number, None)
        if self.total_bytes < 0:
            raise InvariantError('recorded responses have negative size')

    def settled(self, record: Record) -> Settled:
        """Build the answer to ``Settle``.

        An answered record without its body gives an error response with the
        result code ``RESPONSE_EVICTED``, which says that the request ran.

        :param record: record of the number asked for.
        :returns: outcome, with the response if it was answered.
        """
        number = record.ticket.number
        if record.outcome != outcomes.ANSWERED:
            return Settled(
                number=number,
                outcome=record.outcome,
                usage=record.usage,
            )
        if record.is_body_lost:
            return _evicted(record)
        return Settled(
            number=number,
            outcome=record.outcome,
            http_status=record.http_status,
            headers=record.headers,
            body=b''.join(record.parts),
            usage=record.usage,
        )

    def _make_room(self, newest: Record) -> None:
        while self.total_bytes > self._max_total_bytes:
            if self._evictable:
                self.drop(next(iter(self._evictable.values())))
            else:
                self.drop(newest)


def _evicted(record: Record) -> Settled:
    code = ResultCode.RESPONSE_EVICTED
    info = info_of(code)
    error = {
        'message': info.text,
        'type': info.error_type,
        'code': int(code),
        'param': None,
    }
    return Settled(
        number=record.ticket.number,
        outcome=record.outcome,
        http_status=info.http_status,
        headers=(
            Header(name='Content-Type', content='application/json'),
            Header(name=RESULT_CODE_HEADER, content=str(int(code))),
        ),
        body=msgspec.json.encode({'error': error}),
        usage=record.usage,
    )
