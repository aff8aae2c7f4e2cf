"""Token usage and request bodies of the chat-completions protocol."""

from typing import Any

import msgspec

from rattanvalve.messages import Run, Usage

__all__ = ('UsageReader', 'engine_body')

#: Bytes kept of the end of a stream; usage is in its last chunk.
_STREAM_TAIL_BYTES = 64 * 1024
#: Largest response, other than a stream, whose usage is read.
_MAX_BODY_BYTES = 8 * 1024 * 1024
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
    """Buffers the end of a response and decodes the token usage in it.

    :param is_stream: whether the response is a stream of events.
    """

    def __init__(self, is_stream: bool) -> None:
        self._is_stream = is_stream
        self._max_bytes = _STREAM_TAIL_BYTES if is_stream else _MAX_BODY_BYTES
        self._tail = bytearray()

    def feed(self, content: bytes) -> None:
        """Add the next part of the response body.

        :param content: bytes that follow those of the previous call.
        """
        self._tail += content
        excess = len(self._tail) - self._max_bytes
        # Trimming only once the buffer is twice the limit makes the cost
        # of copying constant per byte.
        if excess > self._max_bytes:
            self._tail = self._tail[excess:]

    def usage(self) -> Usage:
        """Decode the usage of the response.

        :returns: last usage in the response; all counts are 0 without one.
        """
        if not self._is_stream:
            return _decode_usage(bytes(self._tail)) or Usage()
        for line in reversed(self._tail.splitlines()):
            if line.startswith(_EVENT_START) and b'"usage"' in line:
                usage_of_event = _decode_usage(bytes(line[len(_EVENT_START) :]))
                if usage_of_event is not None:
                    return usage_of_event
        return Usage()


def engine_body(run: Run) -> bytes | None:
    """Build the request body for the engine.

    A stream request asks for usage in the last chunk, which budget accounting
    needs. The text that a resumed run continues is added. Other bodies are
    passed unchanged.

    :param run: request of a caller.
    :returns: body, or ``None`` if the caller's body is not a JSON object.
    """
    if not (run.is_stream or run.resume_text):
        return run.body
    try:
        fields: dict[str, Any] = msgspec.json.decode(run.body, type=dict)
    except (msgspec.DecodeError, RecursionError):
        return None
    if run.is_stream:
        options = fields.get('stream_options')
        caller_options = options if isinstance(options, dict) else {}
        fields['stream_options'] = caller_options | {'include_usage': True}
    if run.resume_text:
        fields['resume_text'] = run.resume_text
    return msgspec.json.encode(fields)


def _decode_usage(raw: bytes) -> Usage | None:
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
