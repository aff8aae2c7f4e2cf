"""Random search for turns that are denied and budgets that are exceeded.

Turn stores and gateways run on virtual time, with the real log index,
replication, membership, exchange of documents and client of the turn stores.
Disks, connections and the platform's store are stand-ins. Members are added,
retired, replaced, emptied, stopped, cut off and split at random moments.
"""

import asyncio
import itertools
import random
import shutil
import tempfile
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass, replace
from pathlib import Path
from unittest import mock

from rattanvalve.channels import Address
from rattanvalve.errors import PeerError, QuorumError, StoreConflictError
from rattanvalve.gateway.process import GatewayProcess
from rattanvalve.gateway.relays import RelayService
from rattanvalve.platform.names import KIND_RETIREMENTS
from rattanvalve.platform.nodefile import NodeSettings
from rattanvalve.platform.objects import Changes
from rattanvalve.sharedstate.document_tasks import peer_handlers
from rattanvalve.turn_messages import RecordBatch, Reserve, TurnRecord
from rattanvalve.turnstore.disklog import Location
from rattanvalve.turnstore.process import TurnStoreProcess
from tests.staleness_simulation import HANGS, PORT, UP, StoreLink, World
from tests.virtual_time import virtual_time

__all__ = ('Event', 'MemberWorld', 'find_minimal', 'play', 'random_schedule')

SECRET = b's' * 32
LOST_DISKS_MAX = 1
START_S = 4.0
DURATION_S = 30.0
#: Time without new faults at the end, in which all stores are back.
CALM_S = 10.0
SYNC_S = 0.002
RETENTION_MS = 600_000
TURN_TOKENS = 10
BUDGET_TOKENS = 8 * TURN_TOKENS
LINE_COUNT = 16
CALL_TIMEOUT_S = 1.0
RESTART_S = 1.0


@dataclass(frozen=True)
class Event:
    """A fault or planned change: when, what, at which store, for how long."""

    at_s: float
    kind: str
    index: int
    for_s: float


def random_schedule(seed, kinds=()):
    """Create a schedule of events that overlap."""
    rng = random.Random(seed)
    at_s = START_S
    events = []
    while at_s < DURATION_S - CALM_S:
        kind = rng.choice(kinds or _RANDOM_KINDS)
        for_s = rng.choice((0.5, 1.5, 3, 6, 9))
        events.append(Event(round(at_s, 2), kind, rng.randrange(99), for_s))
        at_s += rng.choice((0.05, 0.3, 1, 2, 4))
    return events


def find_minimal(seed, schedule):
    """Remove events as long as a rule is still broken."""
    for event in tuple(schedule):
        shorter = [kept for kept in schedule if kept is not event]
        if play(seed, shorter):
            schedule = shorter
    return schedule


def play(seed, schedule, is_placed=bool, create_world=None):
    """Play a schedule; return the broken rules.

    :param is_placed: selects the ids of the programs that are played.
    :param create_world: creates the world from the seed.
    """
    with _stand_ins(), _seeded(seed), virtual_time() as loop:
        world = (create_world or MemberWorld)(seed)
        world.is_placed = is_placed
        try:
            loop.run_until_complete(world.play_schedule(schedule))
        finally:
            world.close()
    return world.findings


class Disk:
    """Content of the data folder of one turn store."""

    def __init__(self, folder):
        self.folder = folder
        self.records = []

    def clear(self):
        """Lose everything."""
        self.records = []
        shutil.rmtree(self.folder)
        self.folder.mkdir()


class MemoryLog:
    """Log of records in memory that outlasts its process."""

    #: Disk of the process that is being built.
    disk = None

    def __init__(self, _):
        self._disk = MemoryLog.disk
        self._is_open = True

    def replay(self):
        """Iterate over the records."""
        for index, record in enumerate(self._disk.records):
            yield Location(0, index, len(record)), record

    async def append(self, record):
        """Keep a record after the time of a sync."""
        await asyncio.sleep(SYNC_S)
        if not self._is_open:
            raise OSError('the process has ended')
        self._disk.records.append(record)
        return Location(0, len(self._disk.records) - 1, len(record))

    def read(self, location):
        """Return the content of a record."""
        return self._disk.records[location.offset]

    def drop_segments(self, used):
        """Keep everything; no record expires here."""

    def close(self):
        """Refuse further writes."""
        self._is_open = False


