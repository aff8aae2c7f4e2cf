"""Admission control of turns: placement, rate limit, budget and ticket."""

import math
from dataclasses import replace

from rattanvalve import outcomes
from rattanvalve.errors import InvariantError
from rattanvalve.idempotency import Attempt
from rattanvalve.messages import Begin, Member, Refusal, Ticket
from rattanvalve.ownercontext import (
    OwnerContext,
    Wait,
    may_admit,
    refuse,
    wait_for_rate,
)
from rattanvalve.programs import Program, Turn
from rattanvalve.resultcodes import ResultCode
from rattanvalve.routing import PlacementRequest
from rattanvalve.shardstate import Shard

__all__ = ('MAX_TICKETS_PER_TURN', 'admit', 'retry')

#: Upper bound on the tickets issued for one turn, retries included.
MAX_TICKETS_PER_TURN = 4
#: An endpoint process keeps the cache of a program between two calls for
#: CACHE_HOLD_FACTOR times the longest pause of the program so far, within
#: these limits.
CACHE_HOLD_MIN_S = 10.0
CACHE_HOLD_MAX_S = 120.0
CACHE_HOLD_FACTOR = 4


def admit(
    begin: Begin,
    shard: Shard,
    number: str,
    context: OwnerContext,
    now_s: float,
) -> Ticket | Refusal | Wait:
    """Admit a request of an idle program.

    :param begin: request that has no earlier attempt.
    :param shard: shard of the program.
    :param number: number of the ticket to issue.
    :param context: configuration, view and placement.
    :param now_s: current time in seconds.
    :returns: ticket, refusal, or a wait until the rate limit permits the
        request.
    :raises InvariantError: if the rate limit or the order of turns is
        violated.
    """
    member = _select_endpoint(begin, shard, context, now_s)
    if member is None:
        return refuse(ResultCode.NO_ENDPOINT)
    wait = wait_for_rate(shard.bucket, context, now_s)
    if wait is not None:
        return wait
    turn = shard.ledger.begin_turn(
        begin,
        context.catalog.budget_of(begin.workspace),
        context.timeout_s or begin.timeout_ms / 1000,
        now_s,
    )
    if turn is None:
        return refuse(ResultCode.BUDGET_EXHAUSTED, retry_after_ms=0)
    if not shard.bucket.take(now_s):
        raise InvariantError('admission exceeds the rate limit')
    ticket = _build_ticket(begin, turn, number, member, context)
    shard.ledger.issue(turn, ticket, begin, now_s)
    shard.retries.earn()
    shard.is_touched = True
    return ticket


def retry(
    attempt: Attempt,
    shard: Shard,
    number: str,
    request_id: str,
    context: OwnerContext,
    now_s: float,
) -> Ticket | Refusal | None:
    """Issue a new ticket for the turn of a finished attempt.

    If the earlier run may have executed, the retry takes another token of the
    rate limit, so that the runs stay within the rate.

    :param attempt: finished attempt.
    :param shard: shard of the program.
    :param number: number of the ticket to issue.
    :param request_id: id of the retried request. It differs from that of the
        attempt if the attempt was found by its idempotency key.
    :param context: configuration, view and placement.
    :param now_s: current time in seconds.
    :returns: ticket, refusal by the rate limit or the retry budget, or
        ``None`` if the attempt must not be retried or cannot be placed.
    :raises InvariantError: if a request could run twice, or if the retry
        exceeds the rate.
    """
    if not _may_retry(attempt, shard, context):
        return None
    member = _select_endpoint(_placement_begin(attempt), shard, context, now_s)
    if member is None:
        return None
    template = replace(
        _with_endpoint(attempt.ticket, member),
        number=number,
        request_id=request_id or attempt.ticket.request_id,
    )
    if attempt.outcome == outcomes.NOT_RUN:
        return _reissue(attempt, shard, template, context, now_s)
    # A retry does not wait for the rate limit, because the next call of the
    # program would overtake it.
    if wait_for_rate(shard.bucket, context, now_s) is not None:
        return refuse(ResultCode.RATE_EXCEEDED)
    if not shard.retries.spend():
        return refuse(ResultCode.RATE_EXCEEDED)
    ticket = _reissue(attempt, shard, template, context, now_s)
    if ticket is not None and not shard.bucket.take(now_s):
        raise InvariantError('retry exceeds the rate limit')
    return ticket


