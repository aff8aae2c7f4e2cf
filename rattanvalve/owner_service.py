"""Handlers of the peer messages that are addressed to a shard owner."""

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
    """Handles peer messages for the shards that this process owns.

    :param owner: owner role of this process.
    :param ports: functions and objects of the rest of the process.
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
        """Return the handlers to register with the peer server.

        :returns: handler by message class.
        """
        return {
            Begin: partial(_reply, self.begin),
            Finish: partial(_reply, self.finish),
            Resolve: partial(_reply, self.resolve),
            Handover: partial(_reply, self.receive_handover),
            Explain: partial(_reply, self.explain),
        }

    async def on_view_changed(self, old_view: View, new_view: View) -> None:
        """Hand over the shards that moved away and take over the new ones.

        :param old_view: view before the change; epoch 0 at the start.
        :param new_view: view after the change.
        """
        # hand_over runs first and exports the shards before its first await,
        # since take_over removes the shards of other owners.
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
        """Send the state of moved shards to their owners in a new view.

        :param new_view: view after the change.
        """
        await self._handovers.hand_over(new_view)

    async def reseal(self) -> None:
        """Retry to seal the endpoints that a takeover could not seal.

        The process calls this every few seconds.
        """
        await self.takeover.reseal()

    async def begin(self, begin: Begin) -> Ticket | Refusal | Outcome:
        """Admit a request once its shard is served and its program is idle.

        :param begin: request.
        :returns: ticket, location of an earlier record, or a refusal, which
            states that the request was not run.
        """
        answer = await self._queue.begin(begin)
        self._releases.send((begin.workspace, begin.shard))
        if isinstance(answer, Refusal):
            self._owner.metrics.count_code(answer.code)
        elif isinstance(answer, Ticket):
            self._ports.started(answer.endpoint)
        return answer

    async def resolve(self, resolve: Resolve) -> Ticket | Outcome | Refusal:
        """Settle a broken run with its endpoint and decide about a retry.

        :param resolve: request of the ingress; its reason may also ask for the
            outcome of an idempotency key or report a disconnected caller.
        :returns: new ticket of the same turn, the outcome, or a refusal.
        """
        name = (resolve.workspace, resolve.shard)
        # A ticket of an older view than the sender's would be refused again.
        refusal = await self.takeover.wait_serving(
            name, OWNER_WAIT_MAX_S, resolve.epoch
        )
        if refusal is not None:
            return refusal
        if resolve.reason == outcomes.LOOKUP_REASON:
            return self._owner.find_outcome(resolve)
        if resolve.reason == outcomes.LEFT_REASON:
            return await self._settle_disconnected(resolve)
        attempt = self._owner.find_attempt(*name, resolve.number)
        settled = outcomes.UNKNOWN
        if attempt is not None and attempt.ticket.number == resolve.number:
            settled = await self._settle(attempt, resolve)
        answer = self._owner.resolve(
            resolve,
            settled,
            self._queue.context(name, remaining_wait_s=0),
            self._ports.clock(),
        )
        self._releases.send(name)
        if settled != outcomes.RUNNING:
            self._report_end(attempt, settled, resolve.reason)
        if isinstance(answer, Ticket):
            self._ports.started(answer.endpoint)
        else:
            self._queue.wake(attempt)
        return answer

    async def finish(self, finish: Finish) -> Ack | Refusal:
        """Record the end of a ticket.

        :param finish: report of an endpoint process.
        :returns: acknowledgement, or a refusal; after ``NOT_OWNER`` the
            endpoint process sends the report to the owner.
        """
        name = (finish.workspace, finish.shard)
        refusal = await self.takeover.wait_serving(name, OWNER_WAIT_MAX_S)
        if refusal is not None:
            return refusal
        attempt = self._owner.find_attempt(*name, finish.number)
        if self._owner.finish(finish, self._ports.clock()):
            self._report_end(attempt, finish.outcome)
            self._releases.send(name)
        self._queue.wake(attempt)
        return Ack(epoch=self.takeover.view().epoch)

    async def receive_handover(self, handover: Handover) -> Ack | Refusal:
        """Import a shard from its previous owner.

        :param handover: the shard, or a part of it.
        :returns: acknowledgement, or refusal of a stale epoch.
        """
        return self._handovers.receive(handover)

    async def explain(self, explain: Explain) -> Document:
        """Describe a program or a request for operators.

        :param explain: selects the program or the request.
        :returns: JSON document.
        """
        found = describe(self._owner.table, explain)
        return Document(
            kind='explain',
            version=self.takeover.view().epoch,
            body=msgspec.json.encode(found),
        )

    async def _settle_disconnected(self, resolve: Resolve) -> Outcome:
        """End the ticket of a caller that disconnected before the run began."""
        attempt = self._owner.find_attempt_of_request(resolve)
        if attempt is None:
            return Outcome(outcome=outcomes.NOT_RUN)
        settled = await self._settler.settle(attempt)
        if settled == outcomes.NOT_RUN:
            self._settler.finish(attempt, Settled(outcome=settled))
            self._report_end(attempt, settled)
            self._queue.wake(attempt)
        return outcome_of(attempt)

    async def _settle(self, attempt: Attempt, resolve: Resolve) -> str:
        """Return the outcome of the newest ticket of an attempt."""
        if resolve.reason == outcomes.NOT_SENT_REASON:
            # The ticket was issued to this ingress only, and it was not sent.
            return outcomes.NOT_RUN
        return await self._settler.settle(attempt)

    def _report_end(
        self,
        attempt: Attempt | None,
        outcome: str,
        reason: str = '',
    ) -> None:
        """Report the end of a ticket to the load tracking of endpoints."""
        if attempt is not None:
            is_failure = (
                outcome == outcomes.UNKNOWN
                or reason == outcomes.NOT_SENT_REASON
            )
            self._ports.ended(attempt.ticket.endpoint, is_failure)


async def _reply(action: _Action, message: Any, send: Send) -> None:
    await send(await action(message))
