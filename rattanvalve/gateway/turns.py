"""Turns of programs: token budget, context and storage."""

import asyncio

from rattanvalve.errors import QuorumError
from rattanvalve.gateway.calls import Call, Refusal
from rattanvalve.gateway.turn_cache import CachedTurn, TurnCache
from rattanvalve.gateway.turn_client import TurnClient
from rattanvalve.logs import LogPart, part_logger
from rattanvalve.resultcodes import ResultCode
from rattanvalve.turn_messages import (
    LedgerEntry,
    Reserve,
    SettleTurn,
    TurnRecord,
)
from rattanvalve.turnstore.turnrecords import LEDGER_RETENTION_MS

__all__ = ('TurnManager', 'is_within_budget', 'max_charged_tokens')

#: Timeout of the turn store before a turn starts, in seconds.
PREPARE_TIMEOUT_S = 1.0
#: Timeout of the turn store at the end of a stream, in seconds.
COMMIT_TIMEOUT_S = 3.0
SETTLE_TIMEOUT_S = 2.0
#: Delay before the retry of a turn when the turn store is unavailable.
RETRY_AFTER_S = 0.4

_log = part_logger(LogPart.TURNS)


def max_charged_tokens(output_tokens_max: int, event_tokens: int) -> int:
    """Compute the largest number of tokens that a turn is charged.

    :param output_tokens_max: output limit of the caller in tokens.
    :param event_tokens: tokens charged per event; 0 if events are free.
    :returns: the output limit, rounded up to whole events, in tokens.
    """
    if not event_tokens:
        return 0
    return -(-output_tokens_max // event_tokens) * event_tokens


def is_within_budget(
    entries: dict[str, LedgerEntry],
    budget_tokens: int,
) -> bool:
    """Check the tokens charged to a program against its budget.

    :param entries: charges by turn id, the new turn included.
    :param budget_tokens: budget of the program in tokens.
    :returns: whether the sum of the charges is within the budget.
    """
    return sum(entry.tokens for entry in entries.values()) <= budget_tokens


class TurnManager:
    """Prepares turns and stores them after they end.

    :param client: client of the turn store.
    :param cache: cached turns of this process.
    """

    def __init__(self, client: TurnClient, cache: TurnCache) -> None:
        self._client = client
        self._cache = cache
        self._background: set[asyncio.Task] = set()

    async def prepare(self, call: Call, event_tokens: int) -> Refusal | None:
        """Reserve the tokens of a turn and load its context.

        :param call: the turn; its context is set. :meth:`settle` must be
            called afterwards, also after a refusal.
        :param event_tokens: tokens charged per event.
        :returns: the refusal; ``None`` if the turn can be served.
        """
        outcomes = await asyncio.gather(
            self._reserve(call, event_tokens),
            self._find_context(call),
            return_exceptions=True,
        )
        refusals = filter(None, map(_to_refusal, outcomes))
        return next(refusals, None)

    def settle(self, call: Call, tokens: int) -> None:
        """Replace the reservation of a turn by its generated tokens.

        The update runs in the background; until it is stored, the
        reservation counts. A turn without a budget, or one that is already
        settled, is ignored.

        :param call: the turn, which has ended.
        :param tokens: tokens sent to the caller; 0 if the turn did not run.
        """
        if call.turn.budget_tokens is None or call.is_settled:
            return
        call.is_settled = True
        task = asyncio.create_task(self._settle(call, tokens))
        self._background.add(task)
        task.add_done_callback(self._background.discard)

    async def commit(self, call: Call, output: bytes, tokens: int) -> None:
        """Store a turn whose stream is complete, which also settles it.

        :param call: the turn.
        :param output: data of its events.
        :param tokens: number of generated tokens.
        :raises QuorumError: if too few members store it in time.
        """
        turn = call.turn
        record = TurnRecord(
            turn_id=call.request_id,
            program_id=turn.program_id,
            workspace=call.workspace_name,
            previous_id=turn.previous_id,
            prompt=call.body,
            output=output,
            tokens=tokens,
            retention_ms=call.route.retention_ms,
        )
        await self._client.commit(record, COMMIT_TIMEOUT_S)
        call.is_settled = True
        previous = self._cache.get(turn.previous_id)
        if previous is not None or not turn.previous_id:
            self._cache_turn(record, previous)

    async def _reserve(self, call: Call, event_tokens: int) -> Refusal | None:
        turn = call.turn
        if turn.budget_tokens is None:
            return None
        tokens = max_charged_tokens(turn.output_tokens_max, event_tokens)
        entries = await self._client.reserve(
            Reserve(
                program_id=turn.program_id,
                turn_id=call.request_id,
                tokens=tokens,
                retention_ms=_ledger_retention_ms(call),
            ),
            PREPARE_TIMEOUT_S,
        )
        call.has_program_begun = any(
            entry.tokens
            for turn_id, entry in entries.items()
            if turn_id != call.request_id
        )
        if is_within_budget(entries, turn.budget_tokens):
            return None
        return Refusal(ResultCode.BUDGET_EXHAUSTED)

    async def _find_context(self, call: Call) -> Refusal | None:
        previous_id = call.turn.previous_id
        if not previous_id or not call.route.keeps_turns:
            return None
        found = self._cache.get(previous_id)
        if found is None:
            chain = await self._client.fetch(
                previous_id,
                call.turn.program_id,
                PREPARE_TIMEOUT_S,
            )
            for record in reversed(chain or ()):
                found = self._cache_turn(record, found)
        if found is None or found.workspace != call.workspace_name:
            return Refusal(ResultCode.UNKNOWN_TURN)
        call.context = found.context()
        return None

    def _cache_turn(
        self,
        record: TurnRecord,
        previous: CachedTurn | None,
    ) -> CachedTurn:
        turn = CachedTurn(
            workspace=record.workspace,
            prompt=record.prompt,
            output=record.output,
            previous=previous,
        )
        self._cache.put(record.turn_id, turn)
        return turn

    async def _settle(self, call: Call, tokens: int) -> None:
        message = SettleTurn(
            program_id=call.turn.program_id,
            turn_id=call.request_id,
            tokens=tokens,
            retention_ms=_ledger_retention_ms(call),
        )
        try:
            await self._client.settle(message, SETTLE_TIMEOUT_S)
        except QuorumError as error:
            # The full reservation stays charged until it expires.
            _log.warning(
                'reservation not settled',
                extra={'request': call.request_id, 'error': str(error)},
            )


def _ledger_retention_ms(call: Call) -> int:
    return max(call.route.retention_ms, LEDGER_RETENTION_MS)


def _to_refusal(outcome: Refusal | BaseException | None) -> Refusal | None:
    if isinstance(outcome, QuorumError):
        return Refusal(ResultCode.TURN_STORE_UNAVAILABLE, RETRY_AFTER_S)
    if isinstance(outcome, BaseException):
        raise outcome
    return outcome
