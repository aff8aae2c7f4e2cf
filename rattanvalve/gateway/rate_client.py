"""Client of the rate limits that the turn stores enforce."""

import time
from collections.abc import Sequence
from dataclasses import replace

from rattanvalve.errors import PeerError, QuorumError
from rattanvalve.gateway.member_calls import MemberCalls
from rattanvalve.sharedstate.endpoint_loads import LoadReports
from rattanvalve.sharedstate.members import StoreMember, replica_group
from rattanvalve.turn_messages import RateGrant, TakeEndpointRate, TakeRate
from rattanvalve.turnstore.rateshares import RATE_LOST_STORES_MAX

__all__ = ('RateClient',)

RATE_TIMEOUT_S = 0.3
#: Waiting this long takes less time than a call to another store.
RATE_WAIT_SHORT_MS = 20


class RateClient:
    """Calls the turn stores that share the rate of a workspace or endpoint.

    :param calls: client of the turn store members.
    :param loads: load reports of endpoints to exchange with the stores;
        ``None`` if gateways do not share them.
    """

    def __init__(
        self, calls: MemberCalls, loads: LoadReports | None = None
    ) -> None:
        self._calls = calls
        self._loads = loads

    async def take(self, message: TakeRate) -> RateGrant:
        """Acquire a grant for one request of a workspace.

        A start that the primary refuses is refused, as only the primary knows
        what the running programs need.

        :param message: workspace, longest wait, and whether the request
            starts a program.
        :returns: the grant, or the refusal with the shortest wait.
        :raises QuorumError: if no member knows the rate.
        """
        members = self._calls.members()
        group = replica_group(message.workspace, members, RATE_LOST_STORES_MAX)
        reach = self._calls.reach
        has_primary = bool(group) and not reach.has_failed(group[0].address)
        refusals = []
        for wait_max_ms in _round_waits_ms(message, has_primary=has_primary):
            request = replace(message, wait_max_ms=wait_max_ms)
            for member in reach.sort_failed_last(group):
                grant = await self._take_with_loads(member, request)
                if grant.is_known:
                    refusals.append(grant)
                is_primary = member is group[0]
                if _is_final(message, grant, is_primary=is_primary):
                    return grant
        return _shortest_wait(refusals, message.workspace)

    async def take_endpoint(self, message: TakeEndpointRate) -> RateGrant:
        """Acquire a grant for one request to an endpoint that states a limit.

        Members whose last call failed are not asked, as a request with other
        endpoints to choose from should not wait for their timeouts.

        :param message: endpoint, longest wait, and rank of the request.
        :returns: the grant, or the refusal with the shortest wait.
        :raises QuorumError: if no member knows the limit.
        """
        endpoint = message.limit.endpoint
        members = self._calls.members()
        group = replica_group(endpoint, members, RATE_LOST_STORES_MAX)
        reach = self._calls.reach
        refusals = []
        for member in group:
            if reach.has_failed(member.address) and not self._calls.is_relayed(
                member
            ):
                continue
            grant = await self._request_grant(member, message)
            if grant.is_granted:
                return grant
            if grant.is_known:
                refusals.append(grant)
        return _shortest_wait(refusals, endpoint)

    async def _take_with_loads(
        self, member: StoreMember, message: TakeRate
    ) -> RateGrant:
        """Request a grant and exchange load reports with the member."""
        if self._loads is None:
            return await self._request_grant(member, message)
        loads = self._loads.unsent(member.name, time.monotonic())
        grant = await self._request_grant(member, replace(message, loads=loads))
        self._loads.merge(grant.loads, member.name, time.monotonic())
        return grant

    async def _request_grant(
        self,
        member: StoreMember,
        message: TakeRate | TakeEndpointRate,
    ) -> RateGrant:
        try:
            return await self._calls.call(
                member,
                message,
                RateGrant,
                RATE_TIMEOUT_S,
            )
        except PeerError:
            # The reach table records the failure; the next member is asked.
            return RateGrant(is_known=False)


def _shortest_wait(refusals: Sequence[RateGrant], name: str) -> RateGrant:
    if not refusals:
        raise QuorumError(f'no member knows the rate of {name}')
    return min(refusals, key=lambda grant: grant.wait_ms)


def _is_final(message: TakeRate, grant: RateGrant, *, is_primary: bool) -> bool:
    """Return whether no other store needs to be asked."""
    is_refused_start = grant.is_known and message.is_start and is_primary
    return grant.is_granted or is_refused_start


def _round_waits_ms(message: TakeRate, *, has_primary: bool) -> tuple[int, ...]:
    """Return the longest wait in milliseconds of each round of calls.

    The standbys hand their unused tokens over to the primary, which is
    therefore asked at once for a place in its queue. Without it, the first
    round asks the others for capacity that is free at once.
    """
    if has_primary or message.wait_max_ms <= RATE_WAIT_SHORT_MS:
        return (message.wait_max_ms,)
    return (RATE_WAIT_SHORT_MS, message.wait_max_ms)