class MemberStoreLink(StoreLink):
    """Client of the platform's store that also writes."""

    async def list_objects(self, kind, timeout_s=CALL_TIMEOUT_S):
        """Return all objects of a kind."""
        return await super().list_objects(kind, timeout_s)

    async def create(self, kind, name, spec):
        """Create an object that does not exist."""
        await self._write(kind, name, 0, spec)

    async def replace(self, kind, entry, spec):
        """Replace an object of a known revision."""
        await self._write(kind, entry.name, entry.revision, spec)

    async def delete(self, kind, entry):
        """Delete an object of a known revision."""
        await self._write(kind, entry.name, entry.revision, None)

    async def write_status(self, kind, name, status):
        """Write the status of an object."""

        async def write():
            self._world.statuses[name] = status['state']

        await self._call(write, CALL_TIMEOUT_S)

    async def _write(self, kind, name, revision, spec):
        world = self._world

        async def write():
            stored = world.stored.get((kind, name))
            stored_revision = stored.revision if stored else 0
            if stored_revision != revision:
                return False
            if spec is None:
                world.remove(kind, name)
            else:
                world.put(kind, name, spec)
            return True

        if not await self._call(write, CALL_TIMEOUT_S):
            raise StoreConflictError(name)

    async def _watch(self, kind, revision, wait_s):
        world = self._world
        changes = await super()._watch(kind, revision, wait_s)
        removed = {
            name: removed_at
            for (stored_kind, name), removed_at in world.removed.items()
            if stored_kind == kind and removed_at > revision
        }
        written = tuple(
            entry
            for entry in changes.written
            if entry.revision > removed.get(entry.name, 0)
        )
        gone = [name for name in removed if (kind, name) not in world.stored]
        return Changes(written, tuple(gone), changes.revision)


class MemberLinks:
    """Connections of one process to all others; messages may be late."""

    def __init__(self, world, host):
        self._world = world
        self._host = host

    async def call(self, address, message, timeout_s):
        """Deliver a message and return the answer, if it comes in time."""
        delivery = asyncio.ensure_future(self._deliver(address.host, message))
        self._world.deliveries.add(delivery)
        delivery.add_done_callback(self._world.deliveries.discard)
        try:
            return await asyncio.wait_for(asyncio.shield(delivery), timeout_s)
        except (TimeoutError, OSError) as error:
            delivery.add_done_callback(_ignore_result)
            raise PeerError('no answer') from error

    def close(self):
        """Nothing is open."""

    async def _deliver(self, host, message):
        await self._pass(host)
        peer = self._world.processes.get(host)
        if peer is None:
            raise PeerError('connection refused')
        answers = []

        async def send(answer):
            answers.append(answer)

        await peer.handlers[type(message)](message, send)
        if isinstance(answers[0], RecordBatch):
            await asyncio.sleep(
                self._world.transfer_s * len(answers[0].records)
            )
        await self._pass(host)
        if self._world.processes.get(host) is not peer:
            raise PeerError('connection lost')
        return answers[0]

    async def _pass(self, host):
        world = self._world
        while world.is_cut(self._host, host):  # noqa: ASYNC110 - no event
            await asyncio.sleep(0.02)
        latency_s = world.random.choice((0.001, 0.002, 0.004, 0.03))
        await asyncio.sleep(latency_s)


