"""Follows the server-sent events of a stream on their way to the caller."""

from rattanvalve.errors import ServerBrokenError
from rattanvalve.wholenumbers import whole_number

__all__ = ('EventFollower',)

_LINE_FEED = b'\n'
_ID = b'id'
_DATA = b'data'
#: A server that sends more bytes without the end of an event is broken.
EVENT_BYTES_MAX = 256 * 1024
#: The same for the data of all events of a turn that is kept.
OUTPUT_BYTES_MAX = 4 * 1024 * 1024


class EventFollower:
    """Finds the complete events, counts them and collects their data.

    :param after_id: id of the last event that the caller has; this and
        earlier ones are dropped if a server sends them again.
    :param keeps_output: whether the data is needed afterwards.
    """

    def __init__(
        self, after_id: int | None = None, *, keeps_output: bool = True
    ) -> None:
        self.event_count = 0
        self.last_id = after_id
        self._keeps_output = keeps_output
        self._rest = b''
        self._event: list[bytes] = []
        self._event_bytes = 0
        self._data: list[bytes] = []
        self._event_id: int | None = None
        self._outputs: list[bytes] = []
        self._output_bytes = 0
        self._has_fields = False

    def feed(self, chunk: bytes) -> bytes:
        """Take the next bytes of the stream.

        :param chunk: bytes, cut anywhere.
        :returns: the events that are complete now, as they came.
        :raises ServerBrokenError: if an event or the output has no end.
        """
        lines = (self._rest + chunk).split(_LINE_FEED)
        self._rest = lines.pop()
        complete = [self._take_line(line) for line in lines]
        if self._event_bytes + len(self._rest) > EVENT_BYTES_MAX:
            raise ServerBrokenError('an event of a stream has no end')
        return b''.join(complete)

    def is_between_events(self) -> bool:
        """Return whether the stream may end here.

        :returns: whether no event is incomplete.
        """
        return not (self._rest or self._has_fields)

    def drop_incomplete(self) -> None:
        """Forget an event that was cut off, as another server sends it."""
        self._rest = b''
        self._begin_event()

    def output(self) -> bytes:
        """Give the data of all complete events.

        :returns: the data of each event, followed by a line feed.
        """
        return b''.join(self._outputs)

    def _take_line(self, line: bytes) -> bytes:
        """Add a line; gives the event that ends with it, or nothing."""
        self._event.append(line + _LINE_FEED)
        self._event_bytes += len(line) + 1
        field = line.removesuffix(b'\r')
        if field:
            self._has_fields = True
            self._take_field(field)
            return b''
        return self._end_event()

    def _take_field(self, line: bytes) -> None:
        name, _, content = line.partition(b':')
        content = content.removeprefix(b' ')
        if name == _DATA:
            self._data.append(content)
        elif name == _ID:
            self._event_id = whole_number(content.decode('latin-1'))

    def _end_event(self) -> bytes:
        event = b''.join(self._event)
        if self._is_repeated():
            event = b''
        elif self._event_id is not None:
            self.last_id = self._event_id
        if self._data and event:
            self.event_count += 1
            self._keep(_LINE_FEED.join(self._data) + _LINE_FEED)
        self._begin_event()
        return event

    def _is_repeated(self) -> bool:
        if self._event_id is None or self.last_id is None:
            return False
        return self._event_id <= self.last_id

    def _keep(self, output: bytes) -> None:
        if not self._keeps_output:
            return
        self._outputs.append(output)
        self._output_bytes += len(output)
        if self._output_bytes > OUTPUT_BYTES_MAX:
            raise ServerBrokenError('the output of a stream has no end')

    def _begin_event(self) -> None:
        self._event = []
        self._event_bytes = 0
        self._data = []
        self._event_id = None
        self._has_fields = False
