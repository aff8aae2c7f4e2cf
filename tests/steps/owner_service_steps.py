"""Steps of owner_service.feature."""

import asyncio
import json
from collections import deque
from contextlib import asynccontextmanager
from dataclasses import replace

from behave import given, then, when

from rattanvalve import outcomes, ownership, shardtable
from rattanvalve.channels import Address
from rattanvalve.counters import Metrics
from rattanvalve.handover import Handovers
from rattanvalve.keyed_queues import KeyedQueues
from rattanvalve.messages import (
    Ack,
    Explain,
    Handover,
    Outcome,
    RecordSummary,
    Refusal,
    Ticket,
    Usage,
)
from rattanvalve.peer_server import PeerServer
from rattanvalve.peers import PeerPool
from rattanvalve.resultcodes import ResultCode
from rattanvalve.settling import Settler
from rattanvalve.shardstate import add_records
from rattanvalve.shardtable import ShardTable
from rattanvalve.takeover import Takeover
from rattanvalve.wire import MAX_FRAME_BYTES
from tests.owner_world import (
    World,
    finish_of,
    new_begin,
    resolve_of,
)
from tests.steps.programs_steps import inject_fault, start_single_entry

SOUTH = {'workspace': 'south', 'shard': 0}


@asynccontextmanager
async def wait_reversed(lines, key, timeout_s):
    """Admit the latest arrival first instead of the earliest."""
    waiting = lines._lines.setdefault(key, deque())
    waiting.append(key)
    for _ in range(8 - len(waiting)):
        await asyncio.sleep(0)
    yield True


def code_of(answer):
    """Return the name of the code of a refusal."""
    assert isinstance(answer, Refusal), answer
    return ResultCode(answer.code).name


def start_all(context, entry, begins):
    """Begin calls concurrently, in the given order, and return the tasks."""

    async def start():
        calls = [entry.service.begin(begin) for begin in begins]
        tasks = [asyncio.ensure_future(call) for call in calls]
        await context.world.time.settle()
        return tasks

    return context.run(start())


def drive(context, awaitable):
    """Run an awaitable to its end in virtual time."""
    return context.run(context.world.time.drive(awaitable))


def start_world(context, **sizes):
    """Start a cell and wait until its entries serve their shards."""
    context.world = World(**sizes)
    drive(context, context.world.change_view())
    return context.world


@when('five calls of one program begin at once')
def step_five(context):
    world = start_world(context)
    entry = world.owner()
    begins = [new_begin(request_id=f'r{number}') for number in range(5)]
    tasks = start_all(context, entry, begins)
    context.admitted = []
    for number in range(5):
        done = [task for task in tasks if task.done()]
        assert len(done) == number + 1
        ticket = done[-1].result()
        context.admitted.append((ticket.request_id, ticket.turn))
        drive(context, entry.service.finish(finish_of(ticket)))
        context.run(world.time.settle())


@then('they are admitted one after another in their order')
def step_in_order(context):
    expected = [(f'r{number}', number + 1) for number in range(5)]
    assert context.admitted == expected


def set_endpoints(context, is_up):
    """Set whether all endpoints of the cell are up."""
    for endpoint in context.world.endpoints:
        endpoint.is_up = is_up


@when('a request arrives while no endpoint is up')
def step_no_endpoint(context):
    world = start_world(context)
    set_endpoints(context, is_up=False)
    context.task = start_all(context, world.owner(), [new_begin()])[0]
    context.run(world.time.advance(1))
    assert not context.task.done()


@then('it is admitted once an endpoint is up again')
def step_endpoint_back(context):
    set_endpoints(context, is_up=True)
    context.run(context.world.time.advance(0.2))
    assert isinstance(context.task.result(), Ticket)


@then('another one is refused with NO_ENDPOINT after 2 seconds')
def step_endpoint_missing(context):
    set_endpoints(context, is_up=False)
    time = context.world.time
    started_s = time.now_s
    begin = new_begin('other', request_id='other')
    answer = drive(context, context.world.owner().service.begin(begin))
    assert code_of(answer) == 'NO_ENDPOINT'
    assert 2 <= time.now_s - started_s < 2.2


