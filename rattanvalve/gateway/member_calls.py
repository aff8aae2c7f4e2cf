"""Calls of the members of the turn store, direct or through a gateway."""

import time
from collections.abc import Callable, Sequence
from typing import Any

from rattanvalve.channels import Address
from rattanvalve.errors import PeerError
from rattanvalve.gateway.relays import RelayTable
from rattanvalve.peers import PeerPool
from rattanvalve.sharedstate.members import StoreMember, quorum_size
from rattanvalve.sharedstate.reach import ReachTable

__all__ = ('MemberCalls',)


class MemberCalls:
    """Calls members and notes which of them answer.

    :param pool: connections to peers.
    :param members: gives all members.
    :param lost_disks_max: disks that may be lost at once.
    :param reach: which members answer.
    :param own: address at which this gateway takes frames.
    """

    def __init__(
        self,
        pool: PeerPool,
        members: Callable[[], Sequence[StoreMember]],
        lost_disks_max: int,
        reach: ReachTable,
        own: Address,
    ) -> None:
        self.members = members
        self.lost_disks_max = lost_disks_max
        self.reach = reach
        self.relays = RelayTable(own, pool, members, self.reaches_stores)
        self._pool = pool

    def is_cut_off(self) -> bool:
        """Return whether too few members answer to serve any program.

        :returns: whether calls would fail.
        """
        is_reached = self.reaches_stores()
        return not (is_reached or self.relays.is_usable(time.monotonic()))

    def reaches_stores(self) -> bool:
        """Return whether enough members answer without another gateway.

        :returns: whether most of them do.
        """
        # A leaving member takes no records and may be gone already.
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
        """Call a member.

        :param member: whom to call.
        :param message: what to send.
        :param answer_class: class of a good answer.
        :param timeout_s: seconds for the whole call.
        :returns: the answer.
        :raises PeerError: if there is none, or one of another class.
        """
        if self._needs_relay(member):
            answer = await self.relays.call(
                member.address,
                message,
                timeout_s,
            )
        else:
            answer = await self._call_direct(member, message, timeout_s)
        if not isinstance(answer, answer_class):
            raise PeerError(f'unexpected {type(answer).__name__}')
        return answer

    def _needs_relay(self, member: StoreMember) -> bool:
        return (
            self.reach.has_failed(member.address)
            and not self.reaches_stores()
            and self.relays.is_usable(time.monotonic())
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
            self.reach.note_failure(member.address, time.monotonic())
            raise
        self.reach.note_answer(member.address, time.monotonic())
        return answer
