"""Random search for turns that are lost before their retention has passed.

Programs pause for most of the retention between two turns, while one store
after the other loses its disk, is stopped or cut off. Wall clock and monotonic
time are virtual, so records expire within a play.
"""

import asyncio
import itertools
import random
import time
from contextlib import contextmanager
from unittest import mock

from rattanvalve.errors import QuorumError
from rattanvalve.turn_messages import TurnRecord
from tests.membership_simulation import (
    LOST_DISKS_MAX,
    START_S,
    Event,
    MemberWorld,
    play,
)

__all__ = ('losses_in_turn', 'play_pauses', 'random_faults')

RETENTION_S = 60.0
TURN_COUNT = 4
PAUSES_S = (0.75 * RETENTION_S, 0.95 * RETENTION_S)
#: Time over which the programs begin.
BEGIN_S = 6.0
DURATION_S = 180.0
CALM_S = 30.0
PROGRAM_COUNT = 400
#: Time to read one record from another store, so that a store that has lost its
#: disk gets new turns while it still reads the old ones.
TRANSFER_S = 0.009
#: Time in which a store that is back reads the records of the others; no other
#: store has a fault before.
CATCH_UP_S = 4.5
AWAY_S = 1.0
COMMIT_TIMEOUT_S = 2.0
FETCH_TIMEOUT_S = 1.0
#: Share of the turns that are continued by another program.
HANDED_OVER_SHARE = 0.3


def losses_in_turn(*times_s):
    """Create a schedule in which one store after the other loses its disk."""
    return [
        Event(at_s, 'wipe', number, AWAY_S)
        for number, at_s in enumerate(times_s)
    ]


def random_faults(seed):
    """Create a schedule of faults, each after recovery from the one before."""
    rng = random.Random(seed)
    events = []
    at_s = START_S + BEGIN_S
    while at_s < DURATION_S - CALM_S:
        kind = rng.choice(('wipe', 'wipe', 'wipe', 'kill', 'cut'))
        for_s = AWAY_S if kind == 'wipe' else rng.choice((1.0, 5.0, 25.0))
        events.append(Event(round(at_s, 2), kind, rng.randrange(99), for_s))
        at_s += for_s + AWAY_S + CATCH_UP_S + rng.choice((0, 2, 8))
    return events


def play_pauses(seed, schedule, store_count=3):
    """Play a schedule; return turns that are lost or have too few copies."""

    def create_world(seed):
        return PauseWorld(seed, store_count=store_count)

    with _virtual_wall_clock():
        return play(seed, schedule, create_world=create_world)


class PauseWorld(MemberWorld):
    """Turn stores, and callers that pause for most of the retention."""

    duration_s = DURATION_S
    line_count = PROGRAM_COUNT
    transfer_s = TRANSFER_S

    def has_recovered(self):
        """Return whether all stores run, are reached and complete."""
        return not self.cut_hosts and all(map(self._is_complete, self.stores))

    async def _run(self, number):
        """Run one chain of turns, which several programs may continue."""
        await asyncio.sleep(self.random.uniform(0, BEGIN_S))
        program = f'{number}-0'
        previous = ''
        for count in range(TURN_COUNT):
            turn_id = f'{number}-turn-{count}'
            if previous:
                await self._check_chain(previous, program, count)
            await self._commit(turn_id, program, previous)
            previous = turn_id
            if self.random.random() < HANDED_OVER_SHARE:
                program = f'{number}-{count + 1}'
            await asyncio.sleep(self.random.uniform(*PAUSES_S))

    async def _commit(self, turn_id, program, previous):
        """Store a turn, as a caller who tries again until it is served."""
        record = TurnRecord(
            turn_id=turn_id,
            program_id=program,
            previous_id=previous,
            prompt=b'prompt',
            retention_ms=int(RETENTION_S * 1000),
        )
        for _ in itertools.count():
            client = self._random_client()
            try:
                return await client.commit(record, COMMIT_TIMEOUT_S)
            except QuorumError:
                await asyncio.sleep(0)

    async def _check_chain(self, turn_id, program, length):
        """Fetch a chain, and count its copies if all stores have recovered."""
        try:
            chain = await self._random_client().fetch(
                turn_id, program, FETCH_TIMEOUT_S
            )
        except QuorumError:
            if self.has_recovered():
                self._find(f'turn {turn_id} cannot be read')
            return
        if chain is None or len(chain) != length:
            self._find(f'turn {turn_id} was denied')
            return
        if self.has_recovered():
            for turn in chain:
                self._count_copies(turn.turn_id)

    def _count_copies(self, turn_id):
        copies = sum(
            turn_id in process.product._replica.turn_log.index.turns
            for host, process in self.processes.items()
            if host in self.stores
        )
        if copies <= LOST_DISKS_MAX:
            self._find(f'turn {turn_id} has {copies} copies')

    def _random_client(self):
        host = self.random.choice(self.gateway_hosts())
        return self.processes[host].client


@contextmanager
def _virtual_wall_clock():
    """Let the wall clock follow the monotonic clock, which may be virtual."""

    def now_s():
        return time.monotonic()

    def now_ns():
        return int(time.monotonic() * 1_000_000_000)

    with (
        mock.patch.object(time, 'time', now_s),
        mock.patch.object(time, 'time_ns', now_ns),
    ):
        yield
