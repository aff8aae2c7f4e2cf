"""Steps of owner_client.feature."""

import asyncio
import time
from dataclasses import replace

from behave import given, then, when

from rattanvalve import messages
from rattanvalve.blackboard import Blackboard
from rattanvalve.channels import Address
from rattanvalve.counters import Metrics
from rattanvalve.errors import PeerError
from rattanvalve.owner_client import OwnerClient
from rattanvalve.peer_server import PeerServer
from rattanvalve.peers import PeerPool
from rattanvalve.resultcodes import ResultCode
from tests.ingress_bench import SECRET, FakeOwner, eventually

BEGIN = messages.Begin(request_id='r-1', workspace='north', program_id='p')
DEADLINE_S = 60


async def close(asked, send):
    """Close the connection without an answer."""
    raise PeerError('broken on purpose')


async def wait(asked, send):
    """Wait forever without an answer."""
    await asyncio.get_running_loop().create_future()


async def answer_second(asked, send):
    """Close the connection the first time and answer the second time."""
    if len(asked) == 1:
        raise PeerError('broken on purpose')
    await send(messages.Ticket(number='other/1/1'))


def refuse(code):
    """Build a fault that answers with a refusal of a code."""

    async def answer(asked, send):
        await send(messages.Refusal(code=code, epoch=2))

    return answer


FAULTS = {
    'cannot be reached': close,
    'closes the connection': close,
    'never answers': wait,
    'is not the owner any more': refuse(ResultCode.NOT_OWNER),
    'has a newer epoch': refuse(ResultCode.STALE_EPOCH),
    'answers the second time': answer_second,
}


def find_first_member(view, workspace, shard):
    """Return the first member of the view as the owner."""
    return view.members[0] if view.members else None


@given('an owner client whose first owner {fault}')
def step_client(context, fault):
    context.asked = []

    async def answer(message, send):
        context.asked.append(message)
        await FAULTS[fault](context.asked, send)

    metrics = Metrics()
    server = PeerServer(SECRET, {messages.Begin: answer}, metrics)
    address = context.run(server.start(Address('127.0.0.1', 0)))
    if fault == 'cannot be reached':
        context.run(server.stop())
    pool = PeerPool(SECRET)
    context.closers.extend((server.stop, pool.close))
    other = messages.Member(name='b', host=address.host, port=address.port)
    view = messages.View(epoch=1, members=(other,))
    context.local = FakeOwner(address)
    context.client = OwnerClient(
        own_name='a',
        blackboard=Blackboard(view=view),
        local=context.local,
        pool=pool,
        metrics=metrics,
        find_owner=find_first_member,
        retry_pause_s=0.01,
    )


def ask(context):
    """Start a request to the owner as a task."""
    deadline_s = time.monotonic() + DEADLINE_S
    return asyncio.ensure_future(context.client.ask(BEGIN, deadline_s))


@when('a request is begun')
def step_begin(context):
    async def run():
        return await ask(context)

    context.decision = context.run(run())


@when('a request is begun and the view moves the shard to this process')
def step_moves(context):
    counts = context.client.metrics.counts
    board = context.client.blackboard

    async def run():
        asking = ask(context)
        await eventually(lambda: context.asked or sum(counts.values()))
        own = messages.Member(name='a')
        board.view = replace(board.view, epoch=2, members=(own,))
        board.publish()
        return await asking

    context.decision = context.run(run())


@then('this process admits it with the same request id and the newer epoch')
def step_admitted(context):
    assert isinstance(context.decision, messages.Ticket)
    begin = context.local.begins[0]
    assert (begin.request_id, begin.epoch) == ('r-1', 2)
    assert 0 < begin.timeout_ms <= DEADLINE_S * 1000
    assert {message.request_id for message in context.asked} <= {'r-1'}


@then('the repeat is counted as {name}')
def step_counted(context, name):
    counts = context.client.metrics.counts
    assert set(counts) == {name}, counts


@then('the answer of the first owner arrives')
def step_first(context):
    assert context.decision.number == 'other/1/1'
    assert not context.local.begins


@when('a request is begun and the wait for an owner ends')
def step_no_owner(context):
    context.client.wait_max_s = 0
    step_begin(context)


@then('it is refused as OWNER_UNAVAILABLE')
def step_unavailable(context):
    assert context.decision.code == ResultCode.OWNER_UNAVAILABLE
