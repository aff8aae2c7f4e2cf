"""Deadlines until which an engine keeps the cache of a program."""

from rattanvalve.errors import InvariantError
from rattanvalve.lazyheap import LazyHeap

__all__ = ('CacheHolds', 'cache_key_of')


def cache_key_of(workspace: str, program_id: str) -> str:
    """Name the cache of a program.

    :param workspace: workspace name.
    :param program_id: program id within the workspace.
    :returns: key under which the engine keeps the prefixes.
    """
    return f'{workspace}/{program_id}'


class CacheHolds:
    """Which caches the engine keeps, and until when.

    Every cache that a run has used is in this table until it is released, so
    that none stays allocated to a program that has ended or stalled.
    """

    def __init__(self) -> None:
        self._deadlines = LazyHeap()
        self._keys: set[str] = set()

    def __len__(self) -> int:
        """Count the holds.

        :returns: number of caches held.
        """
        return len(self._keys)

    def hold(self, cache_key: str, hold_s: float, now_s: float) -> None:
        """Hold a cache; an earlier hold of the same key is replaced.

        :param cache_key: key by :func:`cache_key_of`.
        :param hold_s: how long to hold, in seconds.
        :param now_s: monotonic time in seconds.
        """
        self._keys.add(cache_key)
        self._deadlines.push(cache_key, now_s + max(hold_s, 0))
        self._check()

    def renew(self, cache_key: str, hold_s: float, now_s: float) -> bool:
        """Move the deadline of a hold that exists.

        :param cache_key: key by :func:`cache_key_of`.
        :param hold_s: how long to hold from now, in seconds.
        :param now_s: monotonic time in seconds.
        :returns: whether the cache was held.
        """
        if cache_key not in self._keys:
            return False
        self.hold(cache_key, hold_s, now_s)
        return True

    def due(self, now_s: float) -> list[str]:
        """Take out the holds whose deadline has passed.

        :param now_s: monotonic time in seconds.
        :returns: cache keys that the engine must release now.
        """
        expired: list[str] = []
        found = self._deadlines.first()
        while found is not None and found[0] <= now_s:
            self.release(found[1])
            expired.append(found[1])
            found = self._deadlines.first()
        return expired

    def release(self, cache_key: str) -> bool:
        """Take out one hold before its deadline.

        :param cache_key: key by :func:`cache_key_of`.
        :returns: whether the cache was held.
        """
        is_held = cache_key in self._keys
        self._keys.discard(cache_key)
        self._deadlines.discard(cache_key)
        self._check()
        return is_held

    def _check(self) -> None:
        if len(self._keys) != len(self._deadlines):
            raise InvariantError('a cache hold has no deadline')
