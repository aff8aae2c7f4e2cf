"""Which endpoints the platform's VM list calls leaving, for some time."""

from collections.abc import Collection

__all__ = ('HINT_S', 'VmHints')

#: Hints are dropped when the list was not read for this long.
HINT_S = 30.0


class VmHints:
    """The newest hints and their age."""

    def __init__(self) -> None:
        self._names: frozenset[str] = frozenset()
        self._read_at_s = float('-inf')

    def take(self, names: Collection[str], read_at_s: float) -> None:
        """Note which endpoints the list calls leaving.

        :param names: endpoint names; they replace those noted before.
        :param read_at_s: moment at which the list was read.
        """
        self._names = frozenset(names)
        self._read_at_s = read_at_s

    def names(self, now_s: float) -> frozenset[str]:
        """Name the endpoints that are thought to leave.

        :param now_s: current time.
        :returns: endpoint names; none if the list is too old.
        """
        is_fresh = now_s - self._read_at_s < HINT_S
        return self._names if is_fresh else frozenset()