@then('a call of a busy program is refused at its timeout')
def step_timeout(context):
    world = start_world(context)
    entry = world.owner()
    drive(context, entry.service.begin(new_begin()))
    started_s = world.time.now_s
    waiting = new_begin(timeout_ms=700)
    answer = drive(context, entry.service.begin(waiting))
    assert code_of(answer) == 'TIMEOUT_QUEUED'
    assert abs(world.time.now_s - started_s - 0.7) < 1e-6


@then('a call gets its turn after the lost report of the earlier one')
def step_overdue(context):
    world = start_world(context)
    entry = world.owner()
    first = drive(context, entry.service.begin(new_begin(timeout_ms=1000)))
    world.endpoint(first).run(first)
    world.endpoint(first).complete(first.number, Usage(output_tokens=2))
    second = drive(context, entry.service.begin(new_begin()))
    assert isinstance(second, Ticket)
    assert second.turn == 2
    assert second.attained_tokens == 2


@when('40 requests arrive at a rate of 10 in one second')
def step_crowd(context):
    world = start_world(context)
    context.entry = world.owner('south')
    begins = [new_begin(f'p{number}', **SOUTH) for number in range(40)]
    # A shard has half the rate of its workspace: 5 requests per second with a
    # burst of 2.
    context.tasks = start_all(context, context.entry, begins)


@then('those that fit into a second wait and the others are refused at once')
def step_crowd_answers(context):
    early = [task.result() for task in context.tasks if task.done()]
    refused = [each for each in early if isinstance(each, Refusal)]
    assert {code_of(each) for each in refused} == {'RATE_EXCEEDED'}
    assert len(early) - len(refused) == 2
    assert len(refused) == 40 - 2 - 5
    assert all(each.retry_after_ms >= 1000 for each in refused)
    answers = drive(context, asyncio.gather(*context.tasks))
    programs = [a.program_id for a in answers if isinstance(a, Ticket)]
    assert programs == [f'p{number}' for number in range(7)]


@then('requests at another process get NOT_OWNER with its epoch')
def step_not_owner(context):
    world = start_world(context)
    for entry in world.entries.values():
        answer = drive(context, entry.service.begin(new_begin()))
        if entry is world.owner():
            assert isinstance(answer, Ticket)
        else:
            assert code_of(answer) == 'NOT_OWNER'
            assert answer.epoch == world.view.epoch


@then('requests of unsealed shards are refused with OWNER_UNAVAILABLE')
def step_gate(context):
    context.world = World(entry_count=1)
    world = context.world
    world.endpoints[0].epoch = 99
    entry = world.entries['e0']
    # The endpoint refuses the seal, which means that a newer view exists.
    adoption = context.loop.create_task(entry.adopt_view(world.next_view()))
    started_s = world.time.now_s
    answer = drive(context, entry.service.begin(new_begin()))
    assert code_of(answer) == 'OWNER_UNAVAILABLE'
    assert abs(world.time.now_s - started_s - 15) < 1e-6
    assert not adoption.done()
    assert not entry.owner.table.shards


@given('an owner that died while an endpoint is unreachable')
def step_died(context):
    world = start_world(context)
    first = world.owner('south')
    begin = new_begin(idempotency_key='ran', **SOUTH)
    world.endpoints[0].is_up = True
    ticket = drive(context, first.service.begin(begin))
    context.lost = world.endpoint(ticket)
    context.lost.run(ticket)
    context.lost.is_up = False
    context.ticket = ticket
    world.entries.pop(first.name)
    context.started_s = world.time.now_s
    drive(context, world.change_view())
    context.entry = world.owner('south')


@then('the successor serves after the lease at half the rate')
def step_half(context):
    world = context.world
    assert 10 <= world.time.now_s - context.started_s < 11
    shard_bucket = None
    answer = drive(context, context.entry.service.begin(new_begin(**SOUTH)))
    assert isinstance(answer, Ticket)
    shard_bucket = context.entry.owner.table.find('south', 0).bucket
    assert (shard_bucket._rate_per_s, shard_bucket._burst) == (2.5, 1)


@then('an unknown key of that service ends with OUTCOME_UNKNOWN')
def step_unknown_key(context):
    for fields, expected in (
        ({'idempotency_key': 'ran'}, 'OUTCOME_UNKNOWN'),
        ({'idempotency_key': 'x', 'is_repeatable': True}, None),
    ):
        begin = new_begin('q', **fields, **SOUTH)
        answer = drive(context, context.entry.service.begin(begin))
        if expected:
            assert code_of(answer) == expected
        else:
            assert isinstance(answer, Ticket)


