"""Exchanges the request rate limits of endpoints with the turn stores.

A gateway that has got no response from an endpoint yet, for example after a
start, so learns its limit from the gateways that have.
"""

import asyncio
import random
import time
from collections.abc import Callable, Sequence

from rattanvalve.errors import PeerError
from rattanvalve.gateway.endpoint_limits import EndpointLimits
from rattanvalve.gateway.member_calls import MemberCalls
from rattanvalve.logs import LogPart, part_logger
from rattanvalve.sharedstate.endpoints import EndpointEntry
from rattanvalve.sharedstate.members import StoreMember
from rattanvalve.turn_messages import EndpointLimit, EndpointLimitList

__all__ = ('LimitExchange',)

#: Interval at which a gateway exchanges all limits with one turn store.
EXCHANGE_INTERVAL_S = 1.0
#: The same with all of them until the first exchange has succeeded, as callers
#: wait for it.
FIRST_INTERVAL_S = 0.02
#: Shortest time between two messages to all turn stores, so that limits that
#: change together are sent together.
NEWS_INTERVAL_S = 0.1
EXCHANGE_TIMEOUT_S = 0.3

_log = part_logger(LogPart.GATEWAY)


class LimitExchange:
    """Sends changes to all turn stores and reads all limits periodically.

    :param calls: client of the turn store members.
    :param limits: limits that this gateway knows.
    :param endpoints: returns all endpoints that this gateway knows.
    """

    def __init__(
        self,
        calls: MemberCalls,
        limits: EndpointLimits,
        endpoints: Callable[[], Sequence[EndpointEntry]],
    ) -> None:
        #: Whether the limits of the turn stores are known.
        self.has_read_limits = False
        self._calls = calls
        self._limits = limits
        self._endpoints = endpoints

    async def run(self) -> None:
        """Exchange limits until cancelled."""
        while not self.has_read_limits:
            await self._exchange_with_all(())
            await asyncio.sleep(FIRST_INTERVAL_S)
        while True:
            await self._exchange_once()
            await asyncio.sleep(NEWS_INTERVAL_S)
            await self._wait_for_news()

    async def _wait_for_news(self) -> None:
        interval_s = EXCHANGE_INTERVAL_S - NEWS_INTERVAL_S
        try:
            async with asyncio.timeout(interval_s * random.uniform(0.8, 1.2)):
                await self._limits.news.wait()
        except TimeoutError:
            # Without news, the periodic exchange is due.
            return

    async def _exchange_once(self) -> None:
        now_s = time.monotonic()
        news = self._limits.take_news(now_s)
        if news:
            await self._exchange_with_all(news)
            return
        members = self._calls.members()
        if members:
            reports = self._limits.reports(now_s)
            await self._exchange(random.choice(members), reports)

    async def _exchange_with_all(
        self, reports: Sequence[EndpointLimit]
    ) -> None:
        if not self._endpoints():
            # What the turn stores know would be ignored.
            return
        members = self._calls.members()
        await asyncio.gather(
            *(self._exchange(member, reports) for member in members)
        )

    async def _exchange(
        self, member: StoreMember, reports: Sequence[EndpointLimit]
    ) -> None:
        try:
            answer = await self._calls.call(
                member,
                EndpointLimitList(limits=tuple(reports)),
                EndpointLimitList,
                EXCHANGE_TIMEOUT_S,
            )
        except PeerError as error:
            # The next exchange asks another member.
            _log.debug('no limits from %s: %s', member.name, error)
            return
        self.has_read_limits = True
        self._limits.merge_reports(
            answer.limits, self._endpoints(), time.monotonic()
        )
