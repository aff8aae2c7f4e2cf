"""Endpoints that may get new work, kept from one placement to the next.

A placement must not look at every endpoint. The list is therefore kept until
time alone changes it, and a request or a report changes a single entry.
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
    """When and under which names to leave out a list of candidates holds."""

    drained: Collection[str]
    hinted: Collection[str]
    from_s: float
    until_s: float

    def holds(
        self,
        drained: Collection[str],
        hinted: Collection[str],
        now_s: float,
    ) -> bool:
        """Return whether a list may still be used.

        :param drained: names of endpoints that a rule drains now.
        :param hinted: names of endpoints that the VM list calls leaving now.
        :param now_s: current time.
        :returns: whether neither the names nor time have changed it.
        """
        # Equal objects are the common case, and compared without a look at
        # the names.
        is_same = drained is self.drained or drained == self.drained
        is_same = is_same and (hinted is self.hinted or hinted == self.hinted)
        return is_same and self.from_s <= now_s < self.until_s


class Candidates(Sequence[EndpointLoad]):
    """Candidates of one service with the least load and each name at hand.

    :param entries: candidates.
    :param validity: when the list holds.
    """

    def __init__(
        self,
        entries: Iterable[EndpointLoad],
        validity: Validity,
    ) -> None:
        self.validity = validity
        self._entries = list(entries)
        self._positions: dict[str, int] = {}
        self._least = LazyHeap()
        for position, entry in enumerate(self._entries):
            self._positions[entry.member.name] = position
            self._least.push(entry.member.name, entry.load)

    def __len__(self) -> int:
        """Count the candidates.

        :returns: number of endpoints.
        """
        return len(self._entries)

    def __getitem__(self, position):
        """Give a candidate.

        :param position: index or slice.
        :returns: candidate, or a list of them.
        """
        return self._entries[position]

    def least_load(self) -> float:
        """Give the load of the least loaded candidate.

        :returns: requests per slot.
        :raises ValueError: if there is no candidate.
        """
        first = self._least.first()
        if first is None:
            raise ValueError('no candidates')
        return first[0]

    def find(self, name: str) -> EndpointLoad | None:
        """Find a candidate by name.

        :param name: name of an endpoint.
        :returns: candidate, or ``None`` if it may get no work.
        """
        position = self._positions.get(name)
        return None if position is None else self._entries[position]

    def update(self, entry: EndpointLoad) -> None:
        """Change the load of a candidate; others are ignored.

        :param entry: candidate with its new load.
        """
        position = self._positions.get(entry.member.name)
        if position is not None:
            self._entries[position] = entry
            self._least.push(entry.member.name, entry.load)


def least_load(candidates: Sequence[EndpointLoad]) -> float:
    """Give the load of the least loaded candidate.

    :param candidates: at least one candidate.
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
