"""Budget of the bytes that all callers together hold in a gateway.

Each connection has one holding. While a holding waits for its caller, it may
be evicted in favor of others: the one without progress for the longest time
goes first. A holding whose request runs at an endpoint is evicted only while
its response waits for the caller to read.
"""

import asyncio
import gc
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from rattanvalve.counters import Counter, Metrics

__all__ = (
    'LIMITED_RETRY_AFTER_S',
    'CallerMemory',
    'CallerMemoryError',
    'Holding',
)

#: Delay after which a caller that is refused for want of room may return; the
#: connections of evicted callers have ended by then.
LIMITED_RETRY_AFTER_S = 0.5
#: Interval at which callers are evicted while the budget is nearly used up.
CHECK_INTERVAL_S = 0.25
#: Time without progress after which a caller may be evicted.
STALL_S = 0.5
#: Bytes that count as progress, so that single bytes do not.
PROGRESS_BYTES = 16 * 1024
#: Holdings up to this size may use the whole budget, others a share of it, so
#: that ordinary requests are served while large ones are refused.
SMALL_BYTES = 128 * 1024
LARGE_SHARE = 0.9
#: Share of the budget above which stalled holdings are evicted.
RELIEF_SHARE = 0.75
#: Share of the budget in requests of lost connections above which the garbage
#: collector runs. The error that cancels a request refers to its frames and
#: they to the error, so its memory is not freed before that.
ABANDONED_SHARE = 1 / 16


class CallerMemoryError(Exception):
    """The budget has no room for more bytes of a caller."""


class Holding:
    """Bytes that one connection holds.

    ``stalled_since_s`` is the monotonic time of the last progress in seconds;
    ``evict`` is called when others need the bytes and is ``None`` while the
    connection does not wait for its caller.

    :param memory: budget of all connections.
    :param now_s: monotonic time in seconds.
    """

    def __init__(self, memory: 'CallerMemory', now_s: float) -> None:
        self.held_bytes = 0
        self.unsent_bytes = 0
        self.stalled_since_s = now_s
        self.evict: Callable[[], None] | None = None
        #: Whether the connection has ended; a handler may still be running.
        self.is_closed = False
        #: Whether the connection was told to end for its bytes.
        self.is_evicted = False
        self._memory = memory
        self._progress_bytes = 0

    def take(self, count: int) -> None:
        """Add bytes to this holding.

        :param count: number of bytes.
        :raises CallerMemoryError: if there is no room or the connection has
            ended; nothing is added.
        """
        if self.is_closed:
            raise CallerMemoryError
        self._memory.take(self, count, time.monotonic())

    def reset(self, count: int = 0) -> None:
        """Set the bytes of this holding, whether or not there is room.

        :param count: number of bytes that it still holds.
        """
        self._memory.used_bytes += count - self.held_bytes
        self.held_bytes = count
        self.is_evicted = False

    def record_progress(self, count: int, now_s: float) -> None:
        """Record bytes that the caller sent or received.

        :param count: number of bytes.
        :param now_s: monotonic time in seconds.
        """
        self._progress_bytes += count
        if self._progress_bytes >= PROGRESS_BYTES:
            self._progress_bytes = 0
            self.stalled_since_s = now_s

    def set_unsent(self, count: int) -> None:
        """Set the number of bytes that the caller has not yet received.

        :param count: size of the write buffer in bytes.
        """
        self._memory.used_bytes += count - self.unsent_bytes
        self.unsent_bytes = count

    @contextmanager
    def waiting(self, evict: Callable[[], None]) -> Iterator[None]:
        """Allow the eviction of this holding within the ``with`` block.

        :param evict: ends the wait for the caller.
        """
        self.stalled_since_s = time.monotonic()
        before = self.evict
        self.evict = evict
        try:
            yield
        finally:
            self.evict = before


class CallerMemory:
    """Bytes that all connections hold, bounded.

    :param limit_bytes: largest number of bytes.
    :param metrics: counts evictions.
    """

    def __init__(self, limit_bytes: int, metrics: Metrics) -> None:
        self.used_bytes = 0
        self._abandoned_bytes = 0
        self._unwound_bytes = 0
        self._limit_bytes = limit_bytes
        self._metrics = metrics
        self._holdings: set[Holding] = set()

    def open(self, now_s: float) -> Holding:
        """Create the holding of a connection.

        :param now_s: monotonic time in seconds.
        :returns: an empty holding; :meth:`close` ends it.
        """
        holding = Holding(self, now_s)
        self._holdings.add(holding)
        return holding

    def close(self, holding: Holding) -> None:
        """End the holding of a connection that is lost.

        The bytes of a request in flight count until :meth:`collect`.

        :param holding: its holding.
        """
        self._abandoned_bytes += holding.held_bytes
        holding.held_bytes = 0
        holding.set_unsent(0)
        holding.is_closed = True
        self._holdings.discard(holding)

    def take(self, holding: Holding, count: int, now_s: float) -> None:
        """Add bytes to a holding.

        Without room, stalled holdings are evicted for later requests. Their
        memory is free only some iterations of the event loop later, so this
        one is refused.

        :param holding: holding of the connection that needs the bytes.
        :param count: number of bytes.
        :param now_s: monotonic time in seconds.
        :raises CallerMemoryError: if there is no room; nothing is added.
        """
        is_small = holding.held_bytes + count <= SMALL_BYTES
        share = 1 if is_small else LARGE_SHARE
        used_bytes = self.used_bytes + count
        if used_bytes > self._limit_bytes * share:
            self.relieve(now_s)
            raise CallerMemoryError
        holding.held_bytes += count
        self.used_bytes = used_bytes

    async def run(self) -> None:
        """Evict callers without progress until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            self.relieve(time.monotonic())
            self.collect()

    def collect(self) -> None:
        """Collect the requests of lost connections if they are many.

        Those lost since the last call may still unwind, so they count until
        the next one.
        """
        count = self._abandoned_bytes + self._unwound_bytes
        if count <= self._limit_bytes * ABANDONED_SHARE:
            return
        gc.collect()
        self.used_bytes -= self._unwound_bytes
        self._unwound_bytes = self._abandoned_bytes
        self._abandoned_bytes = 0

    def relieve(self, now_s: float) -> None:
        """Evict stalled holdings while more than a share of the budget is used.

        Those without progress for the longest time go first. Their bytes count
        until their connections have ended, but no others are evicted for them.

        :param now_s: monotonic time in seconds.
        """
        excess_bytes = self.used_bytes - self._limit_bytes * RELIEF_SHARE
        excess_bytes -= sum(
            holding.held_bytes + holding.unsent_bytes
            for holding in self._holdings
            if holding.is_evicted
        )
        for holding in sorted(self._stalled(now_s), key=_stalled_since_s):
            if excess_bytes <= 0:
                return
            excess_bytes -= holding.held_bytes + holding.unsent_bytes
            evict = holding.evict
            holding.evict = None
            holding.is_evicted = True
            evict()
            self._metrics.count(Counter.CALLER_EVICTED)

    def _stalled(self, now_s: float) -> list[Holding]:
        if self.used_bytes <= self._limit_bytes * RELIEF_SHARE:
            return []
        return [
            holding
            for holding in self._holdings
            if holding.evict is not None
            and holding.stalled_since_s <= now_s - STALL_S
            and holding.held_bytes + holding.unsent_bytes
        ]


def _stalled_since_s(holding: Holding) -> float:
    return holding.stalled_since_s
