"""Calls to members of the turn store, direct or relayed by a gateway."""

import time
from collections.abc import Callable, Sequence
from typing import Any

from rattanvalve.channels import Address
from rattanvalve.errors import PeerError
from rattanvalve.gateway.relays import RelayTable
from rattanvalve.peers import PeerPool
from rattanvalve.sharedstate.members import StoreMember, quorum_size
from rattanvalve.sharedstate.reachability import ReachTable

__all__ = ('MemberCalls',)


class MemberCalls:
    """Calls members and records which of them are reachable.

    :param pool: connections to peers.
    :param members: returns all members.
    :param lost_disks_max: number of disks that may be lost at once.
    :param reach: reachability of each member.
    :param own_address: address at which this gateway receives frames.
    """

    def __init__(
        self,
        pool: PeerPool,
        members: Callable[[], Sequence[StoreMember]],
        lost_disks_max: int,
        reach: ReachTable,
        own_address: Address,
    ) -> None:
        self.members = members
        self.lost_disks_max = lost_disks_max
        self.reach = reach
        self.relays = RelayTable(
            own_address, pool, members, self.reaches_stores
        )
        self._pool = pool

    def is_cut_off(self) -> bool:
        """Return whether the turn store is unreachable, also through relays.

        :returns: whether too few members are reachable to serve programs.
        """
        is_reached = self.reaches_stores()
        return not (
            is_reached or self.relays.has_usable_relay(time.monotonic())
        )

    def reaches_stores(self) -> bool:
        """Return whether a majority of members is reachable without a relay.

        :returns: ``False`` also if there are fewer members than a quorum.
        """
        # A leaving member accepts no records and may have stopped already.
        members = [member for member in self.members() if not member.is_leaving]
        is_enough = len(members) >= quorum_size(self.lost_disks_max)
        now_s = time.monotonic()
        return is_enough and self.reach.has_majority(members, now_s)

    async def call(
        self,
        member: StoreMember,
        message: Any,
        answer_class: type,
        timeout_s: float,
    ) -> Any:
        """Call a member, through a relay if it is unreachable.

        :param member: member to call.
        :param message: request to send.
        :param answer_class: expected class of the answer.
        :param timeout_s: timeout of the whole call in seconds.
        :returns: the answer.
        :raises PeerError: if the call fails or the answer has another class.
        """
        if self.is_relayed(member):
            answer = await self.relays.call(
                member.address,
                message,
                timeout_s,
            )
        else:
            answer = await self._call_direct(member, message, timeout_s)
        if not isinstance(answer, answer_class):
            raise PeerError(f'unexpected answer {type(answer).__name__}')
        return answer

    def is_relayed(self, member: StoreMember) -> bool:
        """Return whether calls of a member go through another gateway.

        :param member: the member.
        :returns: whether it is unreachable and a relay is usable.
        """
        return (
            self.reach.has_failed(member.address)
            and not self.reaches_stores()
            and self.relays.has_usable_relay(time.monotonic())
        )

    async def _call_direct(
        self,
        member: StoreMember,
        message: Any,
        timeout_s: float,
    ) -> Any:
        try:
            answer = await self._pool.call(member.address, message, timeout_s)
        except PeerError:
            self.reach.record_failure(member.address, time.monotonic())
            raise
        self.reach.record_answer(member.address, time.monotonic())
        return answer
