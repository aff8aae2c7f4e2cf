"""Shared secrets of peer connections, replaceable at runtime."""

from typing import Any

from rattanvalve.errors import FrameError
from rattanvalve.wire import FrameSealer

__all__ = ('AcceptingSealer', 'PeerSecrets')


class PeerSecrets:
    """The secret for outgoing connections and those accepted for incoming.

    :param first: secret for outgoing connections; it is accepted, too.
    :param more: further accepted secrets, so that a secret can be rotated
        while some processes still send with the other one.
    """

    def __init__(self, first: bytes, more: tuple[bytes, ...] = ()) -> None:
        self.first = first
        self.accepted = (first, *more)

    @classmethod
    def from_secret(cls, secret: 'PeerSecrets | bytes') -> 'PeerSecrets':
        """Wrap a single secret; return an instance of this class unchanged.

        :param secret: a single secret, or replaceable secrets.
        :returns: the secrets; the same object if they are of this class.
        """
        return cls(secret) if isinstance(secret, bytes) else secret

    @classmethod
    def from_strings(cls, first: str, more: tuple[str, ...]) -> 'PeerSecrets':
        """Encode the secrets of a settings file.

        :param first: secret for outgoing connections.
        :param more: further accepted secrets.
        :returns: the secrets.
        """
        return cls(first.encode(), tuple(text.encode() for text in more))

    def replace_with(self, secrets: 'PeerSecrets') -> None:
        """Replace the secrets of all connections that share this object.

        :param secrets: the new secrets; open connections whose secret is no
            longer accepted fail at their next frame.
        """
        self.first = secrets.first
        self.accepted = secrets.accepted


class AcceptingSealer:
    """Authenticates both directions on the accepting side of a connection.

    The first frame determines which accepted secret the peer uses. Responses
    use the same secret, since the peer may not know the others.

    :param secrets: secrets to accept.
    :param nonce: nonce that this side sent.
    """

    def __init__(self, secrets: PeerSecrets, nonce: bytes) -> None:
        self._secrets = secrets
        self._nonce = nonce
        self._peer_secret = b''
        self._incoming: FrameSealer | None = None
        self._outgoing: FrameSealer | None = None

    def open(self, body: bytes) -> Any:
        """Check and decode the next frame.

        :param body: frame without its length header.
        :returns: the message.
        :raises FrameError: if the frame is malformed or not authentic, or if
            its secret is no longer accepted.
        """
        if self._incoming is None:
            return self._open_first(body)
        if self._peer_secret not in self._secrets.accepted:
            raise FrameError('the secret of the connection was withdrawn')
        return self._incoming.open(body)

    def seal(self, message: Any) -> bytes:
        """Encode a message as the next frame.

        :param message: message to send.
        :returns: the frame with its length header.
        :raises FrameError: if no frame was received yet or the frame would be
            too large.
        """
        if self._outgoing is None:
            raise FrameError('no frame was received, so the secret is unknown')
        return self._outgoing.seal(message)

    def _open_first(self, body: bytes) -> Any:
        last_error = FrameError('no secret is accepted')
        for secret in self._secrets.accepted:
            incoming = FrameSealer(secret, self._nonce, b'c')
            try:
                message = incoming.open(body)
            except FrameError as error:
                last_error = error
                continue
            self._peer_secret = secret
            self._incoming = incoming
            self._outgoing = FrameSealer(secret, self._nonce, b's')
            return message
        raise last_error
