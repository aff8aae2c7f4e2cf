"""Turns by id, each retained as long as the turns that continue it."""

from collections.abc import Callable, Collection, Iterator
from dataclasses import dataclass
from typing import Protocol, TypeVar

from rattanvalve.turnstore.disklog import Location

__all__ = ('TurnChains', 'TurnEntry', 'walk_chain')


class Continuing(Protocol):
    """A turn that may continue another one."""

    @property
    def previous_id(self) -> str:
        """Return the id of the turn that it continues; empty for none."""


_Turn = TypeVar('_Turn', bound=Continuing)


def walk_chain(
    turn_id: str, find: Callable[[str], _Turn | None]
) -> Iterator[_Turn]:
    """Walk from a turn to its predecessors.

    A caller who uses the id of a request again may link turns in a circle.

    :param turn_id: id of the newest turn.
    :param find: returns a turn by its id.
    :returns: turns, newest first, each once; ends at the first one that is not
        found.
    """
    seen = set()
    while turn_id not in seen:
        turn = find(turn_id)
        if turn is None:
            return
        yield turn
        seen.add(turn_id)
        turn_id = turn.previous_id


@dataclass(slots=True)
class TurnEntry:
    """Index entry of a turn.

    ``previous_id`` is the turn that it continues, ``expires_s`` the Unix time
    in seconds until which it is retained.
    """

    location: Location
    previous_id: str
    expires_s: float


class TurnChains:
    """Turns and their expiry, whatever the order in which they are added.

    A store may get a turn before its predecessors, for example while it reads
    the records of others. The expiry that a turn needs of a missing one is
    therefore remembered until that one is added.
    """

    def __init__(self) -> None:
        self._turns: dict[str, TurnEntry] = {}
        #: Unix time in seconds until which a missing turn is needed, by its id.
        self._missing: dict[str, float] = {}
        #: Number of turns that were added after a turn that continues them.
        self.late_count = 0

    def __contains__(self, turn_id: str) -> bool:
        """Return whether a turn is stored.

        :param turn_id: id of the turn.
        :returns: whether it was added and has not expired.
        """
        return turn_id in self._turns

    @property
    def missing_ids(self) -> Collection[str]:
        """List turns that a stored turn continues, but that are not stored.

        :returns: their ids; empty if all chains are whole.
        """
        return self._missing.keys()

    def add(
        self,
        turn_id: str,
        previous_id: str,
        location: Location,
        expires_s: float,
    ) -> None:
        """Add a turn and extend the expiry of its predecessors.

        :param turn_id: id of the turn, which is not stored yet.
        :param previous_id: id of the turn that it continues; may be empty.
        :param location: location of its record in the log.
        :param expires_s: Unix time in seconds until which it is retained.
        """
        if turn_id in self._missing:
            self.late_count += 1
            expires_s = max(expires_s, self._missing.pop(turn_id))
        self._turns[turn_id] = TurnEntry(location, previous_id, expires_s)
        self._extend_expiry(previous_id, expires_s)

    def find_chain(self, turn_id: str) -> list[TurnEntry]:
        """Find a turn and its predecessors.

        :param turn_id: id of the newest turn.
        :returns: newest first; ends at the first turn that is not stored.
        """
        return list(walk_chain(turn_id, self._turns.get))

    def sweep(self, now_s: float) -> None:
        """Remove turns that have expired.

        :param now_s: Unix time in seconds.
        """
        self._turns = {
            turn_id: turn
            for turn_id, turn in self._turns.items()
            if turn.expires_s > now_s
        }
        self._missing = {
            turn_id: expires_s
            for turn_id, expires_s in self._missing.items()
            if expires_s > now_s
        }

    def _extend_expiry(self, turn_id: str, expires_s: float) -> None:
        while turn_id:
            turn = self._turns.get(turn_id)
            if turn is None:
                known_s = self._missing.get(turn_id, 0)
                self._missing[turn_id] = max(known_s, expires_s)
                return
            if turn.expires_s >= expires_s:
                return
            turn.expires_s = expires_s
            turn_id = turn.previous_id
