"""Settling of running tickets with their endpoint processes."""

from dataclasses import replace
from typing import Any

from rattanvalve import outcomes
from rattanvalve.channels import Address
from rattanvalve.errors import PeerError
from rattanvalve.idempotency import Attempt
from rattanvalve.messages import Finish, Settle, Settled
from rattanvalve.ownerports import OwnerPorts
from rattanvalve.ownership import Owner
from rattanvalve.takeover import Takeover

__all__ = ('Settler',)

SETTLE_TIMEOUT_S = 3.0
#: A network that fails for a few seconds must not leave a caller without the
#: outcome. No new try begins after this time.
SETTLE_LIMIT_S = 5.0
SETTLE_PAUSE_S = 0.5


class Settler:
    """Asks endpoint processes for the outcome of tickets.

    :param owner: owner role of this process.
    :param ports: collaborators.
    :param takeover: knows the newest view.
    """

    def __init__(
        self,
        owner: Owner,
        ports: OwnerPorts,
        takeover: Takeover,
    ) -> None:
        self._owner = owner
        self._ports = ports
        self._takeover = takeover

    async def settle(self, attempt: Attempt) -> str:
        """Find the outcome of an attempt; an answered one is charged.

        :param attempt: attempt whose newest ticket is in question.
        :returns: outcome name; unknown if the endpoint process was replaced
            or does not answer.
        """
        if attempt.outcome != outcomes.RUNNING:
            return attempt.outcome
        ticket = attempt.ticket
        view = self._takeover.view()
        member = self._ports.lookups.member_of(view, ticket.endpoint)
        if member and member.incarnation != ticket.endpoint_incarnation:
            return outcomes.UNKNOWN
        settle = Settle(
            number=ticket.number,
            epoch=view.epoch,
            endpoint_incarnation=ticket.endpoint_incarnation,
        )
        answer = await self._ask(Address(ticket.host, ticket.port), settle)
        if not isinstance(answer, Settled):
            return outcomes.UNKNOWN
        if answer.outcome == outcomes.ANSWERED:
            self.finish(attempt, answer)
        return answer.outcome

    def finish(self, attempt: Attempt, settled: Settled) -> None:
        """Note the outcome that an endpoint process stated.

        :param attempt: attempt.
        :param settled: answer of the endpoint process.
        """
        ticket = attempt.ticket
        self._owner.finish(
            Finish(
                number=ticket.number,
                workspace=ticket.workspace,
                shard=ticket.shard,
                outcome=settled.outcome,
                usage=settled.usage,
            ),
            self._ports.clock(),
        )

    async def _ask(self, address: Address, settle: Settle) -> Any:
        give_up_s = self._ports.clock() + SETTLE_LIMIT_S
        while True:
            epoch = self._takeover.view().epoch
            try:
                answer = await self._ports.pool.call(
                    address,
                    replace(settle, epoch=epoch),
                    SETTLE_TIMEOUT_S,
                )
            except PeerError:
                answer = None
            # A refusal says that this process does not know the newest view
            # yet; it tells nothing about the run.
            is_final = isinstance(answer, Settled)
            if is_final or self._ports.clock() >= give_up_s:
                return answer
            await self._ports.sleep(SETTLE_PAUSE_S)
