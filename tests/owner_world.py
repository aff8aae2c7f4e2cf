"""In-memory entries, endpoints and clock for the features of the owner."""

import asyncio
import heapq
import itertools
from hashlib import blake2b

from rattanvalve import messages, outcomes
from rattanvalve.admission_mode import AdmissionMode
from rattanvalve.blackboard import Blackboard
from rattanvalve.counters import Metrics
from rattanvalve.errors import PeerError
from rattanvalve.owner_service import OwnerService
from rattanvalve.ownerports import OwnerPorts, ViewLookups
from rattanvalve.ownership import Owner
from rattanvalve.resultcodes import ResultCode
from tests.samples import sample_catalog

ENDPOINT_PORT = 100


class VirtualTime:
    """A virtual clock that advances only when no task can run."""

    def __init__(self):
        self.now_s = 1000.0
        self._timers = []
        self._order = itertools.count()

    def clock(self):
        """Return the virtual time in seconds."""
        return self.now_s

    async def sleep(self, delay_s):
        """Wait for virtual seconds."""
        timer = asyncio.get_running_loop().create_future()
        due = (self.now_s + delay_s, next(self._order), timer)
        heapq.heappush(self._timers, due)
        await timer

    async def settle(self):
        """Run all tasks until they wait, without advancing the clock."""
        for _ in range(40):
            await asyncio.sleep(0)

    async def advance(self, delay_s):
        """Advance the clock by virtual seconds and fire timers in order."""
        end_s = self.now_s + delay_s
        await self.settle()
        while self._timers and self._timers[0][0] <= end_s:
            await self._fire()
        self.now_s = end_s

    async def drive(self, awaitable):
        """Run an awaitable to its end, advancing the clock as needed."""
        task = asyncio.ensure_future(awaitable)
        await self.settle()
        while not task.done():
            await self._fire()
        return task.result()

    async def _fire(self):
        due_s, _, timer = heapq.heappop(self._timers)
        if not timer.done():
            self.now_s = max(self.now_s, due_s)
            timer.set_result(None)
            await self.settle()


def owner_of(view, workspace, shard):
    """Return the name of the entry with the highest hash, as views does."""
    names = [member.name for member in entries_of(view)]
    return max(
        names,
        key=lambda name: blake2b(f'{name}{workspace}{shard}'.encode()).digest(),
        default='',
    )


def entries_of(view):
    """Return the members whose role is entry."""
    return tuple(m for m in view.members if m.role == 'entry')


def endpoints_of(view):
    """Return the members whose role is endpoint."""
    return tuple(m for m in view.members if m.role == 'endpoint')


def find_member(view, name):
    """Return a member by its name, or ``None``."""
    return next((m for m in view.members if m.name == name), None)


LOOKUPS = ViewLookups(
    owner_of=owner_of,
    entries_of=entries_of,
    endpoints_of=endpoints_of,
    find_member=find_member,
)


class FakeEndpoint:
    """Records of one endpoint process, which can be down, full or restarted."""

    def __init__(self, name, port, time, journal):
        self.name = name
        self.port = port
        self.time = time
        self.journal = journal
        self.incarnation = 'i1'
        self.is_up = True
        self.is_full = False
        self.releases = []
        self.epoch = 0
        self.records = {}

    def member(self):
        """Build the entry of this endpoint in a view."""
        return messages.Member(
            name=self.name,
            role='endpoint',
            host='h',
            port=self.port,
            service_name='orders-app',
            incarnation=self.incarnation,
        )

    def run(self, ticket):
        """Accept a ticket as the endpoint process does, unless refused."""
        is_stale = ticket.endpoint_incarnation != self.incarnation
        if ticket.number in self.records or is_stale:
            return False
        if not self.is_up or ticket.epoch < self.epoch:
            return False
        self.records[ticket.number] = [
            ticket,
            outcomes.RUNNING,
            messages.Usage(),
            self.time.now_s,
        ]
        self.journal.append((self.time.now_s, ticket))
        return True

    def complete(self, number, usage):
        """Complete a running ticket as answered."""
        record = self.records[number]
        record[1] = outcomes.ANSWERED
        record[2] = usage

    def answer(self, message):
        """Handle a Release, Settle or Seal message and return the answer."""
        if isinstance(message, messages.Release):
            self.releases.append(message)
            return messages.Ack(epoch=self.epoch)
        if isinstance(message, messages.Settle):
            ticket = messages.Ticket(number=message.number)
            void = [ticket, outcomes.NOT_RUN, messages.Usage(), 0]
            if message.endpoint_incarnation != self.incarnation:
                void[1] = outcomes.UNKNOWN
            found = self.records.setdefault(message.number, void)
            return messages.Settled(outcome=found[1], usage=found[2])
        view = message.view
        if view.epoch < self.epoch:
            return messages.Refusal(code=int(ResultCode.STALE_EPOCH))
        self.epoch = view.epoch
        return messages.Sealed(
            endpoint=self.name,
            incarnation=self.incarnation,
            records=tuple(
                messages.RecordSummary(
                    ticket=ticket,
                    outcome=outcome,
                    usage=usage,
                    age_ms=int((self.time.now_s - at_s) * 1000),
                )
                for ticket, outcome, usage, at_s in self.records.values()
                if owner_of(view, ticket.workspace, ticket.shard)
                == message.owner
            ),
        )


