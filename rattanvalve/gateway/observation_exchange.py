"""Exchanges what gateways observe at endpoints with the turn stores.

Observations are the request rate limits that endpoints state, and the requests
during which endpoints crashed. A gateway that has got no response from an
endpoint yet, for example after a start, learns them from the gateways that
have.
"""

import asyncio
import random
import time
from collections.abc import Callable, Sequence

from rattanvalve.errors import PeerError
from rattanvalve.gateway.endpoint_limits import EndpointLimits
from rattanvalve.gateway.member_calls import MemberCalls
from rattanvalve.gateway.request_crashes import RequestCrashes
from rattanvalve.logs import LogPart, part_logger
from rattanvalve.sharedstate.endpoint_loads import LoadReports
from rattanvalve.sharedstate.endpoints import EndpointEntry
from rattanvalve.sharedstate.members import StoreMember
from rattanvalve.turn_messages import EndpointLoadReport, Observations

__all__ = ('ObservationExchange',)

#: Range of the interval at which a gateway exchanges all observations with one
#: turn store.
EXCHANGE_INTERVALS_S = (0.8, 1.2)
#: Pause after an exchange that failed, for example while stores start.
FAILED_INTERVAL_S = 0.3
#: The same with all stores until the first exchange has succeeded, as callers
#: wait for it.
FIRST_INTERVAL_S = 0.02
#: Shortest time between two messages to all turn stores, so that observations
#: that change together are sent together.
NEWS_INTERVAL_S = 0.05
#: Timeout of an exchange, beside the time that it waits for news.
EXCHANGE_TIMEOUT_S = 0.3

_log = part_logger(LogPart.GATEWAY)


class ObservationExchange:
    """Sends changes to all turn stores and reads all else periodically.

    :param calls: client of the turn store members.
    :param limits: limits that this gateway knows.
    :param crashes: crashes that this gateway knows.
    :param endpoints: returns all endpoints that this gateway knows.
    :param loads: load reports of endpoints; ``None`` if gateways do not share
        them.
    """

    def __init__(
        self,
        calls: MemberCalls,
        limits: EndpointLimits,
        crashes: RequestCrashes,
        endpoints: Callable[[], Sequence[EndpointEntry]],
        loads: LoadReports | None = None,
    ) -> None:
        #: Whether the observations of the turn stores are known.
        self.has_read = False
        self._calls = calls
        self._limits = limits
        self._crashes = crashes
        self._endpoints = endpoints
        self._loads = loads

    async def run(self) -> None:
        """Exchange observations until cancelled."""
        while not self.has_read:
            await self._exchange_with_all(Observations())
            await asyncio.sleep(FIRST_INTERVAL_S)
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._send_news())
            tasks.create_task(self._read_periodically())

    async def _send_news(self) -> None:
        """Tell all turn stores at once what this gateway has observed."""
        while True:
            await self._limits.news.wait()
            now_s = time.monotonic()
            news = Observations(
                limits=self._limits.take_news(now_s),
                crashes=self._crashes.take_news(),
                crash_digest=self._crashes.table.digest,
            )
            await self._exchange_with_all(news)
            await asyncio.sleep(NEWS_INTERVAL_S)

    async def _read_periodically(self) -> None:
        """Exchange all observations with one turn store after the other.

        The store answers early if it hears of a crash.
        """
        while True:
            is_answered = False
            members = self._calls.members()
            now_s = time.monotonic()
            self._crashes.expire(now_s)
            if members:
                member = random.choice(members)
                known = Observations(
                    limits=self._limits.reports(now_s),
                    crash_digest=self._crashes.table.digest,
                    wait_ms=int(random.uniform(*EXCHANGE_INTERVALS_S) * 1000),
                    loads=self._unsent_loads(member, now_s),
                )
                is_answered = await self._exchange(member, known)
            await asyncio.sleep(
                NEWS_INTERVAL_S if is_answered else FAILED_INTERVAL_S
            )

    def _unsent_loads(
        self, member: StoreMember, now_s: float
    ) -> tuple[EndpointLoadReport, ...]:
        """List the load reports that a member may lack."""
        if self._loads is None:
            return ()
        self._loads.expire(now_s)
        return self._loads.unsent(member.name, now_s, includes_others=True)

    async def _exchange_with_all(self, news: Observations) -> None:
        if not self._endpoints():
            # What the turn stores know would be ignored.
            return
        members = self._calls.members()
        await asyncio.gather(
            *(self._exchange(member, news) for member in members)
        )

    async def _exchange(self, member: StoreMember, sent: Observations) -> bool:
        """Exchange observations; return whether the member answered."""
        answer = await self._call(member, sent)
        if answer is None:
            return False
        self.has_read = True
        now_s = time.monotonic()
        self._limits.merge_reports(answer.limits, self._endpoints(), now_s)
        if self._loads is not None:
            self._loads.merge(answer.loads, member.name, now_s)
        table = self._crashes.table
        self._crashes.merge(answer.crashes, now_s)
        if table.digest != answer.crash_digest:
            # The member lacks records that this gateway knows.
            known = Observations(
                crashes=table.reports(now_s), crash_digest=table.digest
            )
            await self._call(member, known)
        return True

    async def _call(
        self, member: StoreMember, sent: Observations
    ) -> Observations | None:
        """Call a member; return ``None`` if it does not answer."""
        try:
            return await self._calls.call(
                member,
                sent,
                Observations,
                EXCHANGE_TIMEOUT_S + sent.wait_ms / 1000,
            )
        except PeerError as error:
            # The next exchange asks another member.
            _log.debug('no observations from %s: %s', member.name, error)
            return None
