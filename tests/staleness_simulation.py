"""Random search for processes that decide by outdated documents.

The followers and exchanges of turn stores and gateways run on virtual time,
with stand-ins for the store and for the connections between processes.
"""

import asyncio
import json
import random
from collections import Counter, defaultdict
from contextlib import contextmanager, suppress
from dataclasses import dataclass, field

from rattanvalve.channels import Address
from rattanvalve.errors import PeerError, StoreError
from rattanvalve.gateway.current_rules import CurrentRules
from rattanvalve.platform.names import (
    KIND_CONFIG,
    KIND_MEMBER_LIST,
)
from rattanvalve.platform.nodefile import NodeSettings
from rattanvalve.platform.objects import Changes, StoredEntry
from rattanvalve.platform.turnstores import LIST_NAME, member_list_spec
from rattanvalve.sharedstate.document_tasks import (
    create_exchange,
    gateway_tasks,
    peer_handlers,
    turn_store_followers,
)
from rattanvalve.sharedstate.members import StoreMember
from rattanvalve.sharedstate.shared_state import SharedState
from rattanvalve.sharedstate.staleness import StalenessBounds
from tests.member_lists import single_set_view

PORT = 7780
LATENCY_S = 0.004
PEER_LATENCY_S = 0.002
#: Time after the last fault of a process or of the store from which all bounds
#: hold again.
CONTACT_S = 3.0
CHECK_INTERVAL_S = 0.05
SLOW_FACTOR = 50
UP, HANGS, REFUSES = 'up', 'hangs', 'refuses'


@dataclass
class World:
    """The platform's store, all processes, and the links between them."""

    seed: int
    store_count: int = 3
    gateway_count: int = 5
    bounds: StalenessBounds = field(default_factory=StalenessBounds)

    def __post_init__(self):
        self.random = random.Random(self.seed)
        self.processes = {}
        #: Rules versions by the loop time of their acknowledgement.
        self.acknowledged = []
        self.revision = 1
        self.stored = {}
        self.history = []
        self.latency_s = LATENCY_S
        #: State of the link of each process to the store.
        self.store_links = {}
        #: Pairs of hosts that do not hear each other.
        self.cut_pairs = set()
        self.last_fault_s = {}
        #: Number of faults of the store's answers under way, by host.
        self.faults_under_way = Counter()
        self.findings = []
        #: Times of the calls of the store, by host.
        self.calls_s = defaultdict(list)
        self.loss_s = None
        self.changed = asyncio.Event()

    def now_s(self):
        """Return the virtual time in seconds."""
        return asyncio.get_running_loop().time()

    def put(self, kind, name, spec):
        """Write an object and wake up the watches."""
        self.revision += 1
        entry = StoredEntry(name, self.revision, json.dumps(spec).encode())
        self.stored[kind, name] = entry
        self.history.append((kind, entry))
        self.changed.set()
        self.changed = asyncio.Event()

    def change_rules(self):
        """Let the operators change the rules."""
        version = len(self.acknowledged) + 1
        self.put(KIND_CONFIG, 'main', {'version': version, 'routes': []})
        self.acknowledged.append((self.now_s(), version))

    def version_in_force(self, now_s):
        """Return the rules version that must be in force everywhere."""
        latest_s = now_s - self.bounds.rules_s
        versions = [
            version
            for time_s, version in self.acknowledged
            if time_s < latest_s
        ]
        return max(versions, default=0)

    def start(self, name, host, is_gateway):
        """Start a process, or start it again with nothing in memory."""
        self.store_links.setdefault(host, UP)
        self.processes[host] = Process(self, name, host, is_gateway)

    def stop(self, host):
        """Kill a process."""
        self.processes.pop(host).stop()

    def mark_fault(self, *hosts):
        """Record the begin or end of a fault of some processes."""
        for host in hosts or self.all_hosts():
            self.last_fault_s[host] = self.now_s()

    @contextmanager
    def unreached_store(self, hosts):
        """Record that hosts cannot reach a sound store during the block."""
        self.faults_under_way.update(hosts)
        self.mark_fault(*hosts)
        yield
        self.faults_under_way.subtract(hosts)
        self.mark_fault(*hosts)

    def all_hosts(self):
        """List the hosts of all processes, running or not."""
        return [*self.turn_store_hosts(), *self.gateway_hosts()]

    def turn_store_hosts(self):
        """List the hosts of the turn stores."""
        return [f'10.0.0.{index + 1}' for index in range(self.store_count)]

    def gateway_hosts(self):
        """List the hosts of the gateways."""
        return [f'10.0.1.{index + 1}' for index in range(self.gateway_count)]

    async def play(self, duration_s, faults):
        """Start all processes, let a script of faults run and check."""
        members = [
            StoreMember(f'store-{host}', Address(host, PORT), 'z')
            for host in self.turn_store_hosts()
        ]
        spec = member_list_spec(single_set_view(members))
        self.put(KIND_MEMBER_LIST, LIST_NAME, spec)
        self.change_rules()
        for host in self.turn_store_hosts():
            self.start(f'store-{host}', host, is_gateway=False)
        for host in self.gateway_hosts():
            self.start(f'gateway-{host}', host, is_gateway=True)
        self.mark_fault()
        tasks = [
            asyncio.ensure_future(task)
            for task in (self._change(), self._check(), faults(self))
        ]
        await asyncio.sleep(duration_s)
        for task in tasks:
            if task.done():
                task.result()
            task.cancel()

    async def _change(self):
        while True:
            await asyncio.sleep(self.random.choice((0.1, 0.3, 1, 4)))
            self.change_rules()

    async def _check(self):
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            now_s = self.now_s()
            for gateway in tuple(self.processes.values()):
                if gateway.host in self.gateway_hosts():
                    self._check_gateway(gateway, now_s)

    def _check_gateway(self, gateway, now_s):
        needed = self.version_in_force(now_s)
        version = gateway.state.rules.version
        is_confirmed = CurrentRules(gateway.state).are_confirmed(now_s)
        if is_confirmed and version < needed:
            self._report('refuses by outdated rules', gateway, needed)
        is_in_touch = (
            now_s - self.last_fault_s[gateway.host] > CONTACT_S
            and not self.faults_under_way[gateway.host]
        )
        if is_in_touch and not is_confirmed:
            self._report('has unconfirmed rules', gateway, needed)

    def _report(self, problem, gateway, needed):
        self.findings.append(
            f'{self.now_s() - 1000:.2f} s: {gateway.host} {problem}: '
            f'{gateway.state.rules.version} instead of {needed}'
        )


