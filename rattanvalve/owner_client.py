"""Requests to the owner of a workspace shard, here or at another entry."""

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Protocol

from rattanvalve.blackboard import Blackboard
from rattanvalve.channels import Address
from rattanvalve.counters import Counter, Metrics
from rattanvalve.errors import PeerError
from rattanvalve.messages import (
    Begin,
    Member,
    Outcome,
    Refusal,
    Resolve,
    Ticket,
    View,
)
from rattanvalve.peers import PeerPool
from rattanvalve.resultcodes import ResultCode

__all__ = ('LocalOwner', 'OwnerClient', 'OwnerDecision')

#: Longest time that a request waits for a new owner.
OWNER_WAIT_MAX_S = 15.0
#: A view may change unnoticed between two looks, and a broken connection
#: needs no new view, so the wait for a view is repeated.
RETRY_PAUSE_S = 0.25

OwnerDecision = Ticket | Outcome | Refusal
FindOwner = Callable[[View, str, int], Member | None]

_REPEATED_CODES = frozenset((ResultCode.NOT_OWNER, ResultCode.STALE_EPOCH))


class LocalOwner(Protocol):
    """The owner role of the same process."""

    async def begin(self, begin: Begin) -> OwnerDecision:
        """Admit a request.

        :param begin: the request.
        :returns: decision of the owner.
        """

    async def resolve(self, resolve: Resolve) -> OwnerDecision:
        """Decide what to do after a broken run.

        :param resolve: what broke.
        :returns: decision of the owner.
        """


@dataclass(slots=True, kw_only=True)
class OwnerClient:
    """Finds owners and repeats requests while ownership moves.

    :param own_name: name of this entry process.
    :param blackboard: state of the process.
    :param local: owner role of this process.
    :param pool: connections to other entries.
    :param metrics: counters.
    :param find_owner: gives the entry that owns a shard in a view.
    """

    own_name: str
    blackboard: Blackboard
    local: LocalOwner
    pool: PeerPool
    metrics: Metrics
    find_owner: FindOwner
    wait_max_s: float = OWNER_WAIT_MAX_S
    retry_pause_s: float = RETRY_PAUSE_S

    async def ask(
        self,
        message: Begin | Resolve,
        deadline_s: float,
    ) -> OwnerDecision:
        """Ask the owner, and its successors if ownership moves.

        The same message is repeated with its request id, so that an owner
        that has already decided gives the same decision again.

        :param message: request to the owner; its epoch and time limit are set
            here.
        :param deadline_s: time of ``time.monotonic()`` to give up at.
        :returns: decision of an owner, or ``OWNER_UNAVAILABLE``.
        """
        give_up_s = deadline_s
        while True:
            view = self.blackboard.view
            decision = await self._ask_once(message, view, deadline_s)
            if decision is not None and not _is_repeated(decision):
                return decision
            now_s = time.monotonic()
            give_up_s = min(give_up_s, now_s + self.wait_max_s)
            if now_s >= give_up_s:
                return Refusal(code=ResultCode.OWNER_UNAVAILABLE)
            self._count_repeat(decision)
            await self._wait_newer(view, give_up_s - now_s)

    async def _ask_once(
        self,
        message: Begin | Resolve,
        view: View,
        deadline_s: float,
    ) -> OwnerDecision | None:
        """Ask the owner by one view; ``None`` stands for no answer."""
        owner = self.find_owner(view, message.workspace, message.shard)
        left_s = deadline_s - time.monotonic()
        if owner is None or left_s <= 0:
            return None
        message = replace(message, epoch=view.epoch)
        if isinstance(message, Begin):
            message = replace(message, timeout_ms=int(left_s * 1000))
        return await self._ask_while_owner(message, owner, left_s)

    async def _ask_while_owner(
        self,
        message: Begin | Resolve,
        owner: Member,
        left_s: float,
    ) -> OwnerDecision | None:
        """Ask an owner until it answers or stops being the owner."""
        ask = self._ask_peer
        if owner.name == self.own_name:
            ask = self._ask_local
        call = asyncio.ensure_future(ask(message, owner, left_s))
        moved = asyncio.ensure_future(self._wait_moved(message, owner))
        try:
            await asyncio.wait(
                (call, moved),
                return_when=asyncio.FIRST_COMPLETED,
            )
            return call.result() if call.done() else None
        except (PeerError, TimeoutError):
            return None
        finally:
            call.cancel()
            moved.cancel()

    async def _ask_local(
        self,
        message: Begin | Resolve,
        owner: Member,
        left_s: float,
    ) -> OwnerDecision:
        is_begin = isinstance(message, Begin)
        ask = self.local.begin if is_begin else self.local.resolve
        async with asyncio.timeout(left_s):
            return await ask(message)

    async def _ask_peer(
        self,
        message: Begin | Resolve,
        owner: Member,
        left_s: float,
    ) -> OwnerDecision:
        address = Address(owner.host, owner.port)
        return await self.pool.call(address, message, left_s)

    async def _wait_moved(
        self,
        message: Begin | Resolve,
        owner: Member,
    ) -> None:
        """Wait until the view names another owner.

        A VM that was lost closes no connection, so the end of the call alone
        would be noticed only at the deadline.
        """
        workspace, shard = message.workspace, message.shard
        find_owner = self.find_owner
        while find_owner(self.blackboard.view, workspace, shard) == owner:
            await self.blackboard.wait_changed()

    async def _wait_newer(self, view: View, left_s: float) -> None:
        """Wait for a newer view, but only a short time."""
        if self.blackboard.view.epoch > view.epoch:
            return
        try:
            async with asyncio.timeout(min(left_s, self.retry_pause_s)):
                await self.blackboard.wait_changed()
        except TimeoutError:
            return

    def _count_repeat(self, decision: OwnerDecision | None) -> None:
        is_stale = (
            isinstance(decision, Refusal)
            and decision.code == ResultCode.STALE_EPOCH
        )
        self.metrics.count(
            Counter.RETRY_STALE_EPOCH
            if is_stale
            else Counter.RETRY_OWNER_CHANGED,
        )


def _is_repeated(decision: OwnerDecision) -> bool:
    return isinstance(decision, Refusal) and decision.code in _REPEATED_CODES
