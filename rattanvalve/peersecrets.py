"""Secrets of the frames between processes, which may change at runtime."""

from typing import Any

from rattanvalve.errors import FrameError
from rattanvalve.wire import FrameSealer

__all__ = ('AcceptingSealer', 'PeerSecrets')


class PeerSecrets:
    """The secret to send with and those to accept.

    :param first: secret to send with; it is accepted, too.
    :param more: further secrets to accept while they are exchanged.
    """

    def __init__(self, first: bytes, more: tuple[bytes, ...] = ()) -> None:
        self.first = first
        self.accepted = (first, *more)

    @classmethod
    def of(cls, secret: 'PeerSecrets | bytes') -> 'PeerSecrets':
        """Give a single secret the form of this class.

        :param secret: a single secret, or secrets that may change.
        :returns: the secrets; the same object if they are of this class.
        """
        return cls(secret) if isinstance(secret, bytes) else secret

    @classmethod
    def of_texts(cls, first: str, more: tuple[str, ...]) -> 'PeerSecrets':
        """Take the secrets of settings.

        :param first: secret to send with.
        :param more: further secrets to accept.
        :returns: the secrets.
        """
        return cls(first.encode(), tuple(text.encode() for text in more))

    def follow(self, secrets: 'PeerSecrets') -> None:
        """Take over other secrets for all connections that share this object.

        :param secrets: secrets to use from now on.
        """
        self.first = secrets.first
        self.accepted = secrets.accepted


class AcceptingSealer:
    """Frames of both directions on the accepting side of a connection.

    The first frame tells which secret the other side sends with; it gets its
    answers with the same one, so it needs to know only that one.

    :param secrets: secrets to accept.
    :param nonce: nonce that this side sent.
    """

    def __init__(self, secrets: PeerSecrets, nonce: bytes) -> None:
        self._secrets = secrets
        self._nonce = nonce
        self._chosen = b''
        self._incoming: FrameSealer | None = None
        self._outgoing: FrameSealer | None = None

    def open(self, body: bytes) -> Any:
        """Check and decode the next frame.

        :param body: frame without its length header.
        :returns: the message.
        :raises FrameError: if it is not authentic or malformed, or if its
            secret is not accepted any more.
        """
        if self._incoming is None:
            return self._open_first(body)
        if self._chosen not in self._secrets.accepted:
            raise FrameError('the secret of the connection was withdrawn')
        return self._incoming.open(body)

    def seal(self, message: Any) -> bytes:
        """Encode a message as the next frame.

        :param message: message to send.
        :returns: the whole frame.
        :raises FrameError: if nothing was received yet or it is too large.
        """
        if self._outgoing is None:
            raise FrameError('an answer without a request')
        return self._outgoing.seal(message)

    def _open_first(self, body: bytes) -> Any:
        failure = FrameError('no secret is accepted')
        for secret in self._secrets.accepted:
            incoming = FrameSealer(secret, self._nonce, b'c')
            try:
                message = incoming.open(body)
            except FrameError as error:
                failure = error
                continue
            self._chosen = secret
            self._incoming = incoming
            self._outgoing = FrameSealer(secret, self._nonce, b's')
            return message
        raise failure
