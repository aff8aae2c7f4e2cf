"""Rendezvous hashing: each key orders the names by a score of the pair."""

from collections.abc import Iterable
from hashlib import blake2b

__all__ = ('rank',)

_SCORE_BYTES = 8
# Separates key and name, so that ('ab', 'c') and ('a', 'bc') differ.
_SEPARATOR = b'\0'


def rank(key: str, names: Iterable[str]) -> list[str]:
    """Order names for a key; removing a name keeps the order of the others.

    :param key: what is to be assigned.
    :param names: names of the candidates.
    :returns: names, best first; duplicates are dropped.
    """
    base = blake2b(key.encode() + _SEPARATOR, digest_size=_SCORE_BYTES)

    def score(name: str) -> tuple[bytes, str]:
        digest = base.copy()
        digest.update(name.encode())
        return digest.digest(), name

    return sorted(set(names), key=score, reverse=True)