@then('the late seal restores the whole rate and the records')
def step_late(context):
    context.lost.is_up = True
    drive(context, context.entry.service.reseal())
    begin = new_begin(idempotency_key='ran', **SOUTH)
    answer = drive(context, context.entry.service.begin(begin))
    assert isinstance(answer, Outcome)
    assert answer.number == context.ticket.number
    drive(context, context.entry.service.begin(new_begin('z', **SOUTH)))
    bucket = context.entry.owner.table.find('south', 0).bucket
    assert (bucket._rate_per_s, bucket._burst) == (5, 2)


@given('a program with a running and a finished call')
def step_two_calls(context):
    world = start_world(context)
    service = world.owner().service
    first = drive(context, service.begin(new_begin(idempotency_key='k')))
    drive(context, service.finish(finish_of(first)))
    context.first = first
    context.second = drive(context, service.begin(new_begin()))


@when('its owner leaves with a handover')
def step_leaves(context):
    world = context.world
    leaving = world.owner()
    world.entries.pop(leaving.name)
    view = world.next_view()

    async def adopt_all():
        entries = (leaving, *world.entries.values())
        await asyncio.gather(*(entry.adopt_view(view) for entry in entries))

    drive(context, adopt_all())
    assert not leaving.owner.table.shards


@then('the next owner continues without records')
def step_continues(context):
    entry = context.world.owner()
    service = entry.service
    known = drive(
        context,
        service.begin(new_begin(idempotency_key='k')),
    )
    assert isinstance(known, Outcome)
    assert (known.number, known.outcome) == (
        context.first.number,
        outcomes.ANSWERED,
    )
    waiting = new_begin(timeout_ms=100)
    answer = drive(context, service.begin(waiting))
    assert code_of(answer) == 'TIMEOUT_QUEUED'
    drive(context, service.finish(finish_of(context.second)))
    third = drive(context, service.begin(new_begin()))
    assert (third.turn, third.attained_tokens) == (3, 20)
    assert third.endpoint == context.second.endpoint


@given('a running call whose owner is removed while it is paused')
def step_paused(context):
    world = context.world = World()
    context.run(world.time.drive(world.change_view()))
    context.paused = world.owner()
    context.tickets = [admit_keyed(context, context.paused, 'first')]
    world.entries.pop(context.paused.name)
    context.run(world.time.drive(world.change_view()))
    context.removed = world.view


def admit_keyed(context, entry, key):
    """Admit a call with an idempotency key and start it at its endpoint."""
    world = context.world
    begin = new_begin(idempotency_key=key)
    ticket = context.run(world.time.drive(entry.service.begin(begin)))
    assert isinstance(ticket, Ticket), ticket
    assert world.endpoint(ticket).run(ticket)
    return ticket


@when(
    'the next owner ends it, runs another one and the first owner rejoins, '
    'which sees {views}',
)
def step_rejoins(context, views):
    world, paused = context.world, context.paused
    for key in ('second', ''):
        ticket = context.tickets[-1]
        world.endpoint(ticket).complete(ticket.number, Usage())
        finish = world.owner().service.finish(finish_of(ticket))
        context.run(world.time.drive(finish))
        if key:
            admitted = admit_keyed(context, world.owner(), key)
            context.tickets.append(admitted)
    if views == 'each view':
        context.run(world.time.drive(paused.adopt_view(context.removed)))
    paused.incarnation = '2'
    world.entries[paused.name] = paused
    context.run(world.time.drive(world.change_view()))


@then('the first owner knows both calls and admits a third with a new number')
def step_rejoined(context):
    world = context.world
    for key, earlier in zip(('first', 'second'), context.tickets, strict=True):
        begin = new_begin(idempotency_key=key)
        known = context.paused.owner.find_earlier(begin, world.time.now_s)
        assert (known.number, known.outcome) == (earlier.number, 'answered')
    began_s = world.time.now_s
    third = admit_keyed(context, context.paused, 'third')
    # If the entry still had the stale running call, the third call would wait
    # until the time limit of that call.
    assert world.time.now_s - began_s < 2
    numbers = {each.number for each in (*context.tickets, third)}
    assert len(numbers) == 3
    assert third.turn == 3


