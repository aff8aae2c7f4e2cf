"""Release of the caches that an engine holds for programs."""

import asyncio
import time
from contextlib import suppress

from rattanvalve.cacheholds import CacheHolds, cache_key_of
from rattanvalve.counters import Counter, Metrics
from rattanvalve.engine_client import EngineClient
from rattanvalve.messages import Ticket
from rattanvalve.queuepolicies import timeout_s_of
from rattanvalve.service_client import ServiceClient

__all__ = ('CacheKeeper',)

#: Interval at which the deadlines of holds are checked, in seconds.
CHECK_INTERVAL_S = 0.25
#: Delay before a failed release is retried, in seconds.
RETRY_S = 1.0
_MS_PER_S = 1000


class CacheKeeper:
    """Holds caches between the turns of programs and releases them.

    :param client: client of the engine or plain service.
    :param metrics: counters.
    """

    def __init__(
        self,
        client: EngineClient | ServiceClient,
        metrics: Metrics,
    ) -> None:
        self.holds = CacheHolds()
        self.is_clean = False
        self._client = client
        self._metrics = metrics
        self._wake = asyncio.Event()

    def turn_started(self, ticket: Ticket) -> None:
        """Hold the cache of a program for the timeout of its run.

        :param ticket: ticket of the run.
        """
        self._hold(ticket, timeout_s_of(ticket))

    def turn_ended(self, ticket: Ticket) -> None:
        """Hold the cache for the next turn, or release it at once.

        :param ticket: ticket of the run; its ``cache_hold_ms`` is the duration
            of the hold, unless the program has ended.
        """
        hold_ms = 0 if ticket.is_program_end else ticket.cache_hold_ms
        self._hold(ticket, hold_ms / _MS_PER_S)
        if hold_ms <= 0:
            self._wake.set()
        else:
            self._metrics.count(Counter.CACHE_HELD)

    def release_program(self, workspace: str, program_id: str) -> None:
        """Release the cache of a program that moved or ended.

        :param workspace: workspace name.
        :param program_id: program id.
        """
        cache_key = cache_key_of(workspace, program_id)
        if self.holds.renew(cache_key, 0, time.monotonic()):
            self._wake.set()

    async def run(self) -> None:
        """Release the caches of an earlier process, then each expired hold."""
        while not self.is_clean:
            self.is_clean = await self._client.release_all()
            if not self.is_clean:
                await asyncio.sleep(RETRY_S)
        while True:
            with suppress(TimeoutError):
                async with asyncio.timeout(CHECK_INTERVAL_S):
                    await self._wake.wait()
            self._wake.clear()
            await self.release_due()

    async def release_due(self) -> None:
        """Release the caches whose deadline has passed."""
        for cache_key in self.holds.pop_due(time.monotonic()):
            if await self._client.release(cache_key):
                self._metrics.count(Counter.CACHE_RELEASED)
            elif not self.holds.renew(cache_key, RETRY_S, time.monotonic()):
                # The engine may still hold the cache, so the release is
                # retried.
                self.holds.hold(cache_key, RETRY_S, time.monotonic())

    def _hold(self, ticket: Ticket, hold_s: float) -> None:
        if self._client.keeps_cache and ticket.program_id:
            cache_key = cache_key_of(ticket.workspace, ticket.program_id)
            self.holds.hold(cache_key, hold_s, time.monotonic())
