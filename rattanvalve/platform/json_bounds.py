"""Bounds the nesting of JSON values that other writers stored.

The decoder recurses, also through values that it skips. How deep it gets
depends on the stack at the call, so without a bound of its own one process
would decode a value that another one cannot.
"""

import re
from collections.abc import Iterator

__all__ = ('DEPTH_MAX', 'cut_deep_values', 'is_too_deep')

#: Far deeper than any value that is used, far less than the decoder's limit.
DEPTH_MAX = 64
_STRING = rb'"(?:[^"\\]|\\.)*"'
_STRINGS = re.compile(_STRING, re.DOTALL)
#: Strings, and runs of opening or closing brackets.
_BRACKETS = re.compile(rb'%s|[\[{]+|[\]}]+' % _STRING, re.DOTALL)
_OPENING = b'[{'
_AS_SQUARE = bytes.maketrans(b'{}', b'[]')
_OTHER_BYTES = bytes(byte for byte in range(256) if byte not in b'[]{}')


def is_too_deep(value: bytes) -> bool:
    """Return whether a JSON value is nested more deeply than ``DEPTH_MAX``.

    :param value: JSON text.
    :returns: whether it is nested too deeply or its brackets do not match.
    """
    if value.count(b'[') + value.count(b'{') <= DEPTH_MAX:
        return False
    brackets = _STRINGS.sub(b'', value).translate(_AS_SQUARE, _OTHER_BYTES)
    for _ in range(DEPTH_MAX):
        if not brackets:
            return False
        # Removes the innermost level.
        brackets = brackets.replace(b'[]', b'')
    return bool(brackets)


def cut_deep_values(text: bytes, depth_max: int) -> bytes:
    """Replace values that are nested too deeply by ``null``.

    :param text: JSON text.
    :param depth_max: number of levels to keep.
    :returns: JSON text in which no value is nested more deeply.
    """
    kept = []
    kept_from = 0
    for start, end in _deep_spans(text, depth_max):
        kept += (text[kept_from:start], b'null')
        kept_from = end
    return b''.join((*kept, text[kept_from:]))


def _deep_spans(text: bytes, depth_max: int) -> Iterator[tuple[int, int]]:
    """Yield start and end of each value that is nested too deeply."""
    depth = 0
    start = 0
    for match in _BRACKETS.finditer(text):
        run = match.group()
        if run.startswith(b'"'):
            continue
        before = depth
        depth += len(run) if run[0] in _OPENING else -len(run)
        if before <= depth_max < depth:
            start = match.start() + depth_max - before
        elif depth <= depth_max < before:
            yield start, match.start() + before - depth_max
    if depth > depth_max:
        yield start, len(text)
