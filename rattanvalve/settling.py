"""Settlement of running tickets with their endpoint processes."""

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

#: Timeout of one attempt, in seconds.
SETTLE_TIMEOUT_S = 3.0
#: Retries stop after this time, in seconds. It covers a network failure of a
#: few seconds, after which the caller still gets the outcome.
SETTLE_LIMIT_S = 5.0
#: Pause between attempts, in seconds.
SETTLE_PAUSE_S = 0.5


class Settler:
    """Queries endpoint processes for the outcome of tickets.

    :param owner: owner role of this process.
    :param ports: functions and objects of the rest of the process.
    :param takeover: source of the newest view.
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
        """Return the outcome of an attempt, and charge it if it is answered.

        :param attempt: attempt whose newest ticket is settled.
        :returns: outcome name; ``unknown`` if the endpoint process was
            replaced or does not answer.
        """
        if attempt.outcome != outcomes.RUNNING:
            return attempt.outcome
        ticket = attempt.ticket
        view = self._takeover.view()
        member = self._ports.lookups.find_member(view, ticket.endpoint)
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
        """Record the outcome that an endpoint process stated.

        :param attempt: attempt whose newest ticket was settled.
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
        deadline_s = self._ports.clock() + SETTLE_LIMIT_S
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
            # A refusal means that this process does not have the newest view
            # yet. It does not state the outcome, so the query is repeated.
            is_final = isinstance(answer, Settled)
            if is_final or self._ports.clock() >= deadline_s:
                return answer
            await self._ports.sleep(SETTLE_PAUSE_S)
