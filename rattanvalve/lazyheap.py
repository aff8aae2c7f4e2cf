"""Heap with changeable keys: logarithmic cost and no linear removals."""

from collections.abc import Hashable
from heapq import heapify, heappop, heappush
from typing import Any

__all__ = ('LazyHeap',)

#: Stale entries kept before a rebuild; smaller heaps are not worth one.
_SLACK_COUNT = 32


class LazyHeap:
    """Items ordered by key; outdated entries are dropped when met.

    The heap is rebuilt when most of its entries are outdated, so that the
    cost of an operation stays logarithmic on average and memory stays
    proportional to the number of items.
    """

    def __init__(self) -> None:
        self._entries: list[tuple[Any, Hashable]] = []
        self._keys: dict[Hashable, Any] = {}

    def __len__(self) -> int:
        """Count the items.

        :returns: number of items.
        """
        return len(self._keys)

    def push(self, item: Hashable, key: Any) -> None:
        """Add an item or change its key.

        :param item: what to order; each item is present once.
        :param key: comparable with the keys of the other items.
        """
        self._keys[item] = key
        heappush(self._entries, (key, item))
        self._compact()

    def discard(self, item: Hashable) -> None:
        """Remove an item if it is present.

        :param item: item that was pushed.
        """
        self._keys.pop(item, None)
        self._compact()

    def first(self) -> tuple[Any, Any] | None:
        """Look at the item with the lowest key.

        :returns: key and item, or ``None`` if there is none.
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