class Process:
    """The document tasks of one turn store or gateway."""

    def __init__(self, world, name, host, is_gateway):
        self.host = host
        self.world = world
        self.state = SharedState(_node(world, name, host))
        self.handlers = peer_handlers(self.state)
        pool = PeerLinks(world, host)
        store = StoreLink(world, host)
        if is_gateway:
            tasks = gateway_tasks(self.state, store, pool, self._other_gateways)
        else:
            members, others = turn_store_followers(
                self.state, store, _is_listed
            )
            tasks = [
                *(follower.run for follower in (members, *others)),
                create_exchange(self.state, pool).run,
            ]
        self._tasks = [asyncio.ensure_future(task()) for task in tasks]

    def stop(self):
        """Cancel all tasks."""
        for task in self._tasks:
            task.cancel()

    def _other_gateways(self):
        return [
            Address(host, PORT)
            for host in self.world.gateway_hosts()
            if host != self.host
        ]


class StoreLink:
    """Client of the store for one process."""

    def __init__(self, world, host):
        self._world = world
        self._host = host

    async def list_objects(self, kind, timeout_s):
        """Return all objects of a kind."""
        return await self._call(lambda: self._list(kind), timeout_s)

    async def watch(self, kind, revision, wait_ms, grace_s):
        """Return the changes since a revision, or none after the wait."""
        wait_s = wait_ms / 1000
        return await self._call(
            lambda: self._watch(kind, revision, wait_s), wait_s + grace_s
        )

    async def _call(self, read, timeout_s):
        self._world.calls_s[self._host].append(self._world.now_s())
        with suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                return await self._transfer(read)
        raise StoreError('no answer')

    async def _transfer(self, read):
        await self._pass()
        answer = await read()
        await self._pass()
        return answer

    async def _pass(self):
        world = self._world
        await asyncio.sleep(world.latency_s * world.random.uniform(0.5, 1))
        link = world.store_links[self._host]
        if link == REFUSES:
            raise StoreError('refused')
        if link == HANGS:
            await asyncio.sleep(1000)

    async def _list(self, kind):
        found = [
            entry
            for (stored_kind, _), entry in self._world.stored.items()
            if stored_kind == kind
        ]
        return Changes(tuple(found), (), self._world.revision)

    async def _watch(self, kind, revision, wait_s):
        world = self._world
        with suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                while not self._news(kind, revision):
                    await world.changed.wait()
        return Changes(self._news(kind, revision), (), world.revision)

    def _news(self, kind, revision):
        return tuple(
            entry
            for stored, entry in self._world.history
            if stored == kind and entry.revision > revision
        )


