"""LRU cache of turns, which saves most fetches from the turn store."""

from collections import OrderedDict
from dataclasses import dataclass

from rattanvalve.gateway.caller_limits import CACHE_SHARE

__all__ = ('CachedTurn', 'TurnCache', 'create_cache')


@dataclass(frozen=True, slots=True)
class CachedTurn:
    """Input and output of a turn, linked to the turn that it continues."""

    workspace: str
    prompt: bytes
    output: bytes
    previous: 'CachedTurn | None'

    def context(self) -> tuple[bytes, ...]:
        """Return the bytes that precede the input of the next turn.

        :returns: inputs and outputs of the chain, oldest first.
        """
        parts = []
        turn: CachedTurn | None = self
        while turn is not None:
            parts.extend((turn.output, turn.prompt))
            turn = turn.previous
        return tuple(reversed(parts))


class TurnCache:
    """Turns by id, bounded in bytes; evicts the least recently used.

    :param capacity_bytes: largest total of inputs and outputs in bytes.
    """

    def __init__(self, capacity_bytes: int) -> None:
        self._capacity_bytes = capacity_bytes
        self._turns: OrderedDict[str, CachedTurn] = OrderedDict()
        self._used_bytes = 0

    def get(self, turn_id: str) -> CachedTurn | None:
        """Return a turn and mark it as recently used.

        :param turn_id: id of the turn.
        :returns: the turn; ``None`` if it is not cached.
        """
        turn = self._turns.get(turn_id)
        if turn is not None:
            self._turns.move_to_end(turn_id)
        return turn

    def put(self, turn_id: str, turn: CachedTurn) -> None:
        """Add a turn and evict others while the cache is over capacity.

        :param turn_id: id of the turn; a cached turn is not replaced.
        :param turn: the turn.
        """
        if turn_id in self._turns:
            return
        self._turns[turn_id] = turn
        self._used_bytes += _size_bytes(turn)
        while self._used_bytes > self._capacity_bytes:
            _, evicted = self._turns.popitem(last=False)
            self._used_bytes -= _size_bytes(evicted)


def create_cache(memory_mb: float) -> TurnCache:
    """Create the cache of a gateway.

    :param memory_mb: memory limit of the process in megabytes.
    :returns: an empty cache for a share of this memory.
    """
    return TurnCache(int(memory_mb * CACHE_SHARE * 1_000_000))


def _size_bytes(turn: CachedTurn) -> int:
    return len(turn.prompt) + len(turn.output)
