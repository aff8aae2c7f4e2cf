"""Client of the turn store: reservations and turns."""

import asyncio
import time
from collections.abc import Callable, Sequence
from typing import Any

from rattanvalve.errors import QuorumError
from rattanvalve.gateway.member_calls import MemberCalls
from rattanvalve.logs import LogPart, part_logger
from rattanvalve.sharedstate.members import (
    StoreMember,
    group_of,
    quorum_size,
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

#: A member that has not answered after this time is not waited for alone.
HEDGE_S = 0.06
CALL_TIMEOUT_S = 0.8
RETRY_PAUSE_S = 0.05

_log = part_logger(LogPart.TURNS)


def merge_ledgers(ledgers: Sequence[Ledger]) -> dict[str, LedgerEntry]:
    """Join what several members know of one program.

    :param ledgers: answers of a quorum.
    :returns: entry of each turn; a settled one goes first.
    """
    merged: dict[str, LedgerEntry] = {}
    for ledger in ledgers:
        for entry in ledger.entries:
            known = merged.get(entry.turn_id)
            if known is None or (entry.is_settled and not known.is_settled):
                merged[entry.turn_id] = entry
    return merged


class TurnClient:
    """Calls members of the turn store, the nearest first.

    :param calls: calls of the members.
    :param zone: zone of this process.
    :param departed_count: tells how many members were removed a moment ago.
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
        limit_s: float,
    ) -> dict[str, LedgerEntry]:
        """Count the most tokens of a turn before it is sent.

        :param message: the reservation.
        :param limit_s: longest time in seconds.
        :returns: all that is counted for the program, this turn included.
        :raises QuorumError: if too few members answered.
        """
        return merge_ledgers(await self._store(message, Ledger, limit_s))

    async def commit(self, record: TurnRecord, limit_s: float) -> None:
        """Store a turn that has ended whole.

        :param record: the turn.
        :param limit_s: longest time in seconds.
        :raises QuorumError: if too few members answered.
        """
        await self._store(record, Stored, limit_s)

    async def settle(self, message: SettleTurn, limit_s: float) -> None:
        """Replace a reservation by what was generated.

        :param message: the tokens.
        :param limit_s: longest time in seconds.
        :raises QuorumError: if too few members answered.
        """
        await self._store(message, Stored, limit_s)

    async def fetch(
        self,
        turn_id: str,
        program_id: str,
        limit_s: float,
    ) -> tuple[TurnRecord, ...] | None:
        """Find a turn and those that it continues.

        :param turn_id: newest turn.
        :param program_id: program of the caller, which mostly is the turn's.
        :param limit_s: longest time in seconds.
        :returns: newest first; ``None`` if there is no such turn for sure.
        :raises QuorumError: if it is unknown whether there is one.
        """
        deadline_s = time.monotonic() + limit_s
        while True:
            chain = await self._fetch_once(turn_id, program_id)
            if chain is not None:
                return chain or None
            if time.monotonic() + RETRY_PAUSE_S > deadline_s:
                raise QuorumError(f'turn {turn_id} is not known for sure')
            await asyncio.sleep(RETRY_PAUSE_S)

    async def _fetch_once(
        self,
        turn_id: str,
        program_id: str,
    ) -> tuple[TurnRecord, ...] | None:
        """Put a chain together from what the members hold.

        A member may lack any turn of a chain, so the first missing one is
        asked for until none is missing.

        :returns: the chain, empty if there is none, ``None`` if unknown.
        """
        known: dict[str, TurnRecord] = {}
        wanted = turn_id
        while wanted:
            is_absent = await self._find_turn(wanted, program_id, known)
            if wanted not in known:
                # A turn that others continue exists, wherever it may be.
                return () if is_absent and wanted == turn_id else None
            wanted = _first_missing(turn_id, known)
        return _chain_of(turn_id, known)

    async def _find_turn(
        self,
        turn_id: str,
        program_id: str,
        known: dict[str, TurnRecord],
    ) -> bool:
        """Ask the nearest member of the program's group, then all others.

        A turn is absent for sure if all members deny it, and so few left a
        moment ago that one of its copies would be with the others.

        :param turn_id: turn to find.
        :param program_id: program of the caller.
        :param known: gets the turns that are found.
        :returns: whether there is no such turn for sure.
        """
        members = self._members()
        group = group_of(program_id, members, self._lost_disks_max)
        nearest = self._reach.nearest_first(group, self._zone)[:1]
        others = [member for member in members if member not in nearest]
        denials = 0
        for asked in (nearest, others):
            chains = await self._ask_all(asked, turn_id)
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

    async def _ask_all(
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

    async def _store(
        self,
        message: Reserve | SettleTurn | TurnRecord,
        answer_class: type,
        limit_s: float,
    ) -> list[Any]:
        deadline_s = time.monotonic() + limit_s
        while True:
            answers = await self._store_once(message, answer_class)
            if len(answers) >= quorum_size(self._lost_disks_max):
                return answers
            if time.monotonic() + RETRY_PAUSE_S > deadline_s:
                raise QuorumError(
                    f'{len(answers)} members stored {message.turn_id}',
                )
            await asyncio.sleep(RETRY_PAUSE_S)

    async def _store_once(self, message, answer_class: type) -> list[Any]:
        """Send a record to the nearest members, and to more if they fail."""
        group = self._reach.nearest_first(
            group_of(
                message.program_id,
                self._members(),
                self._lost_disks_max,
            ),
            self._zone,
        )
        needed = quorum_size(self._lost_disks_max)
        waiting = group[needed:]
        pending = {
            self._start(member, message, answer_class)
            for member in group[:needed]
        }
        answers: list[Any] = []
        try:
            while pending and len(answers) < needed:
                done, pending = await asyncio.wait(
                    pending,
                    timeout=HEDGE_S if waiting else None,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                good = [
                    task.result()
                    for task in done
                    if task.exception() is None and task.result().is_complete
                ]
                answers.extend(good)
                # One more member for each that failed, or if all are slow.
                more = max(len(done) - len(good), int(not done))
                for member in waiting[:more]:
                    pending.add(self._start(member, message, answer_class))
                waiting = waiting[more:]
        finally:
            # A record that is still on its way only adds a copy.
            for task in pending:
                task.add_done_callback(_ignore_result)
        return answers

    def _start(self, member, message, answer_class: type) -> asyncio.Task:
        return asyncio.create_task(
            self._calls.call(member, message, answer_class, CALL_TIMEOUT_S),
        )


def _first_missing(turn_id: str, known: dict[str, TurnRecord]) -> str:
    """Name the first turn of a chain that is not known; empty if none is."""
    while turn_id in known:
        turn_id = known[turn_id].previous_id
    return turn_id


def _chain_of(
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