class PeerLinks:
    """Connections of one process to all others."""

    def __init__(self, world, host):
        self._world = world
        self._host = host

    async def call(self, address, message, timeout_s):
        """Deliver a message and return the answer."""
        world = self._world
        if frozenset((self._host, address.host)) in world.cut_pairs:
            await asyncio.sleep(timeout_s)
            raise PeerError('no answer')
        await asyncio.sleep(PEER_LATENCY_S)
        peer = world.processes.get(address.host)
        if peer is None:
            raise PeerError('connection refused')
        answers = []

        async def send(answer):
            answers.append(answer)

        await peer.handlers[type(message)](message, send)
        await asyncio.sleep(PEER_LATENCY_S)
        return answers[0]


async def lose_turn_stores(world, after_s=6.0, for_s=10.0):
    """Kill all turn stores at once and start them later."""
    await asyncio.sleep(after_s)
    for host in world.turn_store_hosts():
        world.stop(host)
    world.mark_fault()
    world.loss_s = world.now_s()
    await asyncio.sleep(for_s)
    for host in world.turn_store_hosts():
        world.start(f'store-{host}', host, is_gateway=False)


async def random_faults(world):
    """Begin faults at random moments; they overlap."""
    await asyncio.sleep(5)
    running = set()
    while True:
        fault = world.random.choice(_FAULTS)
        task = asyncio.ensure_future(
            fault(world, world.random.choice((0.3, 1, 2, 4, 8)))
        )
        running.add(task)
        task.add_done_callback(running.discard)
        await asyncio.sleep(world.random.choice((0.1, 1, 3, 6)))


async def _kill_some(world, for_s):
    hosts = world.random.sample(
        world.turn_store_hosts(),
        world.random.randint(1, world.store_count),
    )
    killed = [host for host in hosts if host in world.processes]
    for host in killed:
        world.stop(host)
    world.mark_fault()
    await asyncio.sleep(for_s)
    for host in killed:
        world.start(f'store-{host}', host, is_gateway=False)


async def _lose_store_links(world, for_s):
    hosts = world.all_hosts()
    lost = world.random.sample(hosts, world.random.randint(1, len(hosts)))
    state = world.random.choice((HANGS, REFUSES))
    await _set_links(world, lost, state, for_s)


async def _lose_watcher_links(world, for_s):
    state = world.random.choice((HANGS, REFUSES))
    await _set_links(world, world.turn_store_hosts(), state, for_s)


async def _set_links(world, hosts, state, for_s):
    with world.unreached_store(hosts):
        for host in hosts:
            world.store_links[host] = state
        await asyncio.sleep(for_s)
        for host in hosts:
            world.store_links[host] = UP


async def _cut_peers(world, for_s):
    hosts = world.all_hosts()
    pairs = {
        frozenset(world.random.sample(hosts, 2))
        for _ in range(world.random.randint(1, 3 * len(hosts)))
    }
    world.cut_pairs |= pairs
    await asyncio.sleep(for_s)
    world.cut_pairs -= pairs


async def _slow_store(world, for_s):
    with world.unreached_store(world.all_hosts()):
        world.latency_s = LATENCY_S * SLOW_FACTOR
        await asyncio.sleep(for_s)
        world.latency_s = LATENCY_S


_FAULTS = (
    _kill_some,
    _lose_store_links,
    _lose_watcher_links,
    _cut_peers,
    _slow_store,
)


def _is_listed():
    """Return that no turn store has to write its own member object."""
    return False


def _node(world, name, host):
    return NodeSettings(
        name=name,
        host=host,
        zone='z',
        first_port=PORT,
        callers=None,
        readiness=None,
        seed_hosts=tuple(world.turn_store_hosts()[:3]),
        store=Address('store', 1),
        data_folder=None,
        is_first_start=False,
        lost_disks_max=1,
        memory_mb=100,
        grace_s=1,
        key_revocation_s=5,
        staleness=world.bounds,
    )
