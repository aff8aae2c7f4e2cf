"""Priority queue with changeable keys and lazy deletion."""

from collections.abc import Hashable
from heapq import heapify, heappop, heappush
from typing import Any

__all__ = ('LazyHeap',)

#: Stale entries tolerated in a small heap, for which a rebuild does not pay.
_SLACK_COUNT = 32


class LazyHeap:
    """Items ordered by key; stale entries are removed at the top of the heap.

    The heap is rebuilt when most of its entries are stale. The amortised cost
    of an operation is therefore logarithmic, and memory is proportional to the
    number of items.
    """

    def __init__(self) -> None:
        self._entries: list[tuple[Any, Hashable]] = []
        self._keys: dict[Hashable, Any] = {}

    def __len__(self) -> int:
        """Return the number of items.

        :returns: items without stale entries.
        """
        return len(self._keys)

    def push(self, item: Hashable, key: Any) -> None:
        """Add an item or change its key.

        :param item: item, present at most once.
        :param key: comparable with the keys of the other items.
        """
        self._keys[item] = key
        heappush(self._entries, (key, item))
        self._compact()

    def discard(self, item: Hashable) -> None:
        """Remove an item if it is present.

        :param item: item to remove; unknown items are ignored.
        """
        self._keys.pop(item, None)
        self._compact()

    def peek(self) -> tuple[Any, Any] | None:
        """Return the item with the lowest key without removing it.

        :returns: key and item, or ``None`` if the heap is empty.
        """
        entries = self._entries
        while entries:
            key, item = entries[0]
            if item in self._keys and self._keys[item] == key:
                return key, item
            heappop(entries)
        return None

    def _compact(self) -> None:
        if len(self._entries) > 2 * len(self._keys) + _SLACK_COUNT:
            self._entries = [(key, item) for item, key in self._keys.items()]
            heapify(self._entries)
