"""Usage and request bodies of the chat-completions protocol."""

from typing import Any

import msgspec

from rattanvalve.messages import Run, Usage

__all__ = ('UsageReader', 'engine_body')

#: Usage stands in the last chunk of a stream, which is short.
_TAIL_BYTES = 64 * 1024
#: Most bytes of a response without a stream whose usage is read.
_WHOLE_BYTES = 8 * 1024 * 1024
_EVENT_START = b'data:'


class _CachedTokens(msgspec.Struct):
    cached_tokens: int = 0


class _TokenCounts(msgspec.Struct):
    prompt_tokens: int = 0
    completion_tokens: int = 0
    prompt_tokens_details: _CachedTokens | None = None


class _WithUsage(msgspec.Struct):
    usage: _TokenCounts | None = None


class UsageReader:
    """Keeps the end of a response and reads its usage.

    :param is_stream: whether the response is a stream of events.
    """

    def __init__(self, is_stream: bool) -> None:
        self._is_stream = is_stream
        self._limit_bytes = _TAIL_BYTES if is_stream else _WHOLE_BYTES
        self._tail = bytearray()

    def feed(self, content: bytes) -> None:
        """Add a part of the response body.

        :param content: bytes that follow the earlier ones.
        """
        self._tail += content
        excess = len(self._tail) - self._limit_bytes
        # Cutting in steps of the limit keeps the cost per byte constant.
        if excess > self._limit_bytes:
            self._tail = self._tail[excess:]

    def usage(self) -> Usage:
        """Read the usage.

        :returns: last usage in the response, or zero if there is none.
        """
        if not self._is_stream:
            return _decode(bytes(self._tail)) or Usage()
        for line in reversed(self._tail.splitlines()):
            if line.startswith(_EVENT_START) and b'"usage"' in line:
                found = _decode(bytes(line[len(_EVENT_START) :]))
                if found is not None:
                    return found
        return Usage()


def engine_body(run: Run) -> bytes | None:
    """Build the body for the engine.

    A stream is made to end with its usage, which the budget needs, and a
    resumed text is added. Other bodies are passed unchanged.

    :param run: request of a caller.
    :returns: body, or ``None`` if the body is not a JSON object.
    """
    if not (run.is_stream or run.resume_text):
        return run.body
    try:
        fields: dict[str, Any] = msgspec.json.decode(run.body, type=dict)
    except (msgspec.DecodeError, RecursionError):
        return None
    if run.is_stream:
        options = fields.get('stream_options')
        known = options if isinstance(options, dict) else {}
        fields['stream_options'] = known | {'include_usage': True}
    if run.resume_text:
        fields['resume_text'] = run.resume_text
    return msgspec.json.encode(fields)


def _decode(raw: bytes) -> Usage | None:
    try:
        counts = msgspec.json.decode(raw, type=_WithUsage).usage
    except (msgspec.DecodeError, RecursionError):
        return None
    if counts is None:
        return None
    details = counts.prompt_tokens_details or _CachedTokens()
    return Usage(
        prompt_tokens=counts.prompt_tokens,
        cached_tokens=details.cached_tokens,
        output_tokens=counts.completion_tokens,
    )