def _may_retry(attempt: Attempt, shard: Shard, context: OwnerContext) -> bool:
    is_repeatable = attempt.ticket.is_repeatable
    is_safe = attempt.outcome == outcomes.NOT_RUN or (
        is_repeatable and attempt.outcome == outcomes.UNKNOWN
    )
    return (
        is_safe
        and may_admit(context.mode, is_repeatable)
        and len(attempt.numbers) < MAX_TICKETS_PER_TURN
        and shard.ledger.is_newest(attempt)
    )


def _placement_begin(attempt: Attempt) -> Begin:
    """Return the placement fields of an attempt.

    The ``begin`` of a rebuilt attempt is empty, so they come from the ticket.
    """
    ticket = attempt.ticket
    return replace(
        attempt.begin,
        service_name=ticket.service_name,
        program_id=ticket.program_id,
        workspace=ticket.workspace,
    )


def _with_endpoint(ticket: Ticket, member: Member) -> Ticket:
    return replace(
        ticket,
        endpoint=member.name,
        endpoint_incarnation=member.incarnation,
        host=member.host,
        port=member.port,
    )


def _reissue(
    attempt: Attempt,
    shard: Shard,
    template: Ticket,
    context: OwnerContext,
    now_s: float,
) -> Ticket | None:
    ticket = replace(
        template,
        epoch=context.view.epoch,
        owner=template.number.partition('/')[0],
    )
    budget = context.catalog.budget_of(ticket.workspace)
    if not shard.ledger.retry_turn(attempt, ticket, budget, now_s):
        return None
    shard.is_touched = True
    return ticket


def _select_endpoint(
    begin: Begin,
    shard: Shard,
    context: OwnerContext,
    now_s: float,
) -> Member | None:
    request = PlacementRequest(
        service_name=begin.service_name,
        workspace=begin.workspace,
        program_id=begin.program_id,
        last_endpoint=shard.ledger.affinity(begin),
        prompt_tokens=begin.prompt_tokens,
    )
    return context.place(request, now_s)


def _build_ticket(
    begin: Begin,
    turn: Turn,
    number: str,
    member: Member,
    context: OwnerContext,
) -> Ticket:
    digests = begin.history_digests
    priority = context.catalog.priority_of(begin.workspace)
    return Ticket(
        number=number,
        epoch=context.view.epoch,
        owner=number.partition('/')[0],
        request_id=begin.request_id,
        workspace=begin.workspace,
        shard=begin.shard,
        program_id=begin.program_id,
        turn=turn.number,
        service_name=begin.service_name,
        endpoint=member.name,
        endpoint_incarnation=member.incarnation,
        host=member.host,
        port=member.port,
        priority=max(begin.priority, int(priority)),
        attained_tokens=turn.attained_tokens,
        reserved_tokens=turn.reservation.tokens,
        is_repeatable=begin.is_repeatable,
        idempotency_key=begin.idempotency_key,
        history_digest=digests[-1] if digests else 0,
        timeout_ms=math.ceil(turn.reservation.seconds * 1000),
        cache_hold_ms=_cache_hold_ms(begin, turn.program),
        is_program_end=begin.is_program_end,
    )


def _cache_hold_ms(begin: Begin, program: Program) -> int:
    if begin.is_program_end:
        return 0
    hold_s = CACHE_HOLD_FACTOR * program.longest_pause_s
    return int(min(max(hold_s, CACHE_HOLD_MIN_S), CACHE_HOLD_MAX_S) * 1000)
