"""Finds the outcome of an earlier request by its idempotency key."""

from dataclasses import dataclass
from typing import Any

from result import Err, Ok, Result

from rattanvalve import outcomes
from rattanvalve.errors import PeerError
from rattanvalve.messages import Begin, Outcome, Refusal, Resolve
from rattanvalve.owner_client import OwnerClient
from rattanvalve.response_copies import ResponseCopies
from rattanvalve.resultcodes import ResultCode

__all__ = ('OutcomeLookup',)


@dataclass(slots=True)
class OutcomeLookup:
    """Looks outcomes up at owners and endpoint processes.

    :param owner_client: finds and asks owners.
    :param copies: finds records and their copies.
    """

    owner_client: OwnerClient
    copies: ResponseCopies

    async def find(
        self,
        begin: Begin,
        deadline_s: float,
    ) -> Result[dict[str, Any], Refusal]:
        """Find an outcome.

        :param begin: workspace, shard, program and idempotency key.
        :param deadline_s: time of ``time.monotonic()`` to give up at.
        :returns: document for the caller, or a refusal.
        """
        decision = await self.owner_client.ask(
            Resolve(
                request_id=begin.idempotency_key,
                workspace=begin.workspace,
                shard=begin.shard,
                program_id=begin.program_id,
                reason=outcomes.LOOKUP_REASON,
            ),
            deadline_s,
        )
        if isinstance(decision, Refusal):
            return Err(decision)
        if not isinstance(decision, Outcome):
            return Err(Refusal(code=ResultCode.UNKNOWN_OUTCOME_KEY))
        found = {
            'object': 'rattanvalve.outcome',
            'idempotency_key': begin.idempotency_key,
            'program_id': decision.program_id,
            'outcome': decision.outcome,
        }
        if decision.outcome == outcomes.ANSWERED:
            found.update(await self._response_of(decision, deadline_s))
        return Ok(found)

    async def _response_of(
        self,
        outcome: Outcome,
        deadline_s: float,
    ) -> dict[str, Any]:
        """Fetch the recorded response, if it still exists."""
        try:
            settled = await self.copies.fetch(outcome, deadline_s)
        except PeerError:
            return {}
        if settled.outcome != outcomes.ANSWERED:
            return {}
        return {
            'http_status': settled.http_status,
            'body': settled.body.decode(errors='replace'),
        }
