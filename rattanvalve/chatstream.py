"""Splits a chat response into server-sent events and tracks its text.

Only whole events are forwarded, so that another run can resume the response
after any of them.
"""

import io
import re
from typing import Any

import msgspec

from rattanvalve.messages import Header

__all__ = ('ChatStream', 'is_event_stream', 'resume_event')

#: Longest buffered event in bytes, and longest resumable text in characters.
MAX_KEPT_BYTES = 1024 * 1024

_EVENT_END = re.compile(rb'\r?\n\r?\n')
#: Length of the longest match of ``_EVENT_END``.
EVENT_END_BYTES_MAX = 4
_DATA_PREFIX = b'data:'
_EVENT_STREAM = 'text/event-stream'
_DONE = b'[DONE]'
_RESUMABLE_FIELDS = frozenset(('role', 'content'))


def is_event_stream(headers: tuple[Header, ...]) -> bool:
    """Check whether a response is a stream of server-sent events.

    :param headers: headers of the response.
    :returns: whether its content type is ``text/event-stream``.
    """
    return any(
        header.name.lower() == 'content-type'
        and header.content.lower().startswith(_EVENT_STREAM)
        for header in headers
    )


def resume_event(text: str) -> bytes:
    """Build the event that holds the text before a resumed run.

    :param text: text that the run continues; may be empty.
    :returns: encoded event, equal for equal texts; empty for an empty text.
    """
    if not text:
        return b''
    delta = {'role': 'assistant', 'content': text}
    chunk = {
        'object': 'chat.completion.chunk',
        'choices': [{'index': 0, 'delta': delta, 'finish_reason': None}],
    }
    return b'data: %b\n\n' % msgspec.json.encode(chunk)


class _Choice(msgspec.Struct):
    delta: dict[str, Any] = {}
    finish_reason: str | None = None


class _ChatEvent(msgspec.Struct):
    choices: list[_Choice] = []


class ChatStream:
    """Forwarded part of one chat response, which several runs may produce.

    :param is_resumable: whether another run may continue the response; a
        response with several choices cannot be continued.
    """

    def __init__(self, *, is_resumable: bool) -> None:
        self.is_done = False
        self._can_continue = is_resumable
        self._is_resumed = False
        self._has_started = False
        # Buffers instead of lists, as objects of a few bytes cost a multiple.
        self._text = io.StringIO()
        self._text_length = 0
        self._partial = bytearray()
        #: Bytes of ``_partial`` in which no event ends.
        self._searched_bytes = 0

    @property
    def is_resumable(self) -> bool:
        """Whether another run can continue the response, or start it."""
        return self._can_continue or not self._has_started

    @property
    def text(self) -> str:
        """Content of all forwarded events; empty beyond ``MAX_KEPT_BYTES``."""
        return self._text.getvalue()

    def start_run(self) -> None:
        """Expect the next bytes from another run; drop a partial event."""
        self._take_partial()
        self._is_resumed = self._has_started

    def feed(self, content: bytes) -> bytes:
        """Parse the next bytes of the current run.

        :param content: next part of the stream.
        :returns: whole events to forward. An event longer than
            ``MAX_KEPT_BYTES`` is returned in parts, and the response is then
            not resumable.
        """
        self._partial += content
        forwarded = bytearray()
        start = 0
        for end in self._find_event_ends():
            event = bytes(self._partial[start:end])
            start = end
            if self._track_event(event):
                forwarded += event
        if start:
            self._partial = self._partial[start:]
        self._searched_bytes = len(self._partial)
        if len(self._partial) > MAX_KEPT_BYTES:
            forwarded += self.flush()
        return bytes(forwarded)

    def flush(self) -> bytes:
        """Return a partial event; the response is then not resumable.

        :returns: buffered bytes that form no whole event.
        """
        partial = self._take_partial()
        if partial:
            self._has_started = True
            self._can_continue = False
        return partial

    def _find_event_ends(self) -> list[int]:
        """Return where events end; bytes are not searched twice."""
        # An end that is split between two calls begins before the new bytes.
        start = max(self._searched_bytes - EVENT_END_BYTES_MAX, 0)
        matches = _EVENT_END.finditer(self._partial, start)
        return [match.end() for match in matches]

    def _take_partial(self) -> bytes:
        partial = bytes(self._partial)
        self._partial.clear()
        self._searched_bytes = 0
        return partial

    def _track_event(self, event: bytes) -> bool:
        """Track an event; return whether to forward it.

        The role event that a resumed run repeats is not forwarded.
        """
        content = event.strip().removeprefix(_DATA_PREFIX).strip()
        if content == _DONE:
            self.is_done = True
            return True
        try:
            parsed = msgspec.json.decode(content, type=_ChatEvent)
        except (msgspec.DecodeError, UnicodeError):
            # A comment or an unknown event is forwarded as it is.
            return True
        if self._is_resumed and _is_role_only(parsed):
            return False
        self._has_started = True
        for choice in parsed.choices:
            self._track_choice(choice)
        return True

    def _track_choice(self, choice: _Choice) -> None:
        for name, content in choice.delta.items():
            if content and name not in _RESUMABLE_FIELDS:
                self._can_continue = False
        text = choice.delta.get('content')
        if isinstance(text, str):
            self._text.write(text)
            self._text_length += len(text)
        if self._text_length > MAX_KEPT_BYTES:
            self._can_continue = False
            self._text = io.StringIO()


def _is_role_only(event: _ChatEvent) -> bool:
    return bool(event.choices) and not any(
        choice.finish_reason
        or any(
            content for name, content in choice.delta.items() if name != 'role'
        )
        for choice in event.choices
    )
