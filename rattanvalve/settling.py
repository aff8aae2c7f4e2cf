"""Settling of running tickets with their endpoint processes."""

from rattanvalve import outcomes
from rattanvalve.errors import PeerError
from rattanvalve.idempotency import Attempt
from rattanvalve.messages import Finish, Settle, Settled
from rattanvalve.ownerports import OwnerPorts
from rattanvalve.ownership import Owner
from rattanvalve.peers import Address
from rattanvalve.takeover import Takeover

__all__ = ('Settler',)

SETTLE_TIMEOUT_S = 3.0
SETTLE_TRIES = 2


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
        for _ in range(SETTLE_TRIES):
            try:
                answer = await self._ports.pool.call(
                    Address(ticket.host, ticket.port),
                    settle,
                    SETTLE_TIMEOUT_S,
                )
            except PeerError:
                continue
            if not isinstance(answer, Settled):
                return outcomes.UNKNOWN
            if answer.outcome == outcomes.ANSWERED:
                self.finish(attempt, answer)
            return answer.outcome
        return outcomes.UNKNOWN

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
