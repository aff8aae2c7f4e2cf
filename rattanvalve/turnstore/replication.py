"""Replication: pulls the records placed on this store from other members."""

import asyncio
import logging
import random
import time
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field

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
from rattanvalve.turnstore.authority import Authority
from rattanvalve.turnstore.placement import RecordPlacement
from rattanvalve.turnstore.turnlog import TurnLog

__all__ = ('PullState', 'Replicator', 'record_attempt')

PULL_INTERVAL_S = 0.25
#: Number of members up to which the pull interval is constant. Above it, the
#: interval grows in proportion, so that the pull rate of one member does not
#: grow with the number of members.
PULL_BASE_MEMBERS = 8
PULL_TIMEOUT_S = 1.0
FETCH_BATCH_SIZE = 100
#: Time after which a member is asked again for turns that it did not have.
MISSING_RETRY_S = 2.0
#: Longest time between two attempts that counts as silence of a member; in a
#: longer one this process itself stood still.
ATTEMPT_MAX_S = 2 * PULL_TIMEOUT_S

_log = part_logger(LogPart.TURNS)


@dataclass(slots=True)
class PullState:
    """Progress of pulling the records of one member.

    ``position`` is the position in its arrival order of the next record to
    list, valid for ``incarnation`` and ``epoch`` only. ``read_epoch`` is the
    newest epoch at which all of its records were read after it had adopted
    that epoch, ``read_s`` the Unix time in seconds at which the last such
    reading began. ``lacked`` are the keys of missing turns that the member did
    not have, ``asked_s`` is the monotonic time from which they were collected.
    ``silent_s`` is the time in seconds for which it has not answered while most
    members did; ``attempted_s`` is the monotonic time of the last attempt.
    """

    incarnation: str = ''
    position: int = 0
    epoch: int = 0
    read_epoch: int = 0
    read_s: float = 0
    lacked: set[str] = field(default_factory=set)
    asked_s: float = 0
    silent_s: float = 0
    attempted_s: float = 0
    is_failing: bool = False


def record_attempt(
    state: PullState,
    now_s: float,
    *,
    has_answered: bool,
    reaches_majority: bool,
) -> None:
    """Record whether a member answered, and for how long it has been silent.

    Time in which this process stood still or reached only a minority says
    nothing of the member.

    :param state: state of the member; it is changed.
    :param now_s: monotonic time in seconds.
    :param has_answered: whether it answered this attempt.
    :param reaches_majority: whether most members answered their last attempts.
    """
    elapsed_s = now_s - state.attempted_s
    state.attempted_s = now_s
    state.is_failing = not has_answered
    if has_answered or not reaches_majority:
        state.silent_s = 0
    else:
        state.silent_s += min(elapsed_s, ATTEMPT_MAX_S)


