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
    """Looks up outcomes at owners and responses at endpoint processes.

    :param owner_client: sends requests to the owner of a shard.
    :param copies: fetches records or their copies.
    """

    owner_client: OwnerClient
    copies: ResponseCopies

    async def find(
        self,
        begin: Begin,
        deadline_s: float,
    ) -> Result[dict[str, Any], Refusal]:
        """Find the outcome of the request with an idempotency key.

        :param begin: workspace, shard, program and idempotency key.
        :param deadline_s: deadline on the clock of ``time.monotonic()``.
        :returns: JSON document for the caller, or a refusal.
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
        document = {
            'object': 'rattanvalve.outcome',
            'idempotency_key': begin.idempotency_key,
            'program_id': decision.program_id,
            'outcome': decision.outcome,
        }
        if decision.outcome == outcomes.ANSWERED:
            document.update(await self._recorded_response(decision, deadline_s))
        return Ok(document)

    async def _recorded_response(
        self,
        outcome: Outcome,
        deadline_s: float,
    ) -> dict[str, Any]:
        """Return status and body of the record; empty if it is lost."""
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
