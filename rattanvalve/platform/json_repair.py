r"""Replaces values of other writers that the JSON decoder cannot read.

The grammar of JSON allows half of a pair of escapes, for example ``"\ud800"``,
which is no character. Some writers also store ``NaN`` or ``Infinity``.
"""

import re

import msgspec

from rattanvalve.platform.malformed import MALFORMED_JSON

__all__ = ('replace_unreadable',)

#: Strings, with the colon after a key, and words that are no JSON values.
_TOKENS = re.compile(rb'("(?:[^"\\]|\\.)*")(\s*:)?|NaN|-?Infinity', re.DOTALL)


def replace_unreadable(text: bytes) -> bytes:
    """Replace unreadable values by ``null``, and unreadable keys by ``""``.

    :param text: JSON text.
    :returns: the text with all other values unchanged.
    """
    return _TOKENS.sub(_replace, text)


def _replace(match: re.Match) -> bytes:
    string, colon = match.groups()
    if string is None:
        return b'null'
    try:
        msgspec.json.decode(string, type=str)
    except MALFORMED_JSON:
        return b'""%b' % colon if colon else b'null'
    return match.group()
