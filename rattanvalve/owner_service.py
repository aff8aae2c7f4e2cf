"""Handlers of messages to the owner."""

import asyncio
from collections.abc import Awaitable, Callable
from functools import partial
from typing import Any

import msgspec

from rattanvalve import outcomes
from rattanvalve.beginqueue import OWNER_WAIT_MAX_S, BeginQueue
from rattanvalve.cache_releases import CacheReleases
from rattanvalve.channels import Handler, Send
from rattanvalve.explanations import describe
from rattanvalve.handover import Handovers
from rattanvalve.idempotency import Attempt, outcome_of
from rattanvalve.messages import (
    Ack,
    Begin,
    Document,
    Explain,
    Finish,
    Handover,
    Outcome,
    Refusal,
    Resolve,
    Settled,
    Ticket,
    View,
)
from rattanvalve.ownerports import OwnerPorts
from rattanvalve.ownership import Owner
from rattanvalve.settling import Settler
from rattanvalve.takeover import Takeover

__all__ = ('OwnerService',)

_Action = Callable[[Any], Awaitable[Any]]


class OwnerService:
    """Serves requests for the shards that this process owns.

    :param owner: owner role of this process.
    :param ports: collaborators.
    """

    def __init__(self, owner: Owner, ports: OwnerPorts) -> None:
        self.takeover = Takeover(owner, ports)
        self._owner = owner
        self._ports = ports
        self._releases = CacheReleases(owner, ports)
        self._settler = Settler(owner, ports, self.takeover)
        self._handovers = Handovers(owner, ports, self.takeover)
        self._queue = BeginQueue(owner, ports, self.takeover, self._settler)

    def handlers(self) -> dict[type, Handler]:
        """List the handlers for the peer server.

        :returns: handler of each message class.
        """
        return {
            Begin: partial(_answer, self.begin),
            Finish: partial(_answer, self.finish),
            Resolve: partial(_answer, self.resolve),
            Handover: partial(_answer, self.receive_handover),
            Explain: partial(_answer, self.explain),
        }

    async def on_view_changed(self, old_view: View, new_view: View) -> None:
        """Hand over the shards that left and take over those that came.

        :param old_view: view before the change; epoch 0 at the start.
        :param new_view: view after the change.
        """
        # hand_over exports before it first waits, hence before take_over
        # forgets the shards of other owners.
        await asyncio.gather(
            self.hand_over(new_view),
            self.take_over(old_view, new_view),
        )

    async def take_over(self, old_view: View, new_view: View) -> None:
        """Seal endpoints, rebuild the shards that moved here and serve them.

        :param old_view: view before the change; epoch 0 at the start.
        :param new_view: view after the change.
        """
        await self.takeover.take_over(old_view, new_view)

    async def hand_over(self, new_view: View) -> None:
        """Send the state of shards to their owners under a new view.

        :param new_view: view after the change.
        """
        await self._handovers.hand_over(new_view)

    async def reseal(self) -> None:
        """Try again to seal endpoints that a takeover missed.

        The process calls this every few seconds.
        """
        await self.takeover.reseal()

    async def begin(self, begin: Begin) -> Ticket | Refusal | Outcome:
        """Admit a request once its shard is served and its program is idle.

        :param begin: request.
        :returns: ticket, place of an earlier record, or refusal ("not run").
        """
        answer = await self._queue.begin(begin)
        self._releases.send((begin.workspace, begin.shard))
        if isinstance(answer, Refusal):
            self._owner.metrics.count_code(answer.code)
        elif isinstance(answer, Ticket):
            self._ports.started(answer.endpoint)
        return answer

    async def resolve(self, resolve: Resolve) -> Ticket | Outcome | Refusal:
        """Settle a broken run with its endpoint and decide what follows.

        :param resolve: request of the ingress.
        :returns: new ticket of the same turn, the outcome, or a refusal.
        """
        name = (resolve.workspace, resolve.shard)
        refusal = await self.takeover.wait_serving(name, OWNER_WAIT_MAX_S)
        if refusal is not None:
            return refusal
        if resolve.reason == outcomes.LOOKUP_REASON:
            return self._owner.look_up(resolve)
        if resolve.reason == outcomes.LEFT_REASON:
            return await self._settle_left(resolve)
        attempt = self._owner.attempt_of(*name, resolve.number)
        settled = outcomes.UNKNOWN
        if attempt is not None and attempt.ticket.number == resolve.number:
            settled = await self._settle(attempt, resolve)
        answer = self._owner.resolve(
            resolve,
            settled,
            self._queue.context(name, wait_left_s=0),
            self._ports.clock(),
        )
        self._releases.send(name)
        if settled != outcomes.RUNNING:
            self._end(attempt, settled, resolve.reason)
        if isinstance(answer, Ticket):
            self._ports.started(answer.endpoint)
        else:
            self._queue.wake(attempt)
        return answer

    async def finish(self, finish: Finish) -> Ack | Refusal:
        """Note the end of a ticket.

        :param finish: report of an endpoint process.
        :returns: acknowledgement; ``NOT_OWNER`` asks for the report to be
            sent to the owner.
        """
        name = (finish.workspace, finish.shard)
        refusal = await self.takeover.wait_serving(name, OWNER_WAIT_MAX_S)
        if refusal is not None:
            return refusal
        attempt = self._owner.attempt_of(*name, finish.number)
        if self._owner.finish(finish, self._ports.clock()):
            self._end(attempt, finish.outcome)
            self._releases.send(name)
        self._queue.wake(attempt)
        return Ack(epoch=self.takeover.view().epoch)

    async def receive_handover(self, handover: Handover) -> Ack | Refusal:
        """Import a shard from its earlier owner.

        :param handover: the shard, or a part of it.
        :returns: acknowledgement, or refusal of an outdated epoch.
        """
        return self._handovers.receive(handover)

    async def explain(self, explain: Explain) -> Document:
        """Describe a program or a request for operators.

        :param explain: which program or request.
        :returns: JSON document.
        """
        found = describe(self._owner.table, explain)
        return Document(
            kind='explain',
            version=self.takeover.view().epoch,
            body=msgspec.json.encode(found),
        )

    async def _settle_left(self, resolve: Resolve) -> Outcome:
        """End the ticket of a caller that left before its run began."""
        attempt = self._owner.attempt_of_request(resolve)
        if attempt is None:
            return Outcome(outcome=outcomes.NOT_RUN)
        settled = await self._settler.settle(attempt)
        if settled == outcomes.NOT_RUN:
            self._settler.finish(attempt, Settled(outcome=settled))
            self._end(attempt, settled)
            self._queue.wake(attempt)
        return outcome_of(attempt)

    async def _settle(self, attempt: Attempt, resolve: Resolve) -> str:
        """Find the outcome of the newest ticket of an attempt."""
        if resolve.reason == outcomes.NOT_SENT_REASON:
            # Only the ingress that asks has the ticket.
            return outcomes.NOT_RUN
        return await self._settler.settle(attempt)

    def _end(
        self,
        attempt: Attempt | None,
        outcome: str,
        reason: str = '',
    ) -> None:
        """Report the end of a ticket to the loads of the endpoints."""
        if attempt is not None:
            is_failure = (
                outcome == outcomes.UNKNOWN
                or reason == outcomes.NOT_SENT_REASON
            )
            self._ports.ended(attempt.ticket.endpoint, is_failure)


async def _answer(action: _Action, message: Any, send: Send) -> None:
    await send(await action(message))
