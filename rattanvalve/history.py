"""Chained digests of message lists, which detect forks of a history."""

from collections.abc import Iterable
from hashlib import blake2b

import msgspec

__all__ = ('chain_digests', 'is_continuation')

_DIGEST_BYTES = 8
_encoder = msgspec.json.Encoder(order='deterministic')


def chain_digests(messages: Iterable[dict]) -> tuple[int, ...]:
    """Compute a digest of each prefix of a message list.

    :param messages: messages of a chat-completions request.
    :returns: one 64-bit signed digest for each message, in order.
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
    """Check whether a message list extends the recorded one.

    A digest covers its message and all earlier ones, so the list is an
    extension if it contains the recorded digest.

    :param recorded_digest: last digest of the recorded list; 0 for none.
    :param digests: digests of the new list; empty for a plain service.
    :returns: ``False`` for a fork.
    """
    if not recorded_digest or not digests:
        return True
    return recorded_digest in digests
