"""Exception classes of the package.

Expected refusals are returned as ``rattanvalve.messages.Refusal``; exceptions
report invalid input, failures of peers and bugs of this package.
"""

__all__ = (
    'BodyError',
    'ConfigTooLargeError',
    'ConfigurationError',
    'FencedError',
    'FrameError',
    'HistoryCompactedError',
    'InvariantError',
    'NotSentError',
    'PeerError',
    'QuorumError',
    'RattanvalveError',
    'ResponseStatusError',
    'ServerExchangeError',
    'ServerUnreachableError',
    'SettingsError',
    'StoreConflictError',
    'StoreError',
)


class RattanvalveError(Exception):
    """Base class of the exceptions of this package."""


class SettingsError(RattanvalveError):
    """A settings file is missing or invalid; the message names the place."""


class FrameError(RattanvalveError):
    """A frame is malformed, too large or not authentic."""


class PeerError(RattanvalveError):
    """A peer closed the connection or did not respond in time."""


class NotSentError(PeerError):
    """No connection to a peer was established, so nothing was sent."""


class ServerUnreachableError(RattanvalveError):
    """A server did not accept the connection, so nothing was sent."""


class ServerRefusedError(ServerUnreachableError):
    """The VM of a server is up, but no process listens at the address."""


class ServerExchangeError(RattanvalveError):
    """The exchange with a server failed; the sent request may have run."""


class ResponseStatusError(ServerExchangeError):
    """A server sent a response whose status is not between 100 and 599."""


class QuorumError(RattanvalveError):
    """Fewer members of the turn store than a quorum responded in time."""


class StoreError(RattanvalveError):
    """The object store did not respond or responded with an error."""


class StoreConflictError(StoreError):
    """A conditional update was refused because the version had changed."""


class HistoryCompactedError(StoreError):
    """The object store no longer has the changes since a revision."""


class ConfigurationError(RattanvalveError):
    """A stored configuration is malformed; it was not adopted."""


class InvariantError(RattanvalveError):
    """An internal invariant was violated, which is a bug of this package."""


class BodyError(RattanvalveError):
    """A request body lacks the form the server expects; it was not sent."""


class FencedError(RattanvalveError):
    """An engine command had an outdated fencing token and had no effect."""


class ConfigTooLargeError(RattanvalveError):
    """A configuration exceeds the storable size; it was not written."""
