"""Follows the server-sent events of a chat response on their way.

Only whole events are passed on, so that another run can continue the response
after any of them.
"""

import re
from typing import Any

import msgspec

from rattanvalve.messages import Header

__all__ = ('ChatStream', 'is_event_stream', 'resume_event')

#: Longest event, and longest text that a run is asked to continue.
MAX_KEPT_BYTES = 1024 * 1024

_EVENT_END = re.compile(rb'\r?\n\r?\n')
_DATA_PREFIX = b'data:'
_EVENT_STREAM = 'text/event-stream'
_DONE = b'[DONE]'
_RESUMABLE_FIELDS = frozenset(('role', 'content'))


def is_event_stream(headers: tuple[Header, ...]) -> bool:
    """Return whether a response is a stream of server-sent events.

    :param headers: headers of the response.
    :returns: whether it is.
    """
    return any(
        header.name.lower() == 'content-type'
        and header.content.lower().startswith(_EVENT_STREAM)
        for header in headers
    )


def resume_event(text: str) -> bytes:
    """Make the event that stands for the text before a resumed run.

    :param text: text that the run was asked to continue; may be empty.
    :returns: event; the same for the same text, and nothing for no text.
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
    """What the caller got of one chat response.

    :param is_resumable: whether another run may continue the response; a
        request for several choices cannot be continued.
    """

    def __init__(self, *, is_resumable: bool) -> None:
        self.is_done = False
        self._can_resume = is_resumable
        self._is_resumed = False
        self._is_begun = False
        self._text: list[str] = []
        self._text_length = 0
        self._partial = b''

    @property
    def is_resumable(self) -> bool:
        """Whether another run can continue the response."""
        return self._can_resume or not self._is_begun

    @property
    def text(self) -> str:
        """Text that was passed on so far."""
        return ''.join(self._text)

    def start_run(self) -> None:
        """Note that the next bytes come from another run."""
        self._partial = b''
        self._is_resumed = self._is_begun

    def feed(self, content: bytes) -> bytes:
        """Take bytes of a run.

        :param content: next part of the stream.
        :returns: whole events to pass on.
        """
        pending = self._partial + content
        passed = []
        start = 0
        for match in _EVENT_END.finditer(pending):
            event = pending[start : match.end()]
            start = match.end()
            if self._take(event):
                passed.append(event)
        self._partial = pending[start:]
        if len(self._partial) > MAX_KEPT_BYTES:
            passed.append(self.flush())
        return b''.join(passed)

    def flush(self) -> bytes:
        """Give up waiting for the end of an event.

        :returns: bytes that belong to no whole event.
        """
        rest = self._partial
        self._partial = b''
        if rest:
            self._is_begun = True
            self._can_resume = False
        return rest

    def _take(self, event: bytes) -> bool:
        """Note an event; a repeated start of the message is left out."""
        content = event.strip().removeprefix(_DATA_PREFIX).strip()
        if content == _DONE:
            self.is_done = True
            return True
        try:
            parsed = msgspec.json.decode(content, type=_ChatEvent)
        except (msgspec.DecodeError, UnicodeError):
            # A comment or an unknown event: passed on, nothing to note.
            return True
        if self._is_resumed and _is_role_only(parsed):
            return False
        self._is_begun = True
        for choice in parsed.choices:
            self._note(choice)
        return True

    def _note(self, choice: _Choice) -> None:
        for name, content in choice.delta.items():
            if content and name not in _RESUMABLE_FIELDS:
                self._can_resume = False
        text = choice.delta.get('content')
        if isinstance(text, str):
            self._text.append(text)
            self._text_length += len(text)
        if self._text_length > MAX_KEPT_BYTES:
            self._can_resume = False
            self._text.clear()


def _is_role_only(event: _ChatEvent) -> bool:
    return bool(event.choices) and not any(
        choice.finish_reason
        or any(
            content for name, content in choice.delta.items() if name != 'role'
        )
        for choice in event.choices
    )
