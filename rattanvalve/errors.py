"""Typed exceptions.

Expected refusals are returned as ``rattanvalve.messages.Refusal``; exceptions
stand for faults of input, peers or our own code.
"""

__all__ = (
    'BodyError',
    'ConfigTooLargeError',
    'FencedError',
    'FrameError',
    'InvariantError',
    'NotSentError',
    'PeerError',
    'RattanvalveError',
    'SettingsError',
    'StoreConflictError',
    'StoreError',
)


class RattanvalveError(Exception):
    """Base of all exceptions of this package."""


class SettingsError(RattanvalveError):
    """A settings file is missing or invalid; the text names the place."""


class FrameError(RattanvalveError):
    """A frame is malformed, too large or failed authentication."""


class PeerError(RattanvalveError):
    """A peer closed the connection or did not answer in time."""


class NotSentError(PeerError):
    """There was no connection to a peer, so nothing of a message was sent."""


class StoreError(RattanvalveError):
    """The object store did not answer or answered with a failure."""


class StoreConflictError(StoreError):
    """A conditional update was refused as the version had changed."""


class InvariantError(RattanvalveError):
    """An invariant of the product was violated by our own code."""


class BodyError(RattanvalveError):
    """A request body is not what the server expects; it was not sent."""


class FencedError(RattanvalveError):
    """An engine command has an outdated fencing token; it had no effect."""


class ConfigTooLargeError(RattanvalveError):
    """A configuration is larger than what can be stored; it was not written."""
