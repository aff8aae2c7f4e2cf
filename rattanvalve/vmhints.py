"""Hints about endpoints that the platform's VM list gives as leaving."""

from collections.abc import Collection

__all__ = ('HINT_S', 'VmHints')

#: Seconds after the last read of the list at which the hints expire.
HINT_S = 30.0


class VmHints:
    """Names of the newest hints and the time at which the list was read."""

    def __init__(self) -> None:
        self._names: frozenset[str] = frozenset()
        self._read_at_s = float('-inf')

    def replace_hints(self, names: Collection[str], read_at_s: float) -> None:
        """Replace the hints.

        :param names: endpoints that the list gives as leaving.
        :param read_at_s: time in seconds at which the list was read.
        """
        self._names = frozenset(names)
        self._read_at_s = read_at_s

    def names(self, now_s: float) -> frozenset[str]:
        """Return the endpoints that the list gives as leaving.

        :param now_s: current time in seconds.
        :returns: endpoint names; empty once the hints have expired.
        """
        is_fresh = now_s - self._read_at_s < HINT_S
        return self._names if is_fresh else frozenset()
