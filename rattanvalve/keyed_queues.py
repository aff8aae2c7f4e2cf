"""First-in, first-out queues by key, with an injected sleep function."""

import asyncio
from collections import deque
from collections.abc import AsyncIterator, Awaitable, Callable, Hashable
from contextlib import asynccontextmanager

__all__ = ('KeyedQueues', 'Sleep', 'wait_with_timeout')

Sleep = Callable[[float], Awaitable[None]]


async def wait_with_timeout(
    event: asyncio.Event,
    timeout_s: float,
    sleep: Sleep,
) -> bool:
    """Wait for an event with a timeout.

    :param event: event to wait for.
    :param timeout_s: longest wait in seconds; 0 or less returns at once.
    :param sleep: suspends the task for a number of seconds.
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


class KeyedQueues:
    """First-in, first-out queues by key; empty queues are removed.

    :param sleep: suspends the task for a number of seconds.
    """

    def __init__(self, sleep: Sleep) -> None:
        self._sleep = sleep
        self._queues: dict[Hashable, deque[asyncio.Event]] = {}

    def length(self, key: Hashable) -> int:
        """Return the length of a queue.

        :param key: key of the queue.
        :returns: number of entries, including the head; 0 for an unknown key.
        """
        return len(self._queues.get(key, ()))

    @asynccontextmanager
    async def enter(
        self,
        key: Hashable,
        timeout_s: float,
    ) -> AsyncIterator[bool]:
        """Join a queue and wait for its head; leave it when the block ends.

        The block also runs after a timeout, with ``False``.

        :param key: key of the queue.
        :param timeout_s: longest wait in seconds.
        :returns: whether the caller reached the head in time.
        """
        queue = self._queues.setdefault(key, deque())
        head_event = asyncio.Event()
        queue.append(head_event)
        try:
            if queue[0] is not head_event:
                await wait_with_timeout(head_event, timeout_s, self._sleep)
            yield queue[0] is head_event
        finally:
            queue.remove(head_event)
            if queue:
                queue[0].set()
            else:
                self._queues.pop(key)
