"""Client of the turn store: token reservations and turn records."""

import asyncio
import time
from collections.abc import Callable, Sequence
from typing import Any

from rattanvalve.errors import QuorumError
from rattanvalve.gateway.member_calls import MemberCalls
from rattanvalve.logs import LogPart, part_logger
from rattanvalve.sharedstate.members import (
    StoreMember,
    quorum_size,
    replica_group,
)
from rattanvalve.turn_messages import (
    FetchTurn,
    Ledger,
    LedgerEntry,
    Reserve,
    SettleTurn,
    Stored,
    TurnChain,
    TurnRecord,
)

__all__ = ('TurnClient', 'merge_ledgers')

#: Delay after which another member is called in addition to slow ones.
HEDGE_DELAY_S = 0.06
CALL_TIMEOUT_S = 0.8
RETRY_DELAY_S = 0.05

_log = part_logger(LogPart.TURNS)


def merge_ledgers(ledgers: Sequence[Ledger]) -> dict[str, LedgerEntry]:
    """Merge the ledgers that several members hold of one program.

    :param ledgers: answers of a quorum.
    :returns: entry by turn id; a settled entry replaces a reservation.
    """
    merged: dict[str, LedgerEntry] = {}
    for ledger in ledgers:
        for entry in ledger.entries:
            known = merged.get(entry.turn_id)
            if known is None or (entry.is_settled and not known.is_settled):
                merged[entry.turn_id] = entry
    return merged


