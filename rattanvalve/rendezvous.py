"""Rendezvous hashing: a key ranks names by the hash of key and name."""

from collections.abc import Iterable
from hashlib import blake2b

__all__ = ('rank',)

_SCORE_BYTES = 8
# Makes the hash inputs of ('ab', 'c') and ('a', 'bc') differ.
_SEPARATOR = b'\0'


def rank(key: str, names: Iterable[str]) -> list[str]:
    """Rank names for a key; removing a name keeps the order of the others.

    :param key: key to assign.
    :param names: names of the candidates.
    :returns: names by descending score, without duplicates.
    """
    base = blake2b(key.encode() + _SEPARATOR, digest_size=_SCORE_BYTES)

    def score(name: str) -> tuple[bytes, str]:
        digest = base.copy()
        digest.update(name.encode())
        return digest.digest(), name

    return sorted(set(names), key=score, reverse=True)