@given('a ticket whose run {state}')
def step_unused(context, state):
    world = context.world = World(entry_count=1)
    context.run(world.time.drive(world.change_view()))
    begin = new_begin(request_id='r1')
    service = world.owner().service
    context.ticket = context.run(world.time.drive(service.begin(begin)))
    if state == 'began':
        assert world.endpoint(context.ticket).run(context.ticket)


@when('its caller has left')
def step_caller_left(context):
    resolve = replace(
        resolve_of(context.ticket),
        number='',
        request_id='r1',
        reason=outcomes.LEFT_REASON,
    )
    service = context.world.owner().service
    context.run(context.world.time.drive(service.resolve(resolve)))


@then('the next call of the program {verdict}')
def step_next_call(context, verdict):
    world = context.world
    service = world.owner().service
    begin = new_begin(request_id='r2', timeout_ms=100)
    answer = context.run(world.time.drive(service.begin(begin)))
    assert isinstance(answer, Ticket) == (verdict == 'begins'), answer
    # A late copy of the settled ticket must not run.
    assert not world.endpoint(context.ticket).run(context.ticket)


@then('a handover of an older epoch is refused')
def step_old_handover(context):
    world = start_world(context)
    drive(context, world.change_view())
    entry = world.owner()
    drive(context, entry.service.begin(new_begin()))
    state = entry.owner.table.export_state('north', 0, world.time.now_s)
    for epoch, is_taken in ((1, False), (2, True)):
        message = Handover(epoch=epoch, state=state[0])
        answer = drive(context, entry.service.receive_handover(message))
        assert isinstance(answer, Refusal) is not is_taken
        assert bool(entry.owner.table.shards) is is_taken


@then('a run that a newer view refused is repeated in that view')
def step_newer_view(context):
    world, entry = start_single_entry(context)
    context.world = world
    ticket = drive(context, entry.service.begin(new_begin()))
    resolve = replace(resolve_of(ticket), epoch=ticket.epoch + 1)

    async def resolve_during_change():
        answer = asyncio.ensure_future(entry.service.resolve(resolve))
        await world.time.sleep(0.3)
        await world.change_view()
        return await answer

    answer = drive(context, resolve_during_change())
    assert answer.epoch == ticket.epoch + 1, answer


@then('a run of an earlier incarnation ends with unknown')
def step_restarted(context):
    world, entry = start_single_entry(context)
    context.world = world
    ticket = drive(context, entry.service.begin(new_begin()))
    world.endpoint(ticket).incarnation = 'i2'
    drive(context, world.change_view())
    answer = drive(context, entry.service.resolve(resolve_of(ticket)))
    assert isinstance(answer, Outcome)
    assert answer.outcome == outcomes.UNKNOWN


def check_leaving(context):
    """Run the steps of the handover by a leaving owner."""
    step_two_calls(context)
    step_leaves(context)
    step_continues(context)


def check_partial_successor(context):
    """Run the steps of a successor that could not seal every endpoint."""
    step_died(context)
    step_half(context)
    step_unknown_key(context)
    step_late(context)


def check_order(context):
    """Run the steps of five concurrent calls of one program."""
    step_five(context)
    step_in_order(context)


def call_once(context, program, **fields):
    """Run one call and report its end; return the ticket."""
    world = context.world
    service = world.owner().service
    ticket = drive(context, service.begin(new_begin(program, **fields)))
    endpoint = world.endpoint(ticket)
    assert endpoint.run(ticket)
    report = finish_of(ticket)
    endpoint.complete(ticket.number, report.usage)
    drive(context, service.finish(report))
    return ticket


@then('the successor of a dead owner knows what programs spent')
def step_rebuilt(context):
    world = start_world(context)
    for _ in range(3):
        call_once(context, 'root')
    call_once(context, 'child', parent_program_id='root')
    world.entries.pop(world.owner().name)
    drive(context, world.change_view())
    fourth = call_once(context, 'root')
    assert (fourth.turn, fourth.attained_tokens) == (4, 30)
    child = call_once(context, 'child', parent_program_id='root')
    # The ticket of the earlier call of the child recorded 30 spent tokens of
    # the root.
    assert (child.turn, child.attained_tokens) == (2, 50)
    accounts = world.owner().owner.table.find('north', 0).ledger.accounts
    assert accounts.get_or_create('root').calls == 6


