"""Client of the turn store: token reservations and turn records."""

import asyncio
import time
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field, replace
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
from rattanvalve.turnstore.turnchains import walk_chain
from rattanvalve.turnstore.turnrecords import LoggedMessage

__all__ = ('TurnClient', 'merge_ledgers')

#: Delay after which another member is called in addition to slow ones.
HEDGE_DELAY_S = 0.06
CALL_TIMEOUT_S = 0.8
RETRY_DELAY_S = 0.05

_log = part_logger(LogPart.TURNS)


@dataclass(slots=True)
class _Votes:
    """Answers that count for a quorum, and members with another list."""

    epoch: int
    answers: list[Any] = field(default_factory=list)
    others: list[StoreMember] = field(default_factory=list)

    def add_all(
        self,
        done: Iterable[asyncio.Task],
        pending: dict[asyncio.Task, StoreMember],
    ) -> int:
        """Move finished calls here; return how many do not count."""
        return sum(not self._add(pending.pop(task), task) for task in done)

    def _add(self, member: StoreMember, call: asyncio.Task) -> bool:
        if call.exception() is not None:
            return False
        answer = call.result()
        if answer.epoch != self.epoch:
            self.others.append(member)
        elif answer.is_complete:
            self.answers.append(answer)
            return True
        return False


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
    """

    def __init__(self, calls: MemberCalls, zone: str) -> None:
        self._calls = calls
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
        return tuple(walk_chain(turn_id, known.get))

    async def _find_turn(
        self,
        turn_id: str,
        program_id: str,
        known: dict[str, TurnRecord],
    ) -> bool:
        """Query the nearest member of the program's group, then all others.

        A turn is certainly absent if all members have complete records by this
        gateway's list and lack it, and so few earlier members may still hold
        records of their own that one of its copies would be on the others.

        :param turn_id: id of the turn.
        :param program_id: program of the caller.
        :param known: turns by id; the turns that are found are added.
        :returns: whether the turn certainly does not exist.
        """
        view = self._calls.view()
        group = replica_group(program_id, view.members, self._lost_disks_max)
        nearest = self._reach.nearest_first(group, self._zone)[:1]
        others = [member for member in view.members if member not in nearest]
        denied = set()
        for queried in (nearest, others):
            chains = await self._fetch_from(queried, turn_id, view.epoch)
            known.update(
                (turn.turn_id, turn)
                for chain in chains.values()
                for turn in chain.turns
            )
            if turn_id in known:
                return False
            denied.update(
                name
                for name, chain in chains.items()
                if chain.is_complete and chain.epoch == view.epoch
            )
        is_absent = (
            bool(view.current_names)
            and view.current_names <= denied
            and len(view.former_names) <= self._lost_disks_max
        )
        _log.info(
            'turn not found',
            extra={
                'turn': turn_id,
                'program': program_id,
                'is_absent': is_absent,
                'epoch': view.epoch,
                'members': len(view.current_names),
                'denials': len(denied),
                'former_members': len(view.former_names),
            },
        )
        return is_absent

    async def _fetch_from(
        self,
        members: Sequence[StoreMember],
        turn_id: str,
        epoch: int,
    ) -> dict[str, TurnChain]:
        """Ask members for a turn until one of them has it.

        :returns: answers by the name of the member.
        """
        message = FetchTurn(turn_id=turn_id, epoch=epoch)
        pending = self._start_calls(members, message, TurnChain)
        votes = _Votes(epoch)
        chains: dict[str, TurnChain] = {}
        while pending and not _has_turn(chains.values(), turn_id):
            done, _ = await asyncio.wait(
                pending, return_when=asyncio.FIRST_COMPLETED
            )
            finished = {pending[task].name: task for task in done}
            votes.add_all(done, pending)
            chains |= {
                name: task.result()
                for name, task in finished.items()
                if task.exception() is None
            }
        for task in pending:
            task.add_done_callback(_ignore_result)
        if not _has_turn(chains.values(), turn_id):
            await self._sync_others(votes.others)
        return chains

    async def _sync_others(self, members: Iterable[StoreMember]) -> bool:
        """Exchange the list with members that answered by another one.

        :returns: whether there were any.
        """
        syncs = [self._calls.sync_members(member) for member in members]
        await asyncio.gather(*syncs)
        return bool(syncs)

    async def _store_with_retries(
        self,
        message: LoggedMessage,
        answer_class: type,
        timeout_s: float,
    ) -> list[Any]:
        deadline_s = time.monotonic() + timeout_s
        has_synced = False
        while True:
            votes = await self._store_once(message, answer_class)
            if len(votes.answers) >= quorum_size(self._lost_disks_max):
                return votes.answers
            if time.monotonic() + RETRY_DELAY_S > deadline_s:
                raise QuorumError(
                    f'only {len(votes.answers)} members stored '
                    f'{message.turn_id}',
                )
            # The first difference is settled at once; one that stays is not.
            has_met_others = await self._sync_others(votes.others)
            if has_synced or not has_met_others:
                await asyncio.sleep(RETRY_DELAY_S)
            has_synced = has_met_others

    async def _store_once(
        self, message: LoggedMessage, answer_class: type
    ) -> _Votes:
        """Send a record to a quorum of near members; add others on failure.

        All answers count for the same list of members.
        """
        view = self._calls.view()
        message = replace(message, epoch=view.epoch)
        group = self._reach.nearest_first(
            replica_group(
                message.program_id, view.members, self._lost_disks_max
            ),
            self._zone,
        )
        votes = _Votes(view.epoch)
        needed = quorum_size(self._lost_disks_max)
        spare = group[needed:]
        pending = self._start_calls(group[:needed], message, answer_class)
        try:
            while pending and len(votes.answers) < needed:
                done, _ = await asyncio.wait(
                    pending,
                    timeout=HEDGE_DELAY_S if spare else None,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                # Call one more member for each failure, or if none answered
                # within the hedging delay.
                count = votes.add_all(done, pending) or int(not done)
                pending |= self._start_calls(
                    spare[:count], message, answer_class
                )
                spare = spare[count:]
        finally:
            # Calls in flight are not cancelled: they only add a copy.
            for task in pending:
                task.add_done_callback(_ignore_result)
        return votes

    def _start_calls(
        self,
        members: Iterable[StoreMember],
        message: LoggedMessage | FetchTurn,
        answer_class: type,
    ) -> dict[asyncio.Task, StoreMember]:
        return {
            asyncio.create_task(
                self._calls.call(member, message, answer_class, CALL_TIMEOUT_S)
            ): member
            for member in members
        }


def _has_turn(chains: Iterable[TurnChain], turn_id: str) -> bool:
    return any(
        turn.turn_id == turn_id for chain in chains for turn in chain.turns
    )


def _first_missing(turn_id: str, known: dict[str, TurnRecord]) -> str:
    """Return the id of the newest unknown turn of a chain, or empty."""
    for turn in walk_chain(turn_id, known.get):
        turn_id = turn.previous_id
    return '' if turn_id in known else turn_id


def _ignore_result(task: asyncio.Task) -> None:
    if not task.cancelled():
        task.exception()
