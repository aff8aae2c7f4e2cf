"""Cached lists of the endpoints that accept new work.

A placement must not inspect every endpoint. A list is therefore cached until
it expires, and a request or a report updates a single entry of it.
"""

from collections.abc import Collection, Iterable, Sequence
from dataclasses import dataclass

from rattanvalve.lazyheap import LazyHeap
from rattanvalve.messages import Member

__all__ = (
    'Candidates',
    'EndpointLoad',
    'Validity',
    'find_candidate',
    'least_load',
)


@dataclass(frozen=True, slots=True, kw_only=True)
class EndpointLoad:
    """Estimated load of a candidate in requests per slot."""

    member: Member
    load: float
    is_slow_start: bool = False


@dataclass(frozen=True, slots=True)
class Validity:
    """Conditions under which a cached list of candidates may be used.

    The list was built for the excluded names ``drained`` and ``hinted``, and
    is valid from ``from_s`` until before ``until_s``, in seconds.
    """

    drained: Collection[str]
    hinted: Collection[str]
    from_s: float
    until_s: float

    def is_valid_for(
        self,
        drained: Collection[str],
        hinted: Collection[str],
        now_s: float,
    ) -> bool:
        """Return whether the list may still be used.

        :param drained: endpoints that a rule drains now.
        :param hinted: endpoints that the VM list marks as leaving now.
        :param now_s: current time in seconds.
        :returns: whether the names are unchanged and the list is not expired.
        """
        # Usually the objects are identical, which avoids comparing the names.
        is_same = drained is self.drained or drained == self.drained
        is_same = is_same and (hinted is self.hinted or hinted == self.hinted)
        return is_same and self.from_s <= now_s < self.until_s


class Candidates(Sequence[EndpointLoad]):
    """Candidates of one service, indexed by name and by load.

    :param entries: candidates.
    :param validity: conditions under which the list may be used.
    """

    def __init__(
        self,
        entries: Iterable[EndpointLoad],
        validity: Validity,
    ) -> None:
        self.validity = validity
        self._entries = list(entries)
        self._positions: dict[str, int] = {}
        self._by_load = LazyHeap()
        for position, entry in enumerate(self._entries):
            self._positions[entry.member.name] = position
            self._by_load.push(entry.member.name, entry.load)

    def __len__(self) -> int:
        """Return the number of candidates.

        :returns: number of endpoints; 0 if none accepts new work.
        """
        return len(self._entries)

    def __getitem__(self, position):
        """Return a candidate or a slice of the candidates.

        :param position: index or slice.
        :returns: candidate, or a list for a slice.
        """
        return self._entries[position]

    def least_load(self) -> float:
        """Return the load of the least loaded candidate.

        :returns: requests per slot.
        :raises ValueError: if there is no candidate.
        """
        first = self._by_load.peek()
        if first is None:
            raise ValueError('no candidates')
        return first[0]

    def find(self, name: str) -> EndpointLoad | None:
        """Find a candidate by name.

        :param name: name of an endpoint.
        :returns: candidate, or ``None`` if it accepts no new work.
        """
        position = self._positions.get(name)
        return None if position is None else self._entries[position]

    def update(self, entry: EndpointLoad) -> None:
        """Update the load of a candidate; unknown endpoints are ignored.

        :param entry: candidate with its new load.
        """
        position = self._positions.get(entry.member.name)
        if position is not None:
            self._entries[position] = entry
            self._by_load.push(entry.member.name, entry.load)


def least_load(candidates: Sequence[EndpointLoad]) -> float:
    """Return the load of the least loaded candidate.

    :param candidates: at least one candidate; indexed if ``Candidates``.
    :returns: requests per slot.
    """
    if isinstance(candidates, Candidates):
        return candidates.least_load()
    return min(entry.load for entry in candidates)


def find_candidate(
    candidates: Sequence[EndpointLoad],
    name: str,
) -> EndpointLoad | None:
    """Find a candidate by name.

    :param candidates: candidates.
    :param name: name of an endpoint.
    :returns: candidate, or ``None`` if it is not among them.
    """
    if isinstance(candidates, Candidates):
        return candidates.find(name)
    found = (entry for entry in candidates if entry.member.name == name)
    return next(found, None)
