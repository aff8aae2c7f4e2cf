"""Waiting in order of arrival, with an injected clock."""

import asyncio
from collections import deque
from collections.abc import AsyncIterator, Awaitable, Callable, Hashable
from contextlib import asynccontextmanager

__all__ = ('Lines', 'Sleep', 'wait_event')

Sleep = Callable[[float], Awaitable[None]]


async def wait_event(
    event: asyncio.Event,
    timeout_s: float,
    sleep: Sleep,
) -> bool:
    """Wait for an event, but not for ever.

    :param event: event to wait for.
    :param timeout_s: longest wait in seconds.
    :param sleep: waits for a number of seconds.
    :returns: whether the event is set.
    """
    if event.is_set() or timeout_s <= 0:
        return event.is_set()
    waiter = asyncio.ensure_future(event.wait())
    timer = asyncio.ensure_future(sleep(timeout_s))
    try:
        await asyncio.wait(
            (waiter, timer),
            return_when=asyncio.FIRST_COMPLETED,
        )
    finally:
        waiter.cancel()
        timer.cancel()
    return event.is_set()


class Lines:
    """First-come lines by key; a line exists while somebody stands in it.

    :param sleep: waits for a number of seconds.
    """

    def __init__(self, sleep: Sleep) -> None:
        self._sleep = sleep
        self._lines: dict[Hashable, deque[asyncio.Event]] = {}

    def length(self, key: Hashable) -> int:
        """Count who stands in a line.

        :param key: name of the line.
        :returns: how many stand in it, with the first one.
        """
        return len(self._lines.get(key, ()))

    @asynccontextmanager
    async def stand(
        self,
        key: Hashable,
        timeout_s: float,
    ) -> AsyncIterator[bool]:
        """Stand in a line until first; leave it at the end of the block.

        :param key: name of the line.
        :param timeout_s: longest wait in seconds.
        :returns: whether the first place was reached in time.
        """
        line = self._lines.setdefault(key, deque())
        place = asyncio.Event()
        line.append(place)
        try:
            if line[0] is not place:
                await wait_event(place, timeout_s, self._sleep)
            yield line[0] is place
        finally:
            line.remove(place)
            if line:
                line[0].set()
            else:
                self._lines.pop(key)
