"""Client for the owner of a workspace shard, local or at another entry."""

import asyncio
import time
from collections.abc import Callable
from contextlib import suppress
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

#: Longest time that a request waits for a new owner, in seconds.
OWNER_WAIT_MAX_S = 15.0
#: Longest pause before a retry, in seconds. It bounds the wait for a newer
#: view, since a view may change between the check and the wait, and since a
#: broken connection can recover without a new view.
RETRY_PAUSE_S = 0.25

OwnerDecision = Ticket | Outcome | Refusal
FindOwner = Callable[[View, str, int], Member | None]

_RETRYABLE_CODES = frozenset((ResultCode.NOT_OWNER, ResultCode.STALE_EPOCH))


class LocalOwner(Protocol):
    """Owner role of the same process."""

    async def begin(self, begin: Begin) -> OwnerDecision:
        """Admit a request.

        :param begin: the request.
        :returns: decision of the owner.
        """

    async def resolve(self, resolve: Resolve) -> OwnerDecision:
        """Decide about a retry after the connection of a run broke.

        :param resolve: ticket of the run and the reason.
        :returns: decision of the owner.
        """


@dataclass(slots=True, kw_only=True)
class OwnerClient:
    """Sends requests to the current owner and retries when it changes.

    :param own_name: name of this entry process.
    :param blackboard: shared state of the process, with the current view.
    :param local: owner role of this process.
    :param pool: connections to other entries.
    :param metrics: counters.
    :param find_owner: function that returns the owner of a shard in a view,
        or ``None`` if there is none.
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
        """Send a request to the owner and retry when the owner changes.

        A retry keeps the request id, which makes it idempotent: an owner that
        has already decided returns the same decision.

        :param message: request to the owner; the epoch is set here, and the
            timeout of a ``Begin`` as well.
        :param deadline_s: deadline on the clock of ``time.monotonic()``.
        :returns: decision of an owner, or ``OWNER_UNAVAILABLE``.
        """
        give_up_s = deadline_s
        while True:
            view = self.blackboard.view
            decision = await self._ask_once(message, view, deadline_s)
            if decision is not None and not _is_retryable(decision):
                return decision
            now_s = time.monotonic()
            give_up_s = min(give_up_s, now_s + self.wait_max_s)
            if now_s >= give_up_s:
                return Refusal(code=ResultCode.OWNER_UNAVAILABLE)
            self._count_retry(decision)
            await self._wait_newer_view(view, give_up_s - now_s)

    async def wait_epoch(self, epoch: int) -> None:
        """Wait until this process has adopted a view of an epoch.

        A ticket of an older view would be refused again.

        :param epoch: epoch that an endpoint process requires; the wait ends
            after ``wait_max_s`` also without it.
        """
        with suppress(TimeoutError):
            async with asyncio.timeout(self.wait_max_s):
                while self.blackboard.view.epoch < epoch:
                    await self.blackboard.wait_changed()

    async def _ask_once(
        self,
        message: Begin | Resolve,
        view: View,
        deadline_s: float,
    ) -> OwnerDecision | None:
        """Ask the owner under one view; return ``None`` without a decision."""
        owner = self.find_owner(view, message.workspace, message.shard)
        remaining_s = deadline_s - time.monotonic()
        if owner is None or remaining_s <= 0:
            return None
        message = replace(message, epoch=view.epoch)
        if isinstance(message, Begin):
            message = replace(message, timeout_ms=int(remaining_s * 1000))
        return await self._ask_while_owner(message, owner, remaining_s)

    async def _ask_while_owner(
        self,
        message: Begin | Resolve,
        owner: Member,
        remaining_s: float,
    ) -> OwnerDecision | None:
        """Call an owner; ``None`` if the call fails or the owner changes."""
        ask = self._ask_peer
        if owner.name == self.own_name:
            ask = self._ask_local
        call = asyncio.ensure_future(ask(message, owner, remaining_s))
        owner_change = asyncio.ensure_future(
            self._wait_owner_changed(message, owner)
        )
        try:
            await asyncio.wait(
                (call, owner_change),
                return_when=asyncio.FIRST_COMPLETED,
            )
            return call.result() if call.done() else None
        except (PeerError, TimeoutError):
            return None
        finally:
            call.cancel()
            owner_change.cancel()

    async def _ask_local(
        self,
        message: Begin | Resolve,
        owner: Member,
        remaining_s: float,
    ) -> OwnerDecision:
        is_begin = isinstance(message, Begin)
        ask = self.local.begin if is_begin else self.local.resolve
        async with asyncio.timeout(remaining_s):
            return await ask(message)

    async def _ask_peer(
        self,
        message: Begin | Resolve,
        owner: Member,
        remaining_s: float,
    ) -> OwnerDecision:
        address = Address(owner.host, owner.port)
        return await self.pool.call(address, message, remaining_s)

    async def _wait_owner_changed(
        self,
        message: Begin | Resolve,
        owner: Member,
    ) -> None:
        """Wait until the view names another owner.

        A lost VM does not close its connections, so without this check the
        call would end only at the deadline.
        """
        workspace, shard = message.workspace, message.shard
        find_owner = self.find_owner
        while find_owner(self.blackboard.view, workspace, shard) == owner:
            await self.blackboard.wait_changed()

    async def _wait_newer_view(self, view: View, remaining_s: float) -> None:
        """Wait for a newer view, at most ``retry_pause_s``."""
        if self.blackboard.view.epoch > view.epoch:
            return
        try:
            async with asyncio.timeout(min(remaining_s, self.retry_pause_s)):
                await self.blackboard.wait_changed()
        except TimeoutError:
            return

    def _count_retry(self, decision: OwnerDecision | None) -> None:
        is_stale = (
            isinstance(decision, Refusal)
            and decision.code == ResultCode.STALE_EPOCH
        )
        self.metrics.count(
            Counter.RETRY_STALE_EPOCH
            if is_stale
            else Counter.RETRY_OWNER_CHANGED,
        )


def _is_retryable(decision: OwnerDecision) -> bool:
    return isinstance(decision, Refusal) and decision.code in _RETRYABLE_CODES
