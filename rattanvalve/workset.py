"""A set of unfinished work that a stop can wait for."""

import asyncio
from collections.abc import Container, Hashable
from contextlib import suppress

__all__ = ('WorkSet',)


class WorkSet:
    """Items of work; :meth:`wait_empty` returns when the last one ended."""

    def __init__(self) -> None:
        self._items: set[Hashable] = set()
        self._empty = asyncio.Event()
        self._empty.set()

    def __len__(self) -> int:
        """Count the items.

        :returns: number of items.
        """
        return len(self._items)

    def __contains__(self, item: Hashable) -> bool:
        """Return whether an item is in the set.

        :param item: any item.
        :returns: whether it was added and not discarded.
        """
        return item in self._items

    def add(self, item: Hashable) -> None:
        """Add an item.

        :param item: work that has begun.
        """
        self._items.add(item)
        self._empty.clear()

    def discard(self, item: Hashable) -> None:
        """Remove an item if it is present.

        :param item: work that has ended.
        """
        self._items.discard(item)
        if not self._items:
            self._empty.set()

    def keep(self, known: Container) -> None:
        """Remove the items that are not known any more.

        :param known: items to keep.
        """
        for item in tuple(self._items):
            if item not in known:
                self.discard(item)

    async def wait_empty(self, limit_s: float) -> bool:
        """Wait until there is no item.

        :param limit_s: longest wait in seconds.
        :returns: whether the set is empty.
        """
        with suppress(TimeoutError):
            async with asyncio.timeout(limit_s):
                await self._empty.wait()
        return not self._items