@then('a shard of 9000 attempts is imported from frames below the limit')
def step_large(context):
    world = start_world(context)
    entry = world.owner()
    table = entry.owner.table
    drive(context, entry.service.begin(new_begin('first')))
    ledger = table.find('north', 0).ledger
    record = RecordSummary(outcome=outcomes.ANSWERED, age_ms=9)
    records = [
        replace(record, ticket=Ticket(number=f'n{n}', program_id=f'p{n}'))
        for n in range(9000)
    ]
    add_records(ledger, records, world.time.now_s)
    parts = table.export_state('north', 0, world.time.now_s)
    assert len(parts) == 3
    size_bytes = max(len(part) for part in parts)
    assert size_bytes < MAX_FRAME_BYTES // 2, size_bytes
    # Parts may arrive in any order, and a part may arrive more than once.
    for part in (parts[2], parts[0], parts[0], parts[1]):
        assert not table.shards
        message = Handover(epoch=world.view.epoch, state=part)
        drive(context, entry.service.receive_handover(message))
    copy = table.find('north', 0).ledger
    assert copy.attempts.by_number.keys() == ledger.attempts.by_number.keys()
    assert copy.programs.keys() == ledger.programs.keys()


@then(
    'begin, finish, resolve, explain and handover are answered by a server',
)
def step_server(context):
    world = start_world(context)
    handlers = world.owner().service.handlers()
    server = PeerServer(b's' * 32, handlers, Metrics())
    address = context.run(server.start(Address('127.0.0.1', 0)))
    pool = PeerPool(b's' * 32)
    context.closers.extend((server.stop, pool.close))

    def ask(message):
        return context.run(pool.call(address, message, timeout_s=30))

    ticket = ask(new_begin())
    assert isinstance(ticket, Ticket)
    asked = Explain(workspace='north', program_id='p')
    explained = json.loads(ask(asked).body)
    assert explained['program']['running'] == ticket.number
    world.endpoint(ticket).run(ticket)
    assert ask(resolve_of(ticket)).outcome == outcomes.RUNNING
    assert isinstance(ask(finish_of(ticket)), Ack)
    assert ask(resolve_of(ticket)).outcome == outcomes.ANSWERED
    assert code_of(ask(Handover(epoch=0))) == 'STALE_EPOCH'


def import_first(parts, now_s):
    """Import the first part of a shard only."""
    return IMPORT_PARTS(parts[:1], now_s)


def check_left(context):
    """Check that an unused ticket does not block its program."""
    step_unused(context, 'never ran')
    step_caller_left(context)
    step_next_call(context, 'begins')


def check_rejoin(context):
    """Check an owner that skipped the view from which it was removed."""
    step_paused(context)
    step_rejoins(context, 'the last view')
    step_rejoined(context)


IMPORT_PARTS = shardtable.import_parts
CHECKS = {
    'rebuild': step_rebuilt,
    'large': step_large,
    'order': check_order,
    'gate': step_gate,
    'half-rate successor': check_partial_successor,
    'handover': check_leaving,
    'epoch': step_old_handover,
    'rejoin': check_rejoin,
    'left caller': check_left,
}


async def drop_parts(handovers, *export):
    """Discard the exported state of a shard instead of sending it."""


def import_any(handovers, handover):
    """Import a shard without checking the epoch of the message."""
    handovers._owner.table.import_state(handover.state, 1000)


FAULTS = {
    'records ignored': (shardtable, 'add_records', lambda *given: 0),
    'parts mixed up': (shardtable, 'import_parts', import_first),
    'waiting without order': (KeyedQueues, 'enter', wait_reversed),
    'serving without seal': (Takeover, 'is_serving', lambda *given: True),
    'unknown keys run': (ownership, '_unknowable', lambda *given: None),
    'late records ignored': (ShardTable, 'adopt', lambda *given: 0),
    'old state kept': (Takeover, '_is_rejoined', lambda *given: False),
    'left ticket kept': (Settler, 'finish', lambda *given: None),
    'handover dropped': (Handovers, '_send_parts', drop_parts),
    'epoch ignored': (Handovers, 'receive', import_any),
}


@then('the check of {subject} fails with {fault}')
def step_check_fails(context, subject, fault):
    is_noticed = False
    with inject_fault(fault, FAULTS):
        try:
            CHECKS[subject](context)
        except AssertionError:
            is_noticed = True
    assert is_noticed
