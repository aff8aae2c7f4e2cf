"""Decisions of the owner of workspace shards: admission, settling, retry."""

import itertools
from dataclasses import replace

from rattanvalve import admission, outcomes
from rattanvalve.counters import Counter, Metrics
from rattanvalve.idempotency import (
    RETENTION_S,
    Attempt,
    is_same_content,
    outcome_of,
)
from rattanvalve.messages import (
    Begin,
    Finish,
    Outcome,
    Refusal,
    Resolve,
    Ticket,
)
from rattanvalve.ownercontext import (
    OwnerContext,
    Wait,
    is_key_withdrawn,
    may_admit,
    refuse,
)
from rattanvalve.resultcodes import ResultCode
from rattanvalve.shardstate import SealState
from rattanvalve.shardtable import ShardTable

__all__ = ('Owner',)


class Owner:
    """Owner role of one entry process; it decides without waiting or I/O.

    :param name: name of the entry process.
    :param incarnation: incarnation of the entry process.
    :param metrics: counters; a private set if omitted.
    """

    def __init__(
        self,
        name: str,
        incarnation: str,
        metrics: Metrics | None = None,
    ) -> None:
        self.name = name
        self.table = ShardTable()
        self.metrics = metrics or Metrics()
        self._incarnation = incarnation
        self._sequence = itertools.count(1)

    def find_earlier(
        self,
        begin: Begin,
        now_s: float,
    ) -> Outcome | Refusal | None:
        """Find the earlier attempt of the same request.

        :param begin: request.
        :param now_s: current time in seconds.
        :returns: location of the earlier record, ``None`` for a new request,
            or a refusal if the idempotency key belongs to another request or
            the request may have run at an unsealed endpoint.
        """
        shard = self.table.find(begin.workspace, begin.shard)
        if shard is None:
            return _unknowable(begin, self.table.seal, now_s)
        found = shard.ledger.attempts.find(
            begin.request_id,
            begin.idempotency_key,
        )
        if found is None:
            return _unknowable(begin, shard.seal, now_s)
        if _is_key_reused(found, begin):
            return refuse(ResultCode.KEY_REUSED, retry_after_ms=0)
        self.metrics.count(Counter.OUTCOME_REPLAYED)
        return outcome_of(found)

    def begin(
        self,
        begin: Begin,
        context: OwnerContext,
        now_s: float,
    ) -> Ticket | Refusal | Outcome | Wait:
        """Admit a request, return its earlier attempt, or make it wait.

        :param begin: request.
        :param context: configuration, view and placement.
        :param now_s: current time in seconds.
        :returns: ticket, location of an earlier record, refusal, which states
            that the request was not run, or the condition to wait for.
        """
        found = self._check_served(begin, context) or self.find_earlier(
            begin, now_s
        )
        if found is not None:
            return found
        name = (begin.workspace, begin.shard)
        mode = self.table.mode_of(name, context.mode, now_s)
        if not may_admit(mode, begin.is_repeatable):
            return refuse(ResultCode.NOT_CONFIRMED, epoch=context.view.epoch)
        shard = self.table.get_or_create(name, context, now_s)
        if not shard.ledger.has_capacity(begin.program_id, now_s):
            return refuse(ResultCode.QUEUE_FULL)
        if shard.ledger.is_busy(begin.program_id):
            return Wait(is_for_rate=False)
        is_fork = shard.ledger.is_fork(begin)
        answer = admission.admit(
            begin,
            shard,
            self._next_number(),
            context,
            now_s,
        )
        if is_fork and isinstance(answer, Ticket):
            self.metrics.count(Counter.HISTORY_FORK)
        return answer

    def finish(self, finish: Finish, now_s: float) -> bool:
        """Record the end of a ticket.

        :param finish: report of the endpoint process.
        :param now_s: current time in seconds.
        :returns: whether the turn was running; ``False`` for a repeated report
            and for a shard or ticket that is not known here.
        """
        shard = self.table.find(finish.workspace, finish.shard)
        if shard is None:
            return False
        is_first = shard.ledger.finish_turn(
            finish.number,
            finish.usage,
            finish.outcome,
            now_s,
        )
        if is_first:
            shard.is_reported = True
            self.metrics.count(f'outcome.{finish.outcome}')
        return is_first

    def find_attempt(
        self,
        workspace: str,
        shard: int,
        number: str,
    ) -> Attempt | None:
        """Find the attempt of a ticket.

        :param workspace: workspace name.
        :param shard: shard index.
        :param number: ticket number.
        :returns: attempt, or ``None`` for an unknown number.
        """
        state = self.table.find(workspace, shard)
        if state is None:
            return None
        return state.ledger.attempts.by_number.get(number)

    def find_attempt_of_request(self, resolve: Resolve) -> Attempt | None:
        """Find the attempt of a request by its request id.

        :param resolve: workspace, shard and request id.
        :returns: attempt, or ``None`` if there is none.
        """
        shard = self.table.find(resolve.workspace, resolve.shard)
        return shard and shard.ledger.attempts.find(resolve.request_id, '')

    def find_running_attempt(self, begin: Begin) -> Attempt | None:
        """Find the running attempt that a call has to wait for.

        :param begin: waiting call.
        :returns: attempt, or ``None`` if the program is idle.
        """
        state = self.table.find(begin.workspace, begin.shard)
        if state is None or not state.ledger.is_busy(begin.program_id):
            return None
        program = state.ledger.programs[begin.program_id]
        return state.ledger.attempts.by_number[program.running]

    def resolve(
        self,
        resolve: Resolve,
        settled_outcome: str,
        context: OwnerContext,
        now_s: float,
    ) -> Ticket | Outcome | Refusal:
        """Decide about a retry after the connection of a run broke.

        :param resolve: request of the ingress.
        :param settled_outcome: outcome that the endpoint process stated.
        :param context: configuration, view and placement.
        :param now_s: current time in seconds.
        :returns: new ticket of the same turn, the outcome, or a refusal.
        """
        if not self._is_owner(resolve.workspace, resolve.shard, context):
            return refuse(ResultCode.NOT_OWNER, epoch=context.view.epoch)
        attempt = self.find_attempt(
            resolve.workspace,
            resolve.shard,
            resolve.number,
        )
        if attempt is None:
            return Outcome(
                number=resolve.number,
                outcome=outcomes.UNKNOWN,
                program_id=resolve.program_id,
            )
        if attempt.ticket.number != resolve.number:
            # The ticket was already replaced; the response to an earlier
            # message of this kind was lost.
            return outcome_of(attempt)
        self.finish(
            Finish(
                number=resolve.number,
                workspace=resolve.workspace,
                shard=resolve.shard,
                outcome=settled_outcome,
            ),
            now_s,
        )
        return self._retry(attempt, resolve.request_id, context, now_s)

    def find_outcome(self, resolve: Resolve) -> Outcome | Refusal:
        """Find the outcome of an idempotency key.

        :param resolve: message whose ``request_id`` contains the key.
        :returns: the outcome and the location of its record, or a refusal.
        """
        shard = self.table.find(resolve.workspace, resolve.shard)
        found = shard and shard.ledger.attempts.find('', resolve.request_id)
        if not found:
            return refuse(ResultCode.UNKNOWN_OUTCOME_KEY, retry_after_ms=0)
        return outcome_of(found)

    def _check_served(
        self,
        begin: Begin,
        context: OwnerContext,
    ) -> Refusal | None:
        if not self._is_owner(begin.workspace, begin.shard, context):
            return refuse(ResultCode.NOT_OWNER, epoch=context.view.epoch)
        if is_key_withdrawn(begin, context.catalog):
            return refuse(ResultCode.KEY_UNKNOWN, retry_after_ms=0)
        return None

    def _is_owner(
        self,
        workspace: str,
        shard: int,
        context: OwnerContext,
    ) -> bool:
        return context.owner_of(context.view, workspace, shard) == self.name

    def _retry(
        self,
        attempt: Attempt,
        request_id: str,
        context: OwnerContext,
        now_s: float,
    ) -> Ticket | Outcome:
        name = (attempt.ticket.workspace, attempt.ticket.shard)
        mode = self.table.mode_of(name, context.mode, now_s)
        context = replace(context, mode=mode)
        shard = self.table.get_or_create(name, context, now_s)
        is_not_run = attempt.outcome == outcomes.NOT_RUN
        answer = admission.retry(
            attempt,
            shard,
            self._next_number(),
            request_id,
            context,
            now_s,
        )
        if isinstance(answer, Refusal):
            self.metrics.count(Counter.RETRY_BUDGET_EMPTY)
            return outcome_of(attempt)
        if isinstance(answer, Ticket):
            self.metrics.count(
                Counter.RETRY_NOT_RUN
                if is_not_run
                else Counter.RETRY_REPEATABLE,
            )
        return answer or outcome_of(attempt)

    def _next_number(self) -> str:
        return f'{self.name}/{self._incarnation}/{next(self._sequence)}'


def _is_key_reused(found: Attempt, begin: Begin) -> bool:
    if not begin.idempotency_key:
        return False
    if found.ticket.idempotency_key != begin.idempotency_key:
        return False
    return not is_same_content(found.ticket, begin)


def _unknowable(
    begin: Begin,
    seal: SealState,
    now_s: float,
) -> Refusal | None:
    """Refuse a request that an unsealed endpoint may have run already.

    Only a request that has an idempotency key and must not run twice is
    refused.
    """
    if begin.is_repeatable or not begin.idempotency_key:
        return None
    is_at_risk = any(
        missing.service_name == begin.service_name
        and now_s - missing.since_s < RETENTION_S
        for missing in seal.missing.values()
    )
    return refuse(ResultCode.OUTCOME_UNKNOWN) if is_at_risk else None
