"""Steps of endpoint_leaving.feature."""

import asyncio
from collections import Counter
from pathlib import Path

from behave import given, then, when

from rattanvalve.blackboard import Blackboard
from rattanvalve.channels import Address
from rattanvalve.control import ControlContext
from rattanvalve.counters import Metrics
from rattanvalve.endpoint_process import EndpointProcess
from rattanvalve.errors import NotSentError, PeerError
from rattanvalve.load_controller import LoadController
from rattanvalve.loads import EndpointLoads
from rattanvalve.messages import Run
from rattanvalve.peer_server import PeerServer
from rattanvalve.peers import PeerPool
from rattanvalve.reloading import SettingsSource
from rattanvalve.settings import EndpointSettings, Listen
from tests.steps.loads_steps import FakeMembership

SECRET = 's' * 32
SENDER_COUNT = 20
#: Time for runs before the stop, in seconds.
WARM_UP_S = 0.2
#: Time limit of the stop, in seconds.
STOP_TIMEOUT_S = 30


class Membership(FakeMembership):
    """Keeps the address of the endpoint that announced itself."""

    def __init__(self):
        super().__init__()
        self.address = asyncio.Future()

    def add_endpoint(self, member):
        """Record an announced endpoint."""
        if not self.address.done():
            self.address.set_result(Address(member.host, member.port))


async def start_entry(pool, membership):
    """Start the part of an entry that answers announcements."""
    controller = LoadController(
        EndpointLoads(),
        membership,
        ControlContext(
            cell='cell',
            blackboard=Blackboard(),
            store=None,
            call=pool.call,
            retire=pool.retire,
            metrics=Metrics(),
        ),
    )
    server = PeerServer(SECRET.encode(), controller.handlers(), Metrics())
    return server, await server.start(Address('127.0.0.1', 0))


async def send_runs(pool, address, ends):
    """Send runs until one cannot be sent, and count how they end."""
    while not ends[NotSentError]:
        try:
            async with pool.stream(address, Run()) as stream:
                async for message in stream:
                    ends[type(message)] += 1
        except PeerError as error:
            ends[type(error)] += 1


@given('an endpoint process that an entry sends runs to all the time')
def step_start(context):
    context.run(start(context))


async def start(context):
    """Start the process and the senders."""
    pool = PeerPool(SECRET.encode())
    membership = Membership()
    entry, entry_address = await start_entry(pool, membership)
    settings = EndpointSettings(
        name='endpoint-a',
        cell='cell-1',
        zone='zone-a',
        peer_listen=Listen('127.0.0.1', 0),
        peer_secret=SECRET,
        service='orders-app',
        kind='plain',
        server_url='http://127.0.0.1:9',
        drain_grace_s=0,
        seed_peers=(Listen(entry_address.host, entry_address.port),),
    )
    source = SettingsSource(Path(__file__), lambda: settings)
    context.process = EndpointProcess(settings, source)
    await context.process.start()
    address = await membership.address
    context.closers.extend((entry.stop, pool.close))
    context.ends = Counter()
    context.senders = [
        asyncio.ensure_future(send_runs(pool, address, context.ends))
        for _ in range(SENDER_COUNT)
    ]
    await asyncio.sleep(WARM_UP_S)


@when('the process stops')
def step_stop(context):
    async def stop():
        async with asyncio.timeout(STOP_TIMEOUT_S):
            await context.process.stop()
            await asyncio.gather(*context.senders)

    context.run(stop())


@then('no run was lost on a connection')
def step_known(context):
    assert context.ends[NotSentError], context.ends
    assert not context.ends[PeerError], context.ends
