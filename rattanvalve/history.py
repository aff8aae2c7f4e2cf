"""Chained digests over the messages of a program."""

from collections.abc import Iterable
from hashlib import blake2b

import msgspec

__all__ = ('chain_digests', 'is_continuation')

_DIGEST_BYTES = 8
_encoder = msgspec.json.Encoder(order='deterministic')


def chain_digests(messages: Iterable[dict]) -> tuple[int, ...]:
    """Digest each prefix of a message list.

    :param messages: messages of a chat-completions request.
    :returns: 64-bit signed digest after each message.
    """
    digests: list[int] = []
    previous = b''
    for message in messages:
        previous = blake2b(
            _encoder.encode(message),
            digest_size=_DIGEST_BYTES,
            key=previous,
        ).digest()
        digests.append(int.from_bytes(previous, 'big', signed=True))
    return tuple(digests)


def is_continuation(recorded_digest: int, digests: tuple[int, ...]) -> bool:
    """Return whether a message list extends the recorded one.

    A digest covers all messages before it, so finding the recorded digest is
    enough.

    :param recorded_digest: last digest of the recorded list; 0 for none.
    :param digests: digests of the new list; empty for a plain service.
    :returns: ``False`` for a fork.
    """
    if not recorded_digest or not digests:
        return True
    return recorded_digest in digests
