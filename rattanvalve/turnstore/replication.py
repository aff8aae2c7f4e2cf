"""Pulls the records that this store should have from the other members."""

import asyncio
import random
import time
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass

from rattanvalve.errors import FrameError, PeerError
from rattanvalve.logs import LogPart, part_logger
from rattanvalve.peers import PeerPool
from rattanvalve.sharedstate.members import MembersView, StoreMember
from rattanvalve.turn_messages import (
    FetchRecords,
    ListRecords,
    RecordBatch,
    RecordKey,
    RecordList,
)
from rattanvalve.turnstore.placement import RecordPlacement
from rattanvalve.turnstore.turnlog import TurnLog

__all__ = ('PullState', 'Replicator', 'is_caught_up')

PULL_INTERVAL_S = 0.25
#: Members up to which that interval holds; it grows in proportion beyond, so
#: that the pulls of one member do not grow with their number.
PULL_MEMBERS = 8
PULL_TIMEOUT_S = 1.0
FETCH_COUNT = 100

_log = part_logger(LogPart.TURNS)


@dataclass(slots=True)
class PullState:
    """How far the records of one member were pulled."""

    incarnation: str = ''
    after: int = 0
    members_version: int = 0
    is_at_end: bool = False
    reached_s: float = 0


def is_caught_up(
    own_name: str,
    is_former_member: bool,
    view: MembersView,
    pulled: dict[str, PullState],
    lost_disks_max: int,
) -> bool:
    """Tell whether no confirmed record can be missing here.

    Each confirmed record is on one disk more than may be lost, so at most
    ``lost_disks_max`` disks may be unread, counting this one if it was lost.

    :param own_name: name of this member.
    :param is_former_member: whether this member may have confirmed records
        on a disk that is lost.
    :param view: all members.
    :param pulled: how far each other member was pulled.
    :param lost_disks_max: disks that may be lost at once.
    :returns: whether this store may answer for what it does not find.
    """
    if not view.members:
        return False
    unread = sum(
        not pulled.get(member.name, PullState()).is_at_end
        for member in view.members
        if member.name != own_name
    )
    return unread + is_former_member <= lost_disks_max


class Replicator:
    """One pulling task for each other member.

    :param own_name: name of this member.
    :param turn_log: records of this store.
    :param pool: connections to the other members.
    :param view: gives the members.
    :param placement: tells which members keep the records of a program.
    :param note_progress: called after each complete pull.
    """

    def __init__(
        self,
        own_name: str,
        turn_log: TurnLog,
        pool: PeerPool,
        view: Callable[[], MembersView],
        placement: RecordPlacement,
        note_progress: Callable[[], Awaitable[None]],
    ) -> None:
        self.pulled: dict[str, PullState] = {}
        self._own_name = own_name
        self._turn_log = turn_log
        self._pool = pool
        self._view = view
        self._placement = placement
        self._note_progress = note_progress
        self._tasks: dict[str, asyncio.Task] = {}

    async def run(self) -> None:
        """Pull from all other members until cancelled."""
        try:
            while True:
                self._start_tasks()
                await asyncio.sleep(PULL_INTERVAL_S)
        finally:
            for task in self._tasks.values():
                task.cancel()

    def _start_tasks(self) -> None:
        names = {member.name for member in self._view().members}
        names.discard(self._own_name)
        for name in self._tasks.keys() - names:
            self._tasks.pop(name).cancel()
            self.pulled.pop(name, None)
        for name in names - self._tasks.keys():
            # A new member gets its full time to answer for the first time.
            self.pulled[name] = PullState(reached_s=time.monotonic())
            self._tasks[name] = asyncio.create_task(self._pull_forever(name))

    async def _pull_forever(self, name: str) -> None:
        while True:
            try:
                await self._pull(name)
            except (PeerError, FrameError) as error:
                _log.debug(
                    'pull failed',
                    extra={'member': name, 'error': str(error)},
                )
            except OSError as error:
                _log.error('disk failed', extra={'error': str(error)})
            await asyncio.sleep(self._interval_s() * random.uniform(0.7, 1.3))

    def _interval_s(self) -> float:
        member_count = len(self._view().members)
        return PULL_INTERVAL_S * max(member_count / PULL_MEMBERS, 1)

    async def _pull(self, name: str) -> None:
        state = self.pulled[name]
        view = self._view()
        member = _find(view.members, name)
        if member is None:
            return
        if state.members_version != view.version:
            # Other programs may belong here now, so all keys are read again.
            state.members_version = view.version
            state.after = 0
        is_end = False
        while not is_end:
            is_end = await self._pull_page(member, state, view)
        state.is_at_end = True
        await self._note_progress()

    async def _pull_page(
        self,
        member: StoreMember,
        state: PullState,
        view: MembersView,
    ) -> bool:
        listed = await self._ask(
            member,
            ListRecords(
                member=self._own_name,
                after=state.after,
                members_version=view.version,
            ),
            RecordList,
        )
        state.reached_s = time.monotonic()
        if listed.incarnation != state.incarnation:
            # Positions of another start mean nothing.
            is_restart = bool(state.after)
            state.incarnation = listed.incarnation
            state.after = 0
            if is_restart:
                return False
        wanted = [key.key for key in listed.keys if self._is_wanted(key)]
        for start in range(0, len(wanted), FETCH_COUNT):
            await self._fetch(member, wanted[start : start + FETCH_COUNT])
        state.after = listed.next_after
        return listed.is_end

    async def _fetch(self, member: StoreMember, keys: list[str]) -> None:
        batch = await self._ask(
            member,
            FetchRecords(keys=tuple(keys)),
            RecordBatch,
        )
        await asyncio.gather(*map(self._turn_log.take_over, batch.records))

    def _is_wanted(self, key: RecordKey) -> bool:
        if key.key in self._turn_log.index:
            return False
        return self._placement.is_kept_by(self._own_name, key.program_id)

    async def _ask(self, member: StoreMember, message, answer_class):
        answer = await self._pool.call(member.address, message, PULL_TIMEOUT_S)
        if not isinstance(answer, answer_class):
            raise PeerError(f'unexpected {type(answer).__name__}')
        return answer


def _find(members: Sequence[StoreMember], name: str) -> StoreMember | None:
    return next((member for member in members if member.name == name), None)
