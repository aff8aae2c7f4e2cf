"""Follows the server-sent events of a stream on their way to the caller."""

__all__ = ('EventFollower',)

_LINE_FEED = b'\n'
_DATA = b'data'


class EventFollower:
    """Collects the data of complete events and counts them."""

    def __init__(self) -> None:
        self.event_count = 0
        self._rest = b''
        self._lines: list[bytes] = []
        self._outputs: list[bytes] = []
        self._has_fields = False

    def feed(self, chunk: bytes) -> None:
        """Take the next bytes of the stream.

        :param chunk: bytes, cut anywhere.
        """
        lines = (self._rest + chunk).split(_LINE_FEED)
        self._rest = lines.pop()
        for line in lines:
            self._take_line(line.removesuffix(b'\r'))

    def is_between_events(self) -> bool:
        """Return whether the stream may end here.

        :returns: whether no event is incomplete.
        """
        return not (self._rest or self._has_fields)

    def output(self) -> bytes:
        """Give the data of all complete events.

        :returns: the data of each event, followed by a line feed.
        """
        return b''.join(self._outputs)

    def _take_line(self, line: bytes) -> None:
        if line:
            self._has_fields = True
            self._take_field(line)
        elif self._has_fields:
            self._end_event()

    def _take_field(self, line: bytes) -> None:
        name, _, content = line.partition(b':')
        if name == _DATA:
            self._lines.append(content.removeprefix(b' '))

    def _end_event(self) -> None:
        if self._lines:
            self.event_count += 1
            self._outputs.append(_LINE_FEED.join(self._lines) + _LINE_FEED)
        self._lines = []
        self._has_fields = False