class Replicator:
    """Runs one pull task for each other member.

    :param turn_log: records of this store.
    :param pool: connections to the other members.
    :param view: returns the list of members.
    :param placement: determines which members store a program's records.
    :param authority: name and epochs of this store.
    :param on_pull_complete: called each time all records of a member were
        pulled.
    :param sync_members: exchanges the list with a member that has another one.
    """

    def __init__(
        self,
        turn_log: TurnLog,
        pool: PeerPool,
        view: Callable[[], MembersView],
        placement: RecordPlacement,
        authority: Authority,
        on_pull_complete: Callable[[], Awaitable[None]],
        sync_members: Callable[[StoreMember], Awaitable[None]],
    ) -> None:
        self.pulled: dict[str, PullState] = {}
        self._own_name = authority.own_name
        self._turn_log = turn_log
        self._pool = pool
        self._view = view
        self._placement = placement
        self._authority = authority
        self._on_pull_complete = on_pull_complete
        self._sync_members = sync_members
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

    def has_read(self, name: str) -> bool:
        """Return whether all records of a member were read at this epoch.

        :param name: name of the member.
        :returns: whether it has refused records of earlier epochs since.
        """
        state = self.pulled.get(name)
        return state is not None and state.read_epoch >= self._view().epoch

    def read_times_s(self) -> dict[str, float]:
        """Return when all records of the members were last read.

        :returns: Unix time in seconds by the name of the member.
        """
        return {
            name: state.read_s
            for name, state in self.pulled.items()
            if self.has_read(name)
        }

    def _start_tasks(self) -> None:
        names = {member.name for member in self._view().members}
        names.discard(self._own_name)
        for name in self._tasks.keys() - names:
            self._tasks.pop(name).cancel()
            self.pulled.pop(name, None)
        for name in names - self._tasks.keys():
            self.pulled[name] = PullState(attempted_s=time.monotonic())
            self._tasks[name] = asyncio.create_task(self._pull_forever(name))

    async def _pull_forever(self, name: str) -> None:
        while True:
            await self._attempt(name)
            await asyncio.sleep(self._interval_s() * random.uniform(0.7, 1.3))

    async def _attempt(self, name: str) -> None:
        """Pull once; an answer of any kind ends the silence of the member."""
        state = self.pulled[name]
        was_failing = state.is_failing
        has_answered = True
        try:
            await self._pull(name)
        except (PeerError, FrameError) as error:
            has_answered = False
            # The first failure in a row tells the cause, the others repeat it.
            _log.log(
                _FAILURE_LEVELS[was_failing],
                'pull failed',
                extra={'member': name, 'error': str(error)},
            )
        except OSError as error:
            _log.error('disk failed', extra={'error': str(error)})
        record_attempt(
            state,
            time.monotonic(),
            has_answered=has_answered,
            reaches_majority=self._reaches_majority(),
        )

    def _reaches_majority(self) -> bool:
        names = self._view().current_names
        failing = sum(
            state.is_failing
            for name, state in self.pulled.items()
            if name in names
        )
        return 2 * (len(names) - failing) > len(names)

    def _interval_s(self) -> float:
        member_count = len(self._view().members)
        return PULL_INTERVAL_S * max(member_count / PULL_BASE_MEMBERS, 1)

    async def _pull(self, name: str) -> None:
        state = self.pulled[name]
        began_s = time.time()
        view = self._view()
        member = _find_member(view.members, name)
        if member is None:
            return
        if state.epoch != view.epoch:
            # Other programs may be placed here now, so all keys are listed
            # again.
            state.epoch = view.epoch
            state.position = 0
        while True:
            listed = await self._pull_page(member, state, view)
            if listed is not None and listed.is_end:
                break
        await self._fetch_missing(member, state, time.monotonic())
        if listed.epoch != view.epoch:
            await self._sync_members(member)
        if listed.is_intact and listed.epoch >= view.epoch:
            state.read_epoch = view.epoch
            state.read_s = began_s
            await self._on_pull_complete()

    async def _pull_page(
        self,
        member: StoreMember,
        state: PullState,
        view: MembersView,
    ) -> RecordList | None:
        """Read one page; ``None`` if listing has to begin again."""
        listed = await self._request(
            member,
            ListRecords(
                member=self._own_name,
                after=state.position,
                epoch=view.epoch,
                complete_epoch=self._authority.complete_epoch,
            ),
            RecordList,
        )
        if listed.incarnation != state.incarnation:
            # Positions are valid only within one run of the other member.
            is_restart = bool(state.position)
            state.incarnation = listed.incarnation
            state.position = 0
            if is_restart:
                return None
        wanted = [key.key for key in listed.keys if self._is_wanted(key)]
        for start in range(0, len(wanted), FETCH_BATCH_SIZE):
            await self._fetch(member, wanted[start : start + FETCH_BATCH_SIZE])
        state.position = listed.next_after
        return listed

    async def _fetch_missing(
        self, member: StoreMember, state: PullState, now_s: float
    ) -> None:
        """Fetch the turns that stored turns continue.

        They are not listed if they belong to a program that is placed on other
        members, or were listed before this store lost them.
        """
        if now_s > state.asked_s + MISSING_RETRY_S:
            state.lacked.clear()
            state.asked_s = now_s
        while True:
            missing = self._turn_log.missing_keys()
            keys = [key for key in missing if key not in state.lacked]
            if not keys:
                return
            await self._fetch(member, keys[:FETCH_BATCH_SIZE])
            state.lacked.update(keys[:FETCH_BATCH_SIZE])

    async def _fetch(self, member: StoreMember, keys: list[str]) -> None:
        """Fetch records, in several messages if they are large."""
        while keys:
            batch = await self._request(
                member,
                FetchRecords(keys=tuple(keys)),
                RecordBatch,
            )
            await asyncio.gather(
                *map(self._turn_log.store_replica, batch.records)
            )
            if batch.key_count < 1:
                raise PeerError('a batch of records without progress')
            keys = keys[batch.key_count :]

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


#: Log level of a failed pull by whether the one before failed as well.
_FAILURE_LEVELS = {False: logging.WARNING, True: logging.DEBUG}


def _find_member(
    members: Sequence[StoreMember], name: str
) -> StoreMember | None:
    return next((member for member in members if member.name == name), None)
