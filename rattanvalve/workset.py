"""Set of work in progress, with a wait until it is empty."""

import asyncio
from collections.abc import Container, Hashable, Iterator
from contextlib import suppress

__all__ = ('WorkSet',)


class WorkSet:
    """Work in progress; :meth:`wait_empty` waits until all of it has ended."""

    def __init__(self) -> None:
        self._items: set[Hashable] = set()
        self._empty = asyncio.Event()
        self._empty.set()

    def __len__(self) -> int:
        """Return the number of unfinished items.

        :returns: number of items, at least 0.
        """
        return len(self._items)

    def __iter__(self) -> Iterator[Hashable]:
        """Iterate over the unfinished items, which may end meanwhile.

        :returns: items at the time of the call.
        """
        return iter(tuple(self._items))

    def __contains__(self, item: Hashable) -> bool:
        """Check whether an item is unfinished.

        :param item: item to look for.
        :returns: whether it was added and not discarded since.
        """
        return item in self._items

    def add(self, item: Hashable) -> None:
        """Add an item; adding it again has no effect.

        :param item: work that has begun.
        """
        self._items.add(item)
        self._empty.clear()

    def discard(self, item: Hashable) -> None:
        """Remove an item; does nothing if it is absent.

        :param item: work that has ended.
        """
        self._items.discard(item)
        if not self._items:
            self._empty.set()

    def retain(self, known: Container) -> None:
        """Remove all items that are not in a container.

        :param known: items to retain.
        """
        for item in tuple(self._items):
            if item not in known:
                self.discard(item)

    async def wait_empty(self, timeout_s: float) -> bool:
        """Wait until the set is empty.

        :param timeout_s: longest wait in seconds.
        :returns: whether the set is empty; ``False`` after a timeout.
        """
        with suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self._empty.wait()
        return not self._items
