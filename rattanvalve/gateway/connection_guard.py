"""Bounds the connections of a listener and closes those without progress."""

import asyncio
import time
from collections.abc import Callable
from typing import Protocol

from rattanvalve.counters import Counter, Metrics
from rattanvalve.gateway.caller_memory import CallerMemory, Holding
from rattanvalve.resultcodes import ResultCode
from rattanvalve.sharedstate.rules import Limits

__all__ = ('ConnectionGuard', 'Guarded', 'choose_victim')

#: Time after which a connection without a complete request may be closed in
#: favor of a new one.
WAIT_MIN_S = 1.0
CHECK_INTERVAL_S = 0.25


class Guarded(Protocol):
    """Connection as the guard sees it."""

    holding: Holding
    raw_transport: asyncio.Transport
    is_serving: bool
    waiting_since_s: float
    has_served: bool
    head_since_s: float | None

    def close_with(self, code: ResultCode) -> None:
        """Refuse an incomplete head and close the connection."""

    def force_close(self) -> None:
        """Close the connection."""


class ConnectionGuard:
    """Open connections of one listener.

    :param connections_max: largest number of open connections.
    :param memory: budget of the bytes that callers hold.
    :param metrics: counts refusals and closed connections.
    :param limits: returns the limits of the current rules.
    :param head_bytes_max: returns the largest size of an incomplete head.
    """

    def __init__(
        self,
        connections_max: int,
        memory: CallerMemory,
        metrics: Metrics,
        limits: Callable[[], Limits],
        head_bytes_max: Callable[[], int],
    ) -> None:
        self.memory = memory
        self.head_bytes_max = head_bytes_max
        self._connections_max = connections_max
        self._metrics = metrics
        self._limits = limits
        self._connections: set[Guarded] = set()

    def __len__(self) -> int:
        """Return the number of open connections.

        :returns: number of connections that are not closed.
        """
        return len(self._connections)

    def add(self, connection: Guarded, now_s: float) -> None:
        """Add a connection; over the bound, close one that only waits.

        :param connection: new connection; closed itself if all others are in
            use.
        :param now_s: monotonic time in seconds.
        """
        self._connections.add(connection)
        if len(self._connections) <= self._connections_max:
            return
        victim = choose_victim(self._connections, now_s) or connection
        self._close(victim, Counter.CALLER_CROWDED_OUT)

    def remove(self, connection: Guarded) -> None:
        """Remove a connection that is lost and release what it holds.

        :param connection: the connection.
        """
        self._connections.discard(connection)
        self.memory.close(connection.holding)

    def count_refusal(self, code: ResultCode) -> None:
        """Count a refusal.

        :param code: its result code.
        """
        self._metrics.count_code(code)

    def check(self, now_s: float) -> None:
        """Close connections whose callers make no progress.

        :param now_s: monotonic time in seconds.
        """
        limits = self._limits()
        head_timeout_s = limits.header_timeout_ms / 1000
        idle_timeout_s = limits.idle_timeout_ms / 1000
        for connection in tuple(self._connections):
            head_since_s = connection.head_since_s
            if (
                head_since_s is not None
                and now_s > head_since_s + head_timeout_s
            ):
                connection.close_with(ResultCode.REQUEST_TIMEOUT)
            elif _is_unread(connection, now_s, idle_timeout_s):
                self._close(connection, Counter.CALLER_NOT_READING)

    async def run(self) -> None:
        """Check the connections until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            self.check(time.monotonic())

    def _close(self, connection: Guarded, counter: Counter) -> None:
        # The transport is closed in the next iteration of the event loop.
        self._connections.discard(connection)
        self._metrics.count(counter)
        connection.force_close()
        # A close waits until the caller has read the rest.
        connection.raw_transport.abort()


def choose_victim(connections: set, now_s: float) -> Guarded | None:
    """Choose the connection that gives way to a new one.

    Connections that never had a complete request go first, then idle ones,
    each the longest wait first.

    :param connections: open connections.
    :param now_s: monotonic time in seconds.
    :returns: a connection that waits for its caller, or ``None``.
    """
    latest_s = now_s - WAIT_MIN_S
    waiting = [
        connection
        for connection in connections
        if _waits_since_s(connection) <= latest_s
    ]
    return min(waiting, key=_victim_order, default=None)


def _victim_order(connection: Guarded) -> tuple[bool, float]:
    return connection.has_served, _waits_since_s(connection)


def _waits_since_s(connection: Guarded) -> float:
    if not connection.is_serving:
        return connection.waiting_since_s
    if connection.holding.evict is not None:
        return connection.holding.stalled_since_s
    return float('inf')


def _is_unread(
    connection: Guarded, now_s: float, idle_timeout_s: float
) -> bool:
    """Update the unsent bytes; tell whether the caller stopped reading."""
    holding = connection.holding
    count = connection.raw_transport.get_write_buffer_size()
    before = holding.unsent_bytes
    if count and not before:
        holding.stalled_since_s = now_s
    elif count < before:
        holding.record_progress(before - count, now_s)
    holding.set_unsent(count)
    return bool(count) and now_s > holding.stalled_since_s + idle_timeout_s
