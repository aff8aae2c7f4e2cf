"""Takes requests of the workspaces' rates from the turn stores."""

from dataclasses import replace

from rattanvalve.errors import PeerError, QuorumError
from rattanvalve.gateway.member_calls import MemberCalls
from rattanvalve.sharedstate.members import StoreMember, group_of
from rattanvalve.turn_messages import RateGrant, TakeRate
from rattanvalve.turnstore.rateshares import RATE_GROUP_LOSSES

__all__ = ('RateClient',)

RATE_TIMEOUT_S = 0.3
#: A wait that is shorter than asking another store.
RATE_WAIT_SHORT_MS = 20


class RateClient:
    """Asks the stores that share a workspace's rate.

    :param calls: calls of the members.
    """

    def __init__(self, calls: MemberCalls) -> None:
        self._calls = calls

    async def take(self, message: TakeRate) -> RateGrant:
        """Take one request of a workspace's rate.

        :param message: workspace, and whether a program begins.
        :returns: whether it is within the rate.
        :raises QuorumError: if no member could tell.
        """
        members = self._calls.members()
        group = group_of(message.workspace, members, RATE_GROUP_LOSSES)
        refusals = []
        # All stores are asked for what they have now, then for a place in
        # the line. The main store goes first, unless it has failed.
        for wait_max_ms in _waits_of(message):
            asked = replace(message, wait_max_ms=wait_max_ms)
            for member in self._calls.reach.failed_last(group):
                grant = await self._ask_rate(member, asked)
                if grant.is_granted:
                    return grant
                if grant.is_known:
                    refusals.append(grant)
        if not refusals:
            raise QuorumError(
                f'no member knows the rate of {message.workspace}'
            )
        return min(refusals, key=lambda grant: grant.wait_ms)

    async def _ask_rate(
        self,
        member: StoreMember,
        message: TakeRate,
    ) -> RateGrant:
        try:
            return await self._calls.call(
                member,
                message,
                RateGrant,
                RATE_TIMEOUT_S,
            )
        except PeerError:
            # Noted in the reach table; the next member is asked.
            return RateGrant(is_known=False)


def _waits_of(message: TakeRate) -> tuple[int, ...]:
    """Tell how long each round of asking lets a request wait."""
    if message.wait_max_ms <= RATE_WAIT_SHORT_MS:
        return (message.wait_max_ms,)
    return (RATE_WAIT_SHORT_MS, message.wait_max_ms)
