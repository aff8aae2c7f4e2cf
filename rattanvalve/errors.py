"""Typed exceptions.

Expected refusals are returned as ``rattanvalve.messages.Refusal``; exceptions
stand for faults of input, peers or our own code.
"""

__all__ = (
    'BodyError',
    'ConfigTooLargeError',
    'ConfigurationError',
    'FencedError',
    'FrameError',
    'HistoryGoneError',
    'InvariantError',
    'NotSentError',
    'PeerError',
    'QuorumError',
    'RattanvalveError',
    'ServerBrokenError',
    'ServerUnreachableError',
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


class ServerUnreachableError(RattanvalveError):
    """A server did not accept a connection, so nothing was sent."""


class ServerBrokenError(RattanvalveError):
    """A server broke off; the request that was sent may have run."""


class QuorumError(RattanvalveError):
    """Too few members of the turn store answered in time."""


class StoreError(RattanvalveError):
    """The object store did not answer or answered with a failure."""


class StoreConflictError(StoreError):
    """A conditional update was refused as the version had changed."""


class HistoryGoneError(StoreError):
    """The object store no longer knows the changes since a revision."""


class ConfigurationError(RattanvalveError):
    """A stored configuration cannot be read; it was not adopted."""


class InvariantError(RattanvalveError):
    """An invariant of the product was violated by our own code."""


class BodyError(RattanvalveError):
    """A request body is not what the server expects; it was not sent."""


class FencedError(RattanvalveError):
    """An engine command has an outdated fencing token; it had no effect."""


class ConfigTooLargeError(RattanvalveError):
    """A configuration is larger than what can be stored; it was not written."""
