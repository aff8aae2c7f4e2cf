"""Incremental parser of the server-sent events of a forwarded stream."""

from rattanvalve.errors import ServerExchangeError
from rattanvalve.wholenumbers import parse_whole_number

__all__ = ('EventParser',)

_LINE_FEED = b'\n'
_ID = b'id'
_DATA = b'data'
#: Size of an incomplete event above which the server counts as broken.
EVENT_BYTES_MAX = 256 * 1024
#: The same for the data of all events of a stream whose output is collected.
OUTPUT_BYTES_MAX = 4 * 1024 * 1024


class EventParser:
    """Splits a stream into complete events, counts and collects their data.

    ``event_count`` counts the events with data. ``last_id`` is the id of the
    last complete event, from which a stream can resume.

    :param after_id: id of the last event that the caller has; this and
        earlier events are dropped if a server sends them again.
    :param keeps_output: whether to collect the data for ``output``.
    """

    def __init__(
        self, after_id: int | None = None, *, keeps_output: bool = True
    ) -> None:
        self.event_count = 0
        self.last_id = after_id
        self._keeps_output = keeps_output
        # Buffers instead of lists, as objects of a few bytes cost a multiple.
        self._partial_line = bytearray()
        self._event = bytearray()
        #: Each data line of the incomplete event, followed by a line feed.
        self._data = bytearray()
        self._event_id: int | None = None
        self._output = bytearray()
        self._has_fields = False

    @property
    def pending_bytes(self) -> int:
        """Return the size of what is kept of the incomplete event.

        :returns: size in bytes.
        """
        return len(self._partial_line) + len(self._event) + len(self._data)

    def feed(self, chunk: bytes) -> bytes:
        """Parse the next bytes of the stream.

        :param chunk: bytes, split at any position.
        :returns: the unmodified bytes of the events completed by the chunk.
        :raises ServerExchangeError: if an event or the output is too large.
        """
        if _LINE_FEED not in chunk:
            # A long line in small pieces is not copied for each of them.
            self._partial_line += chunk
            self._check_size()
            return b''
        lines = (bytes(self._partial_line) + chunk).split(_LINE_FEED)
        self._partial_line = bytearray(lines.pop())
        complete = [self._process_line(line) for line in lines]
        self._check_size()
        return b''.join(complete)

    def is_between_events(self) -> bool:
        """Return whether the stream is at a boundary between events.

        :returns: whether no event is incomplete, so the stream may end.
        """
        return not (self._partial_line or self._has_fields)

    def discard_incomplete(self) -> None:
        """Discard a truncated event; the next server sends it whole."""
        self._partial_line.clear()
        self._reset_event()

    def output(self) -> bytes:
        """Return the data of all complete events.

        :returns: the data of each event, followed by a line feed; empty if
            the output is not collected.
        """
        return bytes(self._output)

    def _process_line(self, line: bytes) -> bytes:
        """Add a line; return the event that it completes, or no bytes."""
        self._event += line
        self._event += _LINE_FEED
        field = line.removesuffix(b'\r')
        if field:
            self._has_fields = True
            self._process_field(field)
            return b''
        return self._end_event()

    def _process_field(self, line: bytes) -> None:
        name, _, content = line.partition(b':')
        content = content.removeprefix(b' ')
        if name == _DATA:
            self._data += content
            self._data += _LINE_FEED
        elif name == _ID:
            self._event_id = parse_whole_number(content.decode('latin-1'))

    def _end_event(self) -> bytes:
        event = bytes(self._event)
        if self._is_repeated():
            event = b''
        elif self._event_id is not None:
            self.last_id = self._event_id
        if self._data and event:
            self.event_count += 1
            self._collect_output()
        self._reset_event()
        return event

    def _is_repeated(self) -> bool:
        if self._event_id is None or self.last_id is None:
            return False
        return self._event_id <= self.last_id

    def _collect_output(self) -> None:
        if not self._keeps_output:
            return
        self._output += self._data
        if len(self._output) > OUTPUT_BYTES_MAX:
            raise ServerExchangeError('stream output exceeds the size limit')

    def _check_size(self) -> None:
        if len(self._event) + len(self._partial_line) > EVENT_BYTES_MAX:
            raise ServerExchangeError('stream event exceeds the size limit')

    def _reset_event(self) -> None:
        self._event.clear()
        self._data.clear()
        self._event_id = None
        self._has_fields = False
