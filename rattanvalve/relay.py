"""Relays a request from admission to a complete response."""

import asyncio
import time

from rattanvalve import outcomes
from rattanvalve.counters import Counter, Metrics
from rattanvalve.delivery import Delivery
from rattanvalve.disconnects import DisconnectHandler
from rattanvalve.errors import InvariantError, NotSentError, PeerError
from rattanvalve.logs import LogPart, part_logger
from rattanvalve.messages import (
    Outcome,
    Refusal,
    Resolve,
    Run,
    Ticket,
)
from rattanvalve.open_requests import OpenRequest, OpenRequests
from rattanvalve.owner_client import OwnerDecision
from rattanvalve.peers import PeerPool
from rattanvalve.relay_state import (
    Progress,
    RelayRequest,
    check_ticket,
    forward_message,
    running_outcome,
    timeout_refusal,
)
from rattanvalve.responder import CallerDisconnectedError, Responder
from rattanvalve.responses import refusal_outcome
from rattanvalve.resultcodes import ResultCode, result_code_info
from rattanvalve.runs import open_run

__all__ = ('Relay',)

#: Upper bound on the owner decisions applied to one request. It ends the
#: retries at an endpoint that always fails before the deadline of the caller.
MAX_DECISIONS = 6

_log = part_logger(LogPart.RELAY)


