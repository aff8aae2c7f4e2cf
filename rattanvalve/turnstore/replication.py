"""Replication: pulls the records placed on this store from other members."""

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
#: Number of members up to which the pull interval is constant. Above it, the
#: interval grows in proportion, so that the pull rate of one member does not
#: grow with the number of members.
PULL_BASE_MEMBERS = 8
PULL_TIMEOUT_S = 1.0
FETCH_BATCH_SIZE = 100

_log = part_logger(LogPart.TURNS)


@dataclass(slots=True)
class PullState:
    """Progress of pulling the records of one member.

    ``position`` is the position in its arrival order of the next record to
    list, valid for ``incarnation`` and ``members_version`` only.
    ``is_at_end`` is true once all of its records were pulled, and
    ``last_answer_s`` is the monotonic time of its last answer in seconds.
    """

    incarnation: str = ''
    position: int = 0
    members_version: int = 0
    is_at_end: bool = False
    last_answer_s: float = 0


def is_caught_up(
    own_name: str,
    is_former_member: bool,
    view: MembersView,
    pulled: dict[str, PullState],
    lost_disks_max: int,
) -> bool:
    """Check whether this store has every acknowledged record it must have.

    Each acknowledged record is on ``lost_disks_max + 1`` disks. So at most
    ``lost_disks_max`` disks may be unread, including this one if it was lost.

    :param own_name: name of this member.
    :param is_former_member: whether this member may have acknowledged records
        on a disk that was lost.
    :param view: all members.
    :param pulled: replication state of each other member, by name.
    :param lost_disks_max: number of simultaneous disk losses to tolerate.
    :returns: whether the answers of this store are authoritative for records
        that it does not find.
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
    """Runs one pull task for each other member.

    :param own_name: name of this member.
    :param turn_log: records of this store.
    :param pool: connections to the other members.
    :param view: returns the current members.
    :param placement: determines which members store a program's records.
    :param on_pull_complete: called each time all records of a member were
        pulled.
    """

    def __init__(
        self,
        own_name: str,
        turn_log: TurnLog,
        pool: PeerPool,
        view: Callable[[], MembersView],
        placement: RecordPlacement,
        on_pull_complete: Callable[[], Awaitable[None]],
    ) -> None:
        self.pulled: dict[str, PullState] = {}
        self._own_name = own_name
        self._turn_log = turn_log
        self._pool = pool
        self._view = view
        self._placement = placement
        self._on_pull_complete = on_pull_complete
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
            # The timeout of a new member starts when it is first seen.
            self.pulled[name] = PullState(last_answer_s=time.monotonic())
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
        return PULL_INTERVAL_S * max(member_count / PULL_BASE_MEMBERS, 1)

    async def _pull(self, name: str) -> None:
        state = self.pulled[name]
        view = self._view()
        member = _find_member(view.members, name)
        if member is None:
            return
        if state.members_version != view.version:
            # Other programs may be placed here now, so all keys are listed
            # again.
            state.members_version = view.version
            state.position = 0
        is_end = False
        while not is_end:
            is_end = await self._pull_page(member, state, view)
        state.is_at_end = True
        await self._on_pull_complete()

    async def _pull_page(
        self,
        member: StoreMember,
        state: PullState,
        view: MembersView,
    ) -> bool:
        listed = await self._request(
            member,
            ListRecords(
                member=self._own_name,
                after=state.position,
                members_version=view.version,
            ),
            RecordList,
        )
        state.last_answer_s = time.monotonic()
        if listed.incarnation != state.incarnation:
            # Positions are valid only within one run of the other member.
            is_restart = bool(state.position)
            state.incarnation = listed.incarnation
            state.position = 0
            if is_restart:
                return False
        wanted = [key.key for key in listed.keys if self._is_wanted(key)]
        for start in range(0, len(wanted), FETCH_BATCH_SIZE):
            await self._fetch(member, wanted[start : start + FETCH_BATCH_SIZE])
        state.position = listed.next_after
        return listed.is_end

    async def _fetch(self, member: StoreMember, keys: list[str]) -> None:
        batch = await self._request(
            member,
            FetchRecords(keys=tuple(keys)),
            RecordBatch,
        )
        await asyncio.gather(*map(self._turn_log.store_replica, batch.records))

    def _is_wanted(self, key: RecordKey) -> bool:
        if key.key in self._turn_log.index:
            return False
        return self._placement.is_placed_on(self._own_name, key.program_id)

    async def _request(self, member: StoreMember, message, response_class):
        response = await self._pool.call(
            member.address, message, PULL_TIMEOUT_S
        )
        if not isinstance(response, response_class):
            raise PeerError(f'unexpected {type(response).__name__}')
        return response


def _find_member(
    members: Sequence[StoreMember], name: str
) -> StoreMember | None:
    return next((member for member in members if member.name == name), None)