class MemberProcess:
    """A turn store or gateway of the product, without its listeners."""

    def __init__(self, world, node, disk=None):
        self.node = node
        self.disk = disk
        self._links = MemberLinks(world, node.host)
        store = MemberStoreLink(world, node.host)
        MemoryLog.disk = disk
        module = 'gateway' if disk is None else 'turnstore'
        with mock.patch(
            f'rattanvalve.{module}.process.PeerPool', lambda _: self._links
        ):
            if disk is None:
                self.product = GatewayProcess(node, SECRET)
                tasks = self.product._background_tasks(store)
                own_handlers = RelayService(
                    self._links,
                    self.product._state.known_members,
                    self.product._calls.reaches_stores,
                ).handlers()
            else:
                self.product = TurnStoreProcess(node, SECRET)
                self.product.load()
                tasks = self.product._tasks(store)
                own_handlers = self.product._service.handlers()
        self.handlers = own_handlers | peer_handlers(self.product._state)
        self._tasks = [asyncio.ensure_future(task()) for task in tasks]

    @property
    def client(self):
        """Return the gateway's client of the turn stores."""
        return self.product._ingress._turns._client

    def is_complete(self):
        """Return whether the turn store counts as complete."""
        return self.product._replica.authority.is_complete()

    def stop(self):
        """End at once, without any clean-up."""
        if self.disk is not None:
            self.product._replica.turn_log.close()
        self.raise_failures()
        for task in self._tasks:
            task.cancel()

    def raise_failures(self):
        """Raise the exception of a task that has ended with one."""
        for task in self._tasks:
            if task.done():
                task.result()


