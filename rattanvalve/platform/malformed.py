"""Exceptions that the JSON decoder raises for malformed content."""

__all__ = ('MALFORMED_JSON',)

#: ``msgspec.DecodeError`` and ``UnicodeDecodeError`` are subclasses of
#: ``ValueError``. Deep nesting ends in a ``RecursionError``.
MALFORMED_JSON = (ValueError, RecursionError)
