"""Steps of vm_controller.feature; a stand-in serves the VM list."""

from dataclasses import replace
from types import SimpleNamespace

import aiohttp
from aiohttp.test_utils import TestServer
from behave import given, then, when

from rattanvalve.blackboard import Blackboard
from rattanvalve.control import ControlContext
from rattanvalve.counters import Counter, Metrics
from rattanvalve.errors import PeerError
from rattanvalve.loads import EndpointLoads
from rattanvalve.messages import Announce, Member, Pull, View
from rattanvalve.standins.vms import VmList, build_vms_app
from rattanvalve.views import ROLE_ENDPOINT, ROLE_ENTRY
from rattanvalve.vm_controller import VmController, make_vm_fetcher

ENTRIES = ('a', 'b', 'c', 'd')
ENDPOINTS = tuple(
    Member(name=name, role=ROLE_ENDPOINT, service_name='s', incarnation='1')
    for name in ('s-1', 's-2')
)
VIEW = View(
    cell='cell',
    epoch=1,
    members=(
        *(Member(name=name, role=ROLE_ENTRY, host=name) for name in ENTRIES),
        *ENDPOINTS,
    ),
)


class World:
    """Four entries in simulated time, their network and the VM list."""

    def __init__(self, fetch):
        self.now_s = 1000
        self.fetch = fetch
        self.readers = set()
        self.unreachable = None
        self.is_malformed = False
        self.entries = {name: self.make_entry(name) for name in ENTRIES}

    def make_entry(self, name):
        """Build an entry with the VM controller and the loads under test."""
        loads = EndpointLoads()
        loads.set_view(VIEW)
        control = ControlContext(
            cell='cell',
            blackboard=Blackboard(view=VIEW),
            store=None,
            call=self.call,
            metrics=Metrics(),
            clock=lambda: self.now_s,
        )

        async def fetch():
            self.readers.add(name)
            return b'{"vms":' if self.is_malformed else await self.fetch()

        member = VIEW.members[ENTRIES.index(name)]
        return SimpleNamespace(
            loads=loads,
            control=control,
            vms=VmController(member, control, loads, fetch),
        )

    async def call(self, address, message, timeout_s):
        """Deliver a message to an entry, or fail if it is unreachable."""
        if address.host == self.unreachable:
            raise PeerError('no answer')
        answers = []

        async def send(answer):
            answers.append(answer)

        await self.entries[address.host].vms.handlers()[Pull](message, send)
        return answers[0]

    async def poll(self, seconds):
        """Let the reachable entries poll every 5 s for some time."""
        for _ in range(0, seconds, 5):
            self.now_s += 5
            for name, entry in self.entries.items():
                if name != self.unreachable:
                    await entry.vms.poll()

    def candidates(self):
        """Return the candidates of each reachable entry after an announce."""
        candidates_by_entry = {}
        for name, entry in self.entries.items():
            for member in ENDPOINTS:
                announce = Announce(
                    member=member,
                    capacity_count=4,
                    is_healthy=True,
                )
                entry.loads.report(announce, self.now_s)
            usable_candidates = entry.loads.candidates('s', (), self.now_s)
            candidates_by_entry[name] = {
                candidate.member.name for candidate in usable_candidates
            }
        candidates_by_entry.pop(self.unreachable, None)
        return candidates_by_entry


@given('four entries and the endpoints s-1 and s-2')
def step_world(context):
    async def start():
        server = TestServer(build_vms_app(context.vms))
        await server.start_server()
        session = aiohttp.ClientSession()
        context.closers.extend((server.close, session.close))
        return make_vm_fetcher(str(server.make_url('')), session)

    context.vms = VmList()
    context.world = World(context.run(start()))


@when('the VM list says {text}')
def step_list(context, text):
    for part in text.split(', '):
        name, _, state = part.partition(' ')
        if state:
            # The states include ``gone``, which the product does not know.
            context.vms.change(name, state, 0)
    context.run(context.world.poll(10))


@when('the VM list is rubbish for {count:d} s')
def step_rubbish(context, count):
    context.world.is_malformed = True
    context.run(context.world.poll(count))


@when('the first watcher is cut off and the VM list says s-1 leaving')
def step_cut_off(context):
    context.run(context.world.poll(5))
    context.world.unreachable = min(context.world.readers)
    step_list(context, 's-1 leaving')


@then('the candidates of all entries are {names}')
@then('the candidates of the reachable entries are {names}')
def step_candidates(context, names):
    candidates_by_entry = context.world.candidates()
    assert all(
        endpoint_names == set(names.split())
        for endpoint_names in candidates_by_entry.values()
    ), candidates_by_entry


@then('the candidates of some entry are not {names}')
def step_not_candidates(context, names):
    candidates_by_entry = context.world.candidates()
    assert any(
        endpoint_names != set(names.split())
        for endpoint_names in candidates_by_entry.values()
    ), candidates_by_entry


@then('{count:d} entries have read the list')
def step_readers(context, count):
    assert len(context.world.readers) == count, context.world.readers


@then('the view is unchanged')
def step_view(context):
    for entry in context.world.entries.values():
        assert entry.control.blackboard.view == replace(VIEW)


@then('the watchers report a problem and count it')
def step_problem(context):
    for name in context.world.readers:
        entry = context.world.entries[name]
        assert entry.vms.problem
        assert entry.control.metrics.counts[Counter.VM_LIST_ERROR] > 0