class FakeEntry:
    """One entry process: its owner role, service and admission mode."""

    def __init__(self, world, name, incarnation):
        self.name = name
        self.incarnation = incarnation
        self.port = int(name[1:])
        self.mode = AdmissionMode.FULL
        self.blackboard = Blackboard(catalog=world.catalog)
        self.owner = Owner(name, incarnation, Metrics())
        self.service = OwnerService(
            self.owner,
            OwnerPorts(
                blackboard=self.blackboard,
                pool=world,
                lookups=LOOKUPS,
                mode=lambda now_s: self.mode,
                place=world.place,
                clock=world.time.clock,
                sleep=world.time.sleep,
            ),
        )

    def member(self):
        """Build the entry of this process in a view."""
        return messages.Member(
            name=self.name,
            role='entry',
            host='h',
            port=self.port,
            incarnation=self.incarnation,
        )

    async def adopt_view(self, view):
        """Adopt a view as if the view controller announced it."""
        old = self.blackboard.view
        self.blackboard.view = view
        await self.service.on_view_changed(old, view)


class World:
    """An in-memory cell, which is also the peer pool of all its entries."""

    def __init__(self, entry_count=3, endpoint_count=3):
        self.time = VirtualTime()
        self.catalog = sample_catalog()
        self.journal = []
        self.view = messages.View(cell='c')
        self.former = ()
        self.endpoints = [
            FakeEndpoint(f'p{n}', ENDPOINT_PORT + n, self.time, self.journal)
            for n in range(endpoint_count)
        ]
        self.entries = {
            f'e{n}': FakeEntry(self, f'e{n}', '1') for n in range(entry_count)
        }

    async def call(self, address, message, timeout_s):
        """Deliver a message without delay and return the answer."""
        await asyncio.sleep(0)
        if address.port >= ENDPOINT_PORT:
            endpoint = next(
                (each for each in self.endpoints if each.port == address.port),
                None,
            )
            if endpoint is None or not endpoint.is_up:
                raise PeerError('down')
            return endpoint.answer(message)
        entry = self.entries.get(f'e{address.port}')
        if entry is None:
            raise PeerError('down')
        return await entry.service.receive_handover(message)

    def place(self, request, now_s):
        """Select the last endpoint if it is up, else one by program id."""
        live = [
            each for each in self.endpoints if each.is_up and not each.is_full
        ]
        if not live:
            return None
        for each in live:
            if each.name == request.last_endpoint:
                return each.member()
        return live[len(request.program_id) % len(live)].member()

    def endpoint(self, ticket):
        """Return the endpoint that a ticket is for."""
        return self.endpoints[ticket.port - ENDPOINT_PORT]

    def next_view(self):
        """Build a view of the current members with the next epoch."""
        members = (*self.entries.values(), *self.endpoints)
        self.view = messages.View(
            cell='c',
            epoch=self.view.epoch + 1,
            members=tuple(each.member() for each in members),
            former=self.former,
        )
        return self.view

    async def change_view(self):
        """Announce a new view to all entries concurrently."""
        view = self.next_view()
        entries = tuple(self.entries.values())
        await asyncio.gather(*(entry.adopt_view(view) for entry in entries))

    def owner(self, workspace='north', shard=0):
        """Return the entry that owns a shard in the newest view."""
        return self.entries[owner_of(self.view, workspace, shard)]


def new_begin(program='p', **fields):
    """Build a request to the plain service."""
    given = {
        'workspace': 'north',
        'service_name': 'orders-app',
        'prompt_tokens': 5,
        'max_tokens': 5,
        'timeout_ms': 60_000,
    }
    return messages.Begin(program_id=program, **(given | fields))


def finish_of(ticket, outcome=outcomes.ANSWERED, usage=None):
    """Build the report of the end of a ticket."""
    return messages.Finish(
        number=ticket.number,
        workspace=ticket.workspace,
        shard=ticket.shard,
        program_id=ticket.program_id,
        outcome=outcome,
        usage=usage or messages.Usage(prompt_tokens=5, output_tokens=5),
    )


def resolve_of(ticket):
    """Build the message that asks for the outcome of a broken run."""
    return messages.Resolve(
        number=ticket.number,
        workspace=ticket.workspace,
        shard=ticket.shard,
        program_id=ticket.program_id,
    )


def rate_violations(times, rate_per_s, burst):
    """Return the windows with more admissions than the rate limit permits.

    The limit of a window is the burst plus the rate times its width.

    :param times: admission times in seconds, in order.
    :returns: pairs of indexes; empty if the bound holds for any window.
    """
    slack = 1e-6
    return [
        (first, last)
        for first, last in itertools.combinations_with_replacement(
            range(len(times)),
            2,
        )
        if last - first + 1
        > burst + rate_per_s * (times[last] - times[first]) + slack
    ]
