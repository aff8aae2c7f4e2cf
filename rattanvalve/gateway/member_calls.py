"""Calls to members of the turn store, direct or relayed by a gateway."""

import asyncio
import time
from typing import Any

from rattanvalve.channels import Address
from rattanvalve.counters import Counter
from rattanvalve.errors import PeerError
from rattanvalve.gateway.relays import RelayTable
from rattanvalve.messages import Ack, Document, Pull
from rattanvalve.peers import PeerPool
from rattanvalve.sharedstate.member_sync import sync_member_list
from rattanvalve.sharedstate.members import (
    MembersView,
    StoreMember,
    quorum_size,
)
from rattanvalve.sharedstate.reachability import ReachTable
from rattanvalve.sharedstate.shared_state import SharedState

__all__ = ('MemberCalls',)

#: Answers to the messages of an exchange of documents.
_SYNC_ANSWERS = {Pull: Document, Document: Ack}


class MemberCalls:
    """Calls members and records which of them are reachable.

    :param pool: connections to peers.
    :param state: documents of this process, with the list of members.
    :param lost_disks_max: number of disks that may be lost at once.
    :param reach: reachability of each member.
    :param own_address: address at which this gateway receives frames.
    """

    def __init__(
        self,
        pool: PeerPool,
        state: SharedState,
        lost_disks_max: int,
        reach: ReachTable,
        own_address: Address,
    ) -> None:
        self.members = state.known_members
        self.lost_disks_max = lost_disks_max
        self.reach = reach
        self.relays = RelayTable(
            own_address, pool, self.members, self.reaches_stores
        )
        self._pool = pool
        self._state = state
        #: Exchanges of the list that are under way, by member.
        self._syncs: dict[str, asyncio.Task] = {}

    def view(self) -> MembersView:
        """Return the list of members that this gateway has.

        :returns: the list; empty before the first one.
        """
        return self._state.view

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

    async def sync_members(self, member: StoreMember) -> None:
        """Exchange the list with a member that has another one.

        Calls that meet the same member share one exchange.

        :param member: the member.
        """
        self._state.metrics.count(Counter.RETRY_STALE_EPOCH)
        sync = self._syncs.get(member.name)
        if sync is None:
            sync = asyncio.create_task(self._sync(member))
            self._syncs[member.name] = sync
            sync.add_done_callback(lambda _: self._syncs.pop(member.name))
        await asyncio.shield(sync)

    async def _sync(self, member: StoreMember) -> None:
        async def call(message: Any, timeout_s: float) -> Any:
            return await self.call(
                member, message, _SYNC_ANSWERS[type(message)], timeout_s
            )

        await sync_member_list(call, self._state, member)

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
