"""Deadlines until which an engine keeps the cache of a program."""

from rattanvalve.errors import InvariantError
from rattanvalve.lazyheap import LazyHeap

__all__ = ('CacheHolds', 'cache_key_of')


def cache_key_of(workspace: str, program_id: str) -> str:
    """Return the key of the cache of a program.

    :param workspace: workspace name.
    :param program_id: program id within the workspace.
    :returns: key under which the engine keeps the cached prefixes.
    """
    return f'{workspace}/{program_id}'


class CacheHolds:
    """Deadline of each cache that the engine holds.

    A cache that a run has used stays in this table until it is released.
    The deadline therefore frees the cache of a program that ended or stalled.
    """

    def __init__(self) -> None:
        self._deadlines = LazyHeap()
        self._keys: set[str] = set()

    def __len__(self) -> int:
        """Return the number of held caches.

        :returns: number of caches.
        """
        return len(self._keys)

    def hold(self, cache_key: str, hold_s: float, now_s: float) -> None:
        """Hold a cache; an earlier hold of the same key is replaced.

        :param cache_key: key by :func:`cache_key_of`.
        :param hold_s: duration in seconds; a negative one counts as 0.
        :param now_s: monotonic time in seconds.
        """
        self._keys.add(cache_key)
        self._deadlines.push(cache_key, now_s + max(hold_s, 0))
        self._check_invariant()

    def renew(self, cache_key: str, hold_s: float, now_s: float) -> bool:
        """Set a new deadline for an existing hold.

        :param cache_key: key by :func:`cache_key_of`.
        :param hold_s: duration from now in seconds.
        :param now_s: monotonic time in seconds.
        :returns: whether the cache was held; if not, nothing changes.
        """
        if cache_key not in self._keys:
            return False
        self.hold(cache_key, hold_s, now_s)
        return True

    def pop_due(self, now_s: float) -> list[str]:
        """Remove and return the holds whose deadline has passed.

        :param now_s: monotonic time in seconds.
        :returns: keys of caches to release, earliest deadline first.
        """
        expired: list[str] = []
        earliest = self._deadlines.peek()
        while earliest is not None and earliest[0] <= now_s:
            self.release(earliest[1])
            expired.append(earliest[1])
            earliest = self._deadlines.peek()
        return expired

    def release(self, cache_key: str) -> bool:
        """Remove one hold regardless of its deadline.

        :param cache_key: key by :func:`cache_key_of`.
        :returns: whether the cache was held.
        """
        is_held = cache_key in self._keys
        self._keys.discard(cache_key)
        self._deadlines.discard(cache_key)
        self._check_invariant()
        return is_held

    def _check_invariant(self) -> None:
        if len(self._keys) != len(self._deadlines):
            raise InvariantError('cache holds and deadlines differ in number')