class MemberWorld(World):
    """The platform's store, turn stores, gateways, links and callers."""

    duration_s = DURATION_S
    line_count = LINE_COUNT
    #: Time that the transfer of a record between two stores takes.
    transfer_s = 0.0

    def __post_init__(self):
        """Create what all processes share."""
        super().__post_init__()
        self.removed = {}
        self.statuses = {}
        self.deliveries = set()
        self.cut_hosts = set()
        self.half = set()
        self.stores = {}
        self.retiring = set()
        self.is_losing_disk = False
        self.is_placed = bool
        self._numbers = itertools.count(1)
        self._folder = Path(tempfile.mkdtemp())

    def close(self):
        """Remove the data folders."""
        shutil.rmtree(self._folder)

    def remove(self, kind, name):
        """Remove an object and wake up the watches."""
        self.revision += 1
        self.stored.pop((kind, name))
        self.removed[kind, name] = self.revision
        self.changed.set()
        self.changed = asyncio.Event()

    def is_cut(self, one, other):
        """Return whether two hosts do not hear each other."""
        is_split = (one in self.half) != (other in self.half)
        both = {one, other}
        stores = both <= self.stores.keys()
        return bool(both & self.cut_hosts) or (stores and is_split)

    async def play_schedule(self, schedule):
        """Start all processes, play the events beside callers."""
        self.change_rules()
        for _ in range(self.store_count):
            self.add_store(is_first_start=True)
        for index in range(self.gateway_count):
            host = f'10.0.1.{index + 1}'
            self.store_links[host] = UP
            node = self._node(f'gateway-{index}', host)
            node = replace(node, callers=node.store, readiness=node.store)
            self.processes[host] = MemberProcess(self, node)
        started_s = self.now_s()
        await asyncio.sleep(START_S / 2)
        lines = [
            asyncio.ensure_future(self._run(n)) for n in range(self.line_count)
        ]
        running = [
            asyncio.ensure_future(self._act(started_s, event))
            for event in schedule
        ]
        await asyncio.sleep(self.duration_s - START_S / 2)
        for process in self.processes.values():
            process.raise_failures()
        for task in (*lines, *running):
            if task.done():
                task.result()
            task.cancel()

    def add_store(self, is_first_start=False):
        """Start a turn store on a new host."""
        number = next(self._numbers)
        host = f'10.0.0.{number}'
        folder = self._folder / f'store-{number}'
        folder.mkdir()
        node = self._node(f'store-{number}', host)
        node = replace(node, data_folder=folder, is_first_start=is_first_start)
        self.store_links[host] = UP
        self.stores[host] = (node, Disk(folder))
        self.start_store(host)

    def is_running(self, host):
        """Return whether a process runs."""
        return host in self.processes

    def start_store(self, host):
        """Start the process of a turn store, unless it is gone for good."""
        if host not in self.stores:
            return
        node, disk = self.stores[host]
        self.processes[host] = MemberProcess(self, node, disk)
        self.stores[host] = (replace(node, is_first_start=False), disk)

    def clear_disk(self, host):
        """Empty the data folder of a turn store."""
        _, disk = self.stores[host]
        disk.clear()

    def stop_store(self, host):
        """Kill the process of a turn store."""
        process = self.processes.pop(host, None)
        if process is not None:
            process.stop()

    @contextmanager
    def disk_loss(self):
        """Yield whether a disk may be lost; no other one is in the block.

        One disk may be lost at a time, until all stores have recovered.
        """
        is_allowed = not self.is_losing_disk and all(
            map(self._is_complete, self.stores)
        )
        self.is_losing_disk |= is_allowed
        yield is_allowed
        if is_allowed:
            self.is_losing_disk = False

    def _is_complete(self, host):
        process = self.processes.get(host)
        return process is not None and process.is_complete()

    def _node(self, name, host):
        return NodeSettings(
            name=name,
            host=host,
            zone='z',
            first_port=PORT,
            callers=None,
            readiness=None,
            seed_hosts=tuple(f'10.0.0.{n + 1}' for n in range(3)),
            store=Address('10.0.9.1', 80),
            data_folder=None,
            is_first_start=False,
            lost_disks_max=LOST_DISKS_MAX,
            memory_mb=100,
            grace_s=8,
            key_revocation_s=5,
        )

    async def _act(self, started_s, event):
        await asyncio.sleep(started_s + event.at_s - self.now_s())
        hosts = sorted(self.stores)
        host = hosts[event.index % len(hosts)]
        await _ACTIONS[event.kind](self, host, event.for_s)

    async def _run(self, number):
        """Run programs: chains of turns through any gateway."""
        names = (f'{number}-{count}' for count in itertools.count())
        for program in filter(self.is_placed, names):
            handed_out = 0
            previous = ''
            for turn in range(2 * BUDGET_TOKENS // TURN_TOKENS):
                turn_id = f'{program}-{turn}'
                is_run, is_whole = await self._turn(program, turn_id, previous)
                handed_out += TURN_TOKENS * is_run
                previous = turn_id if is_whole else previous
                await asyncio.sleep(self.random.uniform(0.01, 0.2))
            if handed_out > BUDGET_TOKENS:
                self._find(f'program {program} got {handed_out} tokens')

    async def _turn(self, program, turn_id, previous):
        """Play one turn; return whether it ran and was stored."""
        client = self.processes[self.random.choice(self.gateway_hosts())].client
        try:
            if previous and await client.fetch(previous, program, 1) is None:
                self._find(f'turn {previous} was denied')
            reserve = Reserve(
                program_id=program,
                turn_id=turn_id,
                tokens=TURN_TOKENS,
                retention_ms=RETENTION_MS,
            )
            entries = await client.reserve(reserve, 1)
        except QuorumError:
            return False, False
        if sum(entry.tokens for entry in entries.values()) > BUDGET_TOKENS:
            return False, False
        record = TurnRecord(
            turn_id=turn_id,
            program_id=program,
            previous_id=previous,
            prompt=b'prompt',
            tokens=TURN_TOKENS,
            retention_ms=RETENTION_MS,
        )
        try:
            await client.commit(record, 2)
        except QuorumError:
            return True, False
        return True, True

    def _find(self, problem):
        self.findings.append(f'{self.now_s() - 1000:.2f} s: {problem}')


async def _add(world, host, for_s):
    for _ in range(world.random.randint(1, 3)):
        if len(world.stores) < 7:
            world.add_store()


async def _add_three(world, host, for_s):
    for _ in range(3):
        world.add_store()


async def _retire(world, host, for_s):
    """Retire a store, and stop it once it reports that it is done."""
    name = world.stores[host][0].name
    if name in world.retiring or len(world.stores) - len(world.retiring) < 4:
        return
    world.retiring.add(name)
    world.put(KIND_RETIREMENTS, name, {'durationS': 10})
    while world.statuses.get(name) != 'done':  # noqa: ASYNC110 - no event
        await asyncio.sleep(0.05)
    world.retiring.discard(name)
    world.stores.pop(host, None)
    world.stop_store(host)


async def _replace(world, host, for_s):
    """Lose a store for good; another one starts instead."""
    with world.disk_loss() as is_allowed:
        if is_allowed:
            world.stop_store(host)
            world.stores.pop(host)
            await asyncio.sleep(RESTART_S)
            world.add_store()


async def _wipe(world, host, for_s):
    with world.disk_loss() as is_allowed:
        if is_allowed:
            await _wipe_now(world, host)
            world.start_store(host)


async def _behind(world, host, for_s):
    """Let a store miss turns, empty another one, stop a third meanwhile."""
    with world.disk_loss() as is_allowed:
        if is_allowed and len(world.stores) >= 3:
            await _miss_and_wipe(world, host, for_s)


async def _miss_and_wipe(world, host, for_s):
    others = [other for other in sorted(world.stores) if other != host]
    wiped, away = others[:2]
    world.cut_hosts.add(host)
    await asyncio.sleep(for_s / 2)
    world.stop_store(away)
    await _wipe_now(world, wiped)
    world.cut_hosts.discard(host)
    world.start_store(wiped)
    await asyncio.sleep(for_s)
    world.start_store(away)


async def _wipe_now(world, host):
    world.stop_store(host)
    world.clear_disk(host)
    await asyncio.sleep(RESTART_S / 2)


async def _kill(world, host, for_s):
    if world.is_running(host):
        world.stop_store(host)
        await asyncio.sleep(for_s)
        world.start_store(host)


async def _kill_all(world, host, for_s):
    hosts = [known for known in world.stores if known in world.processes]
    for known in hosts:
        world.stop_store(known)
    await asyncio.sleep(RESTART_S / 2)
    for known in hosts:
        world.start_store(known)


async def _cut(world, host, for_s):
    """Cut a store off from all processes and from the platform's store."""
    world.cut_hosts.add(host)
    await _lose_link(world, host, for_s)
    world.cut_hosts.discard(host)


async def _lose_link(world, host, for_s):
    world.store_links[host] = HANGS
    await asyncio.sleep(for_s)
    world.store_links[host] = UP


async def _cut_gateway(world, host, for_s):
    """Let a gateway keep an old list."""
    await _cut(world, world.random.choice(world.gateway_hosts()), for_s)


async def _split(world, host, for_s):
    if world.half:
        return
    hosts = sorted(world.stores)
    size = world.random.randint(1, len(hosts) - 1)
    world.half = set(world.random.sample(hosts, size))
    await asyncio.sleep(for_s)
    world.half = set()


_ACTIONS = {
    'add': _add,
    'add three': _add_three,
    'retire': _retire,
    'replace': _replace,
    'wipe': _wipe,
    'behind': _behind,
    'kill': _kill,
    'kill all': _kill_all,
    'cut': _cut,
    'lose link': _lose_link,
    'cut gateway': _cut_gateway,
    'split': _split,
}


_RANDOM_KINDS = tuple(kind for kind in _ACTIONS if kind != 'add three')


async def _inline(function, *arguments):
    return function(*arguments)


def _ignore_result(task):
    if not task.cancelled():
        task.exception()


@contextmanager
def _seeded(seed):
    """Seed the generator that the product draws its random pauses from."""
    state = random.getstate()
    random.seed(seed)
    try:
        yield
    finally:
        random.setstate(state)


@contextmanager
def _stand_ins():
    """Replace disks and threads by stand-ins without real time."""
    with ExitStack() as stack:
        for target, stand_in in (
            ('rattanvalve.turnstore.replica.DiskLog', MemoryLog),
            ('asyncio.to_thread', _inline),
        ):
            stack.enter_context(mock.patch(target, stand_in))
        yield
