"""Store of recorded responses with a size limit."""

from collections import OrderedDict
from dataclasses import dataclass, field

import msgspec

from rattanvalve import outcomes
from rattanvalve.errors import InvariantError
from rattanvalve.messages import Header, Settled, Ticket, Usage
from rattanvalve.resultcodes import ResultCode, result_code_info

__all__ = ('RESULT_CODE_HEADER', 'Record', 'ResponseStore')

#: Largest body to record; a settled response must fit a frame of 16 MiB.
MAX_BODY_BYTES = 8 * 1024 * 1024
MAX_TOTAL_BYTES = 256 * 1024 * 1024
#: Header that marks a recorded response whose body was evicted.
RESULT_CODE_HEADER = 'Rattanvalve-Result-Code'


@dataclass(slots=True, kw_only=True)
class Record:
    """State and recorded response of one ticket.

    ``accepted_at_s`` is in seconds. ``is_body_dropped`` is set when the body
    exceeded a limit or was evicted.
    """

    ticket: Ticket
    accepted_at_s: float
    outcome: str = outcomes.RUNNING
    is_handed_over: bool = False
    is_body_dropped: bool = False
    http_status: int = 0
    headers: tuple[Header, ...] = ()
    # A buffer, as one object for each part of a few bytes costs a multiple.
    body: bytearray = field(default_factory=bytearray)
    usage: Usage = field(default_factory=Usage)


class ResponseStore:
    """Bodies of recorded responses; the oldest completed are evicted first.

    :param max_body_bytes: size limit of one body.
    :param max_total_bytes: size limit of all bodies together.
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
        """Append to a body, or drop the whole body if it is too large.

        :param record: record of a running request.
        :param content: next bytes of the body.
        """
        if record.is_body_dropped:
            return
        record.body += content
        self.total_bytes += len(content)
        if len(record.body) > self._max_body_bytes:
            self.drop(record)
        self._evict_excess(record)

    def mark_completed(self, record: Record) -> None:
        """Make the body of a completed record evictable.

        :param record: record that gets no more content.
        """
        if record.body:
            self._evictable[record.ticket.number] = record

    def drop(self, record: Record) -> None:
        """Drop the body of a record and free its memory.

        :param record: running or completed record.
        :raises InvariantError: if the total size becomes negative.
        """
        record.is_body_dropped = True
        self.total_bytes -= len(record.body)
        record.body = bytearray()
        self._evictable.pop(record.ticket.number, None)
        if self.total_bytes < 0:
            raise InvariantError(
                'the size of the recorded responses is negative'
            )

    def settled(self, record: Record) -> Settled:
        """Build the reply to a ``Settle`` message.

        An answered record without its body results in an error response with
        the code ``RESPONSE_EVICTED``, which states that the request ran.

        :param record: record of the requested ticket.
        :returns: outcome, with the response if it was answered.
        """
        number = record.ticket.number
        if record.outcome != outcomes.ANSWERED:
            return Settled(
                number=number,
                outcome=record.outcome,
                usage=record.usage,
            )
        if record.is_body_dropped:
            return _evicted_response(record)
        return Settled(
            number=number,
            outcome=record.outcome,
            http_status=record.http_status,
            headers=record.headers,
            body=bytes(record.body),
            usage=record.usage,
        )

    def _evict_excess(self, newest: Record) -> None:
        while self.total_bytes > self._max_total_bytes:
            if self._evictable:
                self.drop(next(iter(self._evictable.values())))
            else:
                self.drop(newest)


def _evicted_response(record: Record) -> Settled:
    code = ResultCode.RESPONSE_EVICTED
    info = result_code_info(code)
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