class TurnClient:
    """Reads and writes turns on a quorum of members, the nearest first.

    :param calls: client of the turn store members.
    :param zone: zone of this process.
    :param departed_count: returns how many members were recently removed at
        a monotonic time in seconds.
    """

    def __init__(
        self,
        calls: MemberCalls,
        zone: str,
        departed_count: Callable[[float], int],
    ) -> None:
        self._calls = calls
        self._departed_count = departed_count
        self._members = calls.members
        self._zone = zone
        self._lost_disks_max = calls.lost_disks_max
        self._reach = calls.reach

    async def reserve(
        self,
        message: Reserve,
        timeout_s: float,
    ) -> dict[str, LedgerEntry]:
        """Reserve the largest number of tokens that a turn may use.

        :param message: the reservation.
        :param timeout_s: timeout in seconds, retries included.
        :returns: ledger of the program by turn id, this turn included.
        :raises QuorumError: if too few members answer in time.
        """
        return merge_ledgers(
            await self._store_with_retries(message, Ledger, timeout_s)
        )

    async def commit(self, record: TurnRecord, timeout_s: float) -> None:
        """Store a completed turn.

        :param record: the turn.
        :param timeout_s: timeout in seconds, retries included.
        :raises QuorumError: if too few members answer in time.
        """
        await self._store_with_retries(record, Stored, timeout_s)

    async def settle(self, message: SettleTurn, timeout_s: float) -> None:
        """Replace a reservation by the number of generated tokens.

        :param message: the turn and its generated tokens.
        :param timeout_s: timeout in seconds, retries included.
        :raises QuorumError: if too few members answer in time.
        """
        await self._store_with_retries(message, Stored, timeout_s)

    async def fetch(
        self,
        turn_id: str,
        program_id: str,
        timeout_s: float,
    ) -> tuple[TurnRecord, ...] | None:
        """Fetch a turn and the turns that it continues.

        :param turn_id: id of the newest turn.
        :param program_id: program of the caller, usually also the turn's.
        :param timeout_s: timeout in seconds, retries included.
        :returns: the chain, newest first; ``None`` if the turn certainly does
            not exist.
        :raises QuorumError: if it stays unknown whether the turn exists.
        """
        deadline_s = time.monotonic() + timeout_s
        while True:
            chain = await self._fetch_once(turn_id, program_id)
            if chain is not None:
                return chain or None
            if time.monotonic() + RETRY_DELAY_S > deadline_s:
                raise QuorumError(f'existence of turn {turn_id} is unknown')
            await asyncio.sleep(RETRY_DELAY_S)

    async def _fetch_once(
        self,
        turn_id: str,
        program_id: str,
    ) -> tuple[TurnRecord, ...] | None:
        """Assemble a chain from the records of several members.

        A member may lack any turn of a chain, so the first missing turn is
        fetched until the chain is complete.

        :returns: the chain; empty if the turn does not exist; ``None`` if
            that is unknown or an earlier turn was not found.
        """
        known: dict[str, TurnRecord] = {}
        missing_id = turn_id
        while missing_id:
            is_absent = await self._find_turn(missing_id, program_id, known)
            if missing_id not in known:
                # An earlier turn of the chain must exist, so its absence
                # here is never final.
                return () if is_absent and missing_id == turn_id else None
            missing_id = _first_missing(turn_id, known)
        return _build_chain(turn_id, known)

    async def _find_turn(
        self,
        turn_id: str,
        program_id: str,
        known: dict[str, TurnRecord],
    ) -> bool:
        """Query the nearest member of the program's group, then all others.

        A turn is certainly absent if all members have complete records and
        lack it, and so few members were recently removed that one of its
        copies would be on the others.

        :param turn_id: id of the turn.
        :param program_id: program of the caller.
        :param known: turns by id; the turns that are found are added.
        :returns: whether the turn certainly does not exist.
        """
        members = self._members()
        group = replica_group(program_id, members, self._lost_disks_max)
        nearest = self._reach.nearest_first(group, self._zone)[:1]
        others = [member for member in members if member not in nearest]
        denials = 0
        for queried in (nearest, others):
            chains = await self._fetch_from(queried, turn_id)
            known.update(
                (turn.turn_id, turn) for chain in chains for turn in chain.turns
            )
            if turn_id in known:
                return False
            denials += sum(chain.is_complete for chain in chains)
        departed = self._departed_count(time.monotonic())
        is_absent = (
            bool(members)
            and denials == len(members)
            and departed <= self._lost_disks_max
        )
        _log.info(
            'turn not found',
            extra={
                'turn': turn_id,
                'program': program_id,
                'is_absent': is_absent,
                'members': len(members),
                'denials': denials,
                'departed': departed,
            },
        )
        return is_absent

    async def _fetch_from(
        self,
        members: Sequence[StoreMember],
        turn_id: str,
    ) -> list[TurnChain]:
        answers = await asyncio.gather(
            *(
                self._calls.call(
                    member,
                    FetchTurn(turn_id=turn_id),
                    TurnChain,
                    CALL_TIMEOUT_S,
                )
                for member in members
            ),
            return_exceptions=True,
        )
        return [answer for answer in answers if isinstance(answer, TurnChain)]

    async def _store_with_retries(
        self,
        message: Reserve | SettleTurn | TurnRecord,
        answer_class: type,
        timeout_s: float,
    ) -> list[Any]:
        deadline_s = time.monotonic() + timeout_s
        while True:
            answers = await self._store_once(message, answer_class)
            if len(answers) >= quorum_size(self._lost_disks_max):
                return answers
            if time.monotonic() + RETRY_DELAY_S > deadline_s:
                raise QuorumError(
                    f'only {len(answers)} members stored {message.turn_id}',
                )
            await asyncio.sleep(RETRY_DELAY_S)

    async def _store_once(self, message, answer_class: type) -> list[Any]:
        """Send a record to a quorum of near members; add others on failure."""
        group = self._reach.nearest_first(
            replica_group(
                message.program_id,
                self._members(),
                self._lost_disks_max,
            ),
            self._zone,
        )
        needed = quorum_size(self._lost_disks_max)
        spare = group[needed:]
        pending = {
            self._start_call(member, message, answer_class)
            for member in group[:needed]
        }
        answers: list[Any] = []
        try:
            while pending and len(answers) < needed:
                done, pending = await asyncio.wait(
                    pending,
                    timeout=HEDGE_DELAY_S if spare else None,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                successful = [
                    task.result()
                    for task in done
                    if task.exception() is None and task.result().is_complete
                ]
                answers.extend(successful)
                # Call one more member for each failure, or if none answered
                # within the hedging delay.
                extra_count = max(len(done) - len(successful), int(not done))
                for member in spare[:extra_count]:
                    pending.add(self._start_call(member, message, answer_class))
                spare = spare[extra_count:]
        finally:
            # Calls in flight are not cancelled: they only add a copy.
            for task in pending:
                task.add_done_callback(_ignore_result)
        return answers

    def _start_call(self, member, message, answer_class: type) -> asyncio.Task:
        return asyncio.create_task(
            self._calls.call(member, message, answer_class, CALL_TIMEOUT_S),
        )


def _first_missing(turn_id: str, known: dict[str, TurnRecord]) -> str:
    """Return the id of the newest unknown turn of a chain, or empty."""
    while turn_id in known:
        turn_id = known[turn_id].previous_id
    return turn_id


def _build_chain(
    turn_id: str,
    known: dict[str, TurnRecord],
) -> tuple[TurnRecord, ...]:
    chain = []
    while turn_id:
        chain.append(known[turn_id])
        turn_id = known[turn_id].previous_id
    return tuple(chain)


def _ignore_result(task: asyncio.Task) -> None:
    if not task.cancelled():
        task.exception()
