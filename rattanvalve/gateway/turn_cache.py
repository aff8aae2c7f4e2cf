"""Turns that this process has seen, so that most need not be fetched."""

from collections import OrderedDict
from dataclasses import dataclass

__all__ = ('CachedTurn', 'TurnCache')


@dataclass(frozen=True, slots=True)
class CachedTurn:
    """A turn: its own bytes and the turn that it continues."""

    workspace: str
    prompt: bytes
    output: bytes
    previous: 'CachedTurn | None'

    def context(self) -> tuple[bytes, ...]:
        """Give what a server gets before the input of the next turn.

        :returns: inputs and outputs of the chain, oldest first.
        """
        parts = []
        turn: CachedTurn | None = self
        while turn is not None:
            parts.extend((turn.output, turn.prompt))
            turn = turn.previous
        return tuple(reversed(parts))


class TurnCache:
    """Turns by id, bounded in bytes; the oldest are dropped.

    :param capacity_bytes: most bytes of turns.
    """

    def __init__(self, capacity_bytes: int) -> None:
        self._capacity_bytes = capacity_bytes
        self._turns: OrderedDict[str, CachedTurn] = OrderedDict()
        self._bytes = 0

    def get(self, turn_id: str) -> CachedTurn | None:
        """Find a turn.

        :param turn_id: id of the turn.
        :returns: the turn, or ``None``.
        """
        turn = self._turns.get(turn_id)
        if turn is not None:
            self._turns.move_to_end(turn_id)
        return turn

    def put(self, turn_id: str, turn: CachedTurn) -> None:
        """Keep a turn.

        :param turn_id: id of the turn.
        :param turn: the turn.
        """
        if turn_id in self._turns:
            return
        self._turns[turn_id] = turn
        self._bytes += _size_of(turn)
        while self._bytes > self._capacity_bytes:
            _, dropped = self._turns.popitem(last=False)
            self._bytes -= _size_of(dropped)


def _size_of(turn: CachedTurn) -> int:
    return len(turn.prompt) + len(turn.output)