class Relay:
    """Data path of the ingress.

    :param disconnect_handler: cleans up after callers that disconnect.
    :param pool: connections to endpoint processes.
    :param open_requests: registry of open requests.
    :param metrics: counters.
    """

    def __init__(
        self,
        disconnect_handler: DisconnectHandler,
        pool: PeerPool,
        open_requests: OpenRequests,
        metrics: Metrics,
    ) -> None:
        self._disconnect_handler = disconnect_handler
        self._owner_client = disconnect_handler.owner_client
        self._pool = pool
        self._open_requests = open_requests
        self._metrics = metrics

    async def run(self, request: RelayRequest, responder: Responder) -> None:
        """Run a request and answer the caller.

        :param request: validated request.
        :param responder: connection to the caller.
        :raises CallerDisconnectedError: if the caller has disconnected.
        """
        responder.program_id = request.begin.program_id
        delivery = Delivery(
            responder,
            is_chat=request.is_chat,
            is_resumable=request.is_resumable,
        )
        progress = Progress(request, delivery)
        try:
            refusal = await self._run_until_deadline(progress)
        except (CallerDisconnectedError, asyncio.CancelledError):
            self._disconnect_handler.handle_disconnect(progress)
            raise
        if refusal is None:
            self._metrics.count(Counter.ANSWERS)
            self._metrics.count(Counter.OUTCOME_ANSWERED)
        else:
            await self.refuse(refusal, request.entry, responder)

    async def refuse(
        self,
        refusal: Refusal,
        entry: OpenRequest,
        responder: Responder,
    ) -> None:
        """Send a refusal with the outcome that is known for certain.

        If the request may have run, the outcome is ``unknown``, and a code
        that states that it was not run becomes ``OUTCOME_UNKNOWN``.

        :param refusal: reason of the failure.
        :param entry: the open request.
        :param responder: connection to the caller.
        :raises CallerDisconnectedError: if the caller has disconnected.
        """
        info = result_code_info(refusal.code)
        if info.was_not_run and entry.may_have_run:
            refusal = Refusal(
                code=ResultCode.OUTCOME_UNKNOWN,
                detail=info.text,
            )
        outcome = refusal_outcome(
            refusal.code,
            may_have_run=entry.may_have_run,
        )
        self._metrics.count_code(refusal.code)
        self._metrics.count(f'outcome.{outcome}')
        await responder.fail(refusal, outcome)

    async def _run_until_deadline(self, progress: Progress) -> Refusal | None:
        remaining_s = progress.request.deadline_s - time.monotonic()
        try:
            async with asyncio.timeout(remaining_s):
                return await self._apply_decisions(progress)
        except TimeoutError:
            return timeout_refusal(progress)
        except InvariantError as error:
            self._metrics.count(Counter.INVARIANT_VIOLATED)
            _log.error('invariant violated: %s', error)
            return Refusal(code=ResultCode.INTERNAL_ERROR)

    async def _apply_decisions(self, progress: Progress) -> Refusal | None:
        """Apply owner decisions until the response is complete or refused."""
        decision = await self._begin(progress.request)
        for _ in range(MAX_DECISIONS):
            try:
                return await self._apply_decision(decision, progress)
            except NotSentError:
                progress.mark_not_sent()
            except PeerError as error:
                progress.refusal = getattr(error, 'refusal', None)
                progress.is_sent = True
            if progress.delivery.is_complete:
                # The caller has the whole response; only the end message of
                # the endpoint process is missing.
                return await progress.delivery.finish()
            await self._wait_newer_epoch(progress.refusal)
            decision = await self._resolve(progress)
        return progress.refusal or Refusal(code=ResultCode.BACKEND_FAILED)

    async def _wait_newer_epoch(self, refusal: Refusal | None) -> None:
        if refusal is not None and refusal.code == ResultCode.STALE_EPOCH:
            self._metrics.count(Counter.RETRY_STALE_EPOCH)
            await self._owner_client.wait_epoch(refusal.epoch)

    async def _apply_decision(
        self,
        decision: OwnerDecision,
        progress: Progress,
    ) -> Refusal | None:
        """Apply one decision of the owner.

        :param decision: ticket, outcome of an earlier run, or refusal.
        :param progress: state of the request.
        :returns: the final refusal, or ``None`` after a complete response.
        :raises PeerError: if the run failed and the owner must decide again.
        """
        if isinstance(decision, Refusal):
            return decision
        if isinstance(decision, Outcome):
            return await self._deliver_record(decision, progress)
        if not progress.delivery.can_retry:
            return Refusal(code=ResultCode.BACKEND_FAILED)
        await self._run_ticket(decision, progress)
        return None

    async def _begin(self, request: RelayRequest) -> OwnerDecision:
        begin = request.begin
        decision = await self._owner_client.ask(begin, request.deadline_s)
        if isinstance(decision, Outcome):
            self._metrics.count(Counter.OUTCOME_REPLAYED)
        is_owner_unavailable = (
            isinstance(decision, Refusal)
            and decision.code == ResultCode.OWNER_UNAVAILABLE
        )
        if is_owner_unavailable and begin.idempotency_key:
            # Only the owner knows whether an earlier request with this
            # idempotency key ran.
            return Refusal(code=ResultCode.OUTCOME_UNKNOWN)
        return decision

    async def _resolve(self, progress: Progress) -> OwnerDecision:
        """Ask the owner for a decision after a failed run."""
        request = progress.request
        begin = request.begin
        decision = await self._owner_client.ask(
            Resolve(
                number=progress.number,
                request_id=begin.request_id,
                workspace=begin.workspace,
                shard=begin.shard,
                program_id=begin.program_id,
                reason=progress.failure_reason(),
                is_relay_started=not progress.delivery.can_retry,
            ),
            request.deadline_s,
        )
        if isinstance(decision, Ticket):
            self._record_retry(progress)
        is_unknown = (
            isinstance(decision, Outcome)
            and decision.outcome == outcomes.UNKNOWN
        )
        if is_unknown and not progress.unsettled:
            # A new owner has no record of a ticket that no endpoint process
            # accepted. Nothing ran, so the request starts over.
            return await self._begin(request)
        return decision

    def _record_retry(self, progress: Progress) -> None:
        """Record that the owner issued another ticket for the request."""
        if not progress.is_repeatable:
            # The owner issues another ticket only after the endpoint process
            # has settled the earlier ones as not run.
            progress.mark_not_run(*progress.unsettled)
        self._metrics.count(
            Counter.RETRY_REPEATABLE
            if progress.number in progress.unsettled
            else Counter.RETRY_NOT_RUN,
        )

    async def _deliver_record(
        self,
        outcome: Outcome,
        progress: Progress,
    ) -> Refusal | None:
        """Deliver the recorded response of an earlier run."""
        if outcome.outcome == outcomes.NOT_RUN:
            progress.mark_not_run(outcome.number)
            return progress.refusal or Refusal(code=ResultCode.TICKET_VOID)
        progress.mark_dispatched(outcome)
        settled = await self._disconnect_handler.copies.fetch(
            outcome,
            progress.request.deadline_s,
        )
        is_lost = settled.outcome == outcomes.UNKNOWN
        if is_lost and outcome.outcome == outcomes.UNKNOWN:
            return Refusal(code=ResultCode.OUTCOME_UNKNOWN)
        if settled.outcome == outcomes.NOT_RUN:
            progress.mark_not_run(outcome.number)
        await progress.delivery.replay(settled)
        return None

    async def _run_ticket(self, ticket: Ticket, progress: Progress) -> None:
        """Run a ticket and forward its response to the caller.

        :param ticket: ticket issued by the owner.
        :param progress: state of the request.
        :raises PeerError: if the run was refused or failed.
        """
        request = progress.request
        check_ticket(ticket, request.begin)
        progress.is_repeatable = ticket.is_repeatable
        progress.delivery.start_run(ticket.number)
        run = Run(
            ticket=ticket,
            method=request.method,
            path=request.path,
            headers=request.headers,
            body=request.body,
            is_stream=request.is_stream,
            resume_text=progress.delivery.resume_text,
        )
        progress.mark_dispatched(running_outcome(ticket))
        entry, open_requests = request.entry, self._open_requests
        async with open_run(self._pool, run, entry, open_requests) as stream:
            async for message in stream:
                await forward_message(message, progress)
