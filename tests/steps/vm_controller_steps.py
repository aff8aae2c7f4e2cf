"""Steps of vm_controller.feature, with the stand-in of the VM list."""

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
from rattanvalve.vm_controller import VmController, vm_fetcher

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
    """Four entries, their network and the VM list."""

    def __init__(self, fetch):
        self.now_s = 1000
        self.fetch = fetch
        self.read_by = set()
        self.cut_off = None
        self.is_rubbish = False
        self.entries = {name: self.make_entry(name) for name in ENTRIES}

    def make_entry(self, name):
        """Build an entry whose endpoints have announced themselves."""
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
            self.read_by.add(name)
            return b'{"vms":' if self.is_rubbish else await self.fetch()

        member = VIEW.members[ENTRIES.index(name)]
        return SimpleNamespace(
            loads=loads,
            control=control,
            vms=VmController(member, control, loads, fetch),
        )

    async def call(self, address, message, timeout_s):
        """Deliver a message to an entry that can be reached."""
        if address.host == self.cut_off:
            raise PeerError('no answer')
        answers = []

        async def send(answer):
            answers.append(answer)

        await self.entries[address.host].vms.handlers()[Pull](message, send)
        return answers[0]

    async def poll(self, seconds):
        """Let all entries poll for some time."""
        for _ in range(0, seconds, 5):
            self.now_s += 5
            for name, entry in self.entries.items():
                if name != self.cut_off:
                    await entry.vms.poll()

    def candidates(self):
        """Name the candidates at each entry that is not cut off."""
        found = {}
        for name, entry in self.entries.items():
            for member in ENDPOINTS:
                announce = Announce(
                    member=member,
                    capacity_count=4,
                    is_healthy=True,
                )
                entry.loads.report(announce, self.now_s)
            usable = entry.loads.candidates('s', (), self.now_s)
            found[name] = {candidate.member.name for candidate in usable}
        found.pop(self.cut_off, None)
        return found


@given('four entries and the endpoints s-1 and s-2')
def step_world(context):
    async def start():
        server = TestServer(build_vms_app(context.vms))
        await server.start_server()
        session = aiohttp.ClientSession()
        context.closers.extend((server.close, session.close))
        return vm_fetcher(str(server.make_url('')), session)

    context.vms = VmList()
    context.world = World(context.run(start()))


@when('the VM list says {text}')
def step_list(context, text):
    for part in text.split(', '):
        name, _, state = part.partition(' ')
        if state:
            # ``gone`` is a state that the product does not know.
            context.vms.change(name, state, 0)
    context.run(context.world.poll(10))


@when('the VM list is rubbish for {count:d} s')
def step_rubbish(context, count):
    context.world.is_rubbish = True
    context.run(context.world.poll(count))


@when('the first watcher is cut off and the VM list says s-1 leaving')
def step_cut_off(context):
    context.run(context.world.poll(5))
    context.world.cut_off = min(context.world.read_by)
    step_list(context, 's-1 leaving')


@then('the candidates of all entries are {names}')
@then('the candidates of the reachable entries are {names}')
def step_candidates(context, names):
    found = context.world.candidates()
    assert all(each == set(names.split()) for each in found.values()), found


@then('the candidates of some entry are not {names}')
def step_not_candidates(context, names):
    found = context.world.candidates()
    assert any(each != set(names.split()) for each in found.values()), found


@then('{count:d} entries have read the list')
def step_readers(context, count):
    assert len(context.world.read_by) == count, context.world.read_by


@then('the view is unchanged')
def step_view(context):
    for entry in context.world.entries.values():
        assert entry.control.blackboard.view == replace(VIEW)


@then('the watchers report a problem and count it')
def step_problem(context):
    for name in context.world.read_by:
        entry = context.world.entries[name]
        assert entry.vms.problem
        assert entry.control.metrics.counts[Counter.VM_LIST_ERROR] > 0
