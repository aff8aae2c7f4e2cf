"""Steps of endpoint_service.feature."""

import asyncio
import json
import time
from dataclasses import replace
from unittest import mock

from behave import given, then, when

from rattanvalve import outcomes, runjob, server_session
from rattanvalve.blackboard import Blackboard
from rattanvalve.cache_keeper import CacheKeeper
from rattanvalve.channels import Address
from rattanvalve.counters import Metrics
from rattanvalve.endpoint_parts import EndpointParts
from rattanvalve.endpoint_service import EndpointService
from rattanvalve.engine_client import EngineClient
from rattanvalve.finish_reports import FinishReports
from rattanvalve.messages import (
    Chunk,
    End,
    Header,
    Refusal,
    Run,
    Settle,
    Ticket,
    Usage,
    View,
)
from rattanvalve.peer_server import PeerServer
from rattanvalve.peers import PeerPool
from rattanvalve.records import RecordStore
from rattanvalve.resultcodes import ResultCode
from rattanvalve.runqueue import RunQueue
from rattanvalve.server_rate import ServerRate
from rattanvalve.service_client import ServiceClient
from rattanvalve.standins.batch import EngineCosts
from rattanvalve.standins.text import expected_tokens
from tests.fakeserver import EVENTS, FakeServer
from tests.ingress_bench import parse_stream_text
from tests.steps.standin_http import start_engine

SECRET = b's' * 32
TIMEOUT_S = 30
MAX_TOKENS = 60
#: Scripted results of the first commands of each kind: the status that the
#: client sees (0 for none), and whether the engine gets the command.
COMMAND_RESULTS = {
    'pauses': {},
    'refuses to pause': {'pause': [(404, False), (404, False)]},
    'loses an answer to pause': {'pause': [(0, True)]},
    'loses a resume': {'resume': [(0, False)]},
}


def owner_of(view, workspace, shard):
    """Return no owner, so that outcome reports are dropped."""
    return ''


async def start(context, kind, engine_url=''):
    """Start the service for an engine or a new fake server."""
    context.server = FakeServer()
    url = engine_url or await context.server.start()
    session = server_session.open_session(2)
    client = ServiceClient(url, session)
    if kind == 'engine':
        client = EngineClient(url, session, checks_fencing=False)
    context.client = client
    context.confirmation = mock.Mock(age_s=lambda now_s: 0)
    context.pool = PeerPool(SECRET)
    board = Blackboard()
    metrics = Metrics()
    rate = ServerRate(metrics)
    parts = EndpointParts(
        records=RecordStore('endpoint-a', 'inc-a', owner_of),
        queue=RunQueue(2, 10, 'program_fair', rate),
        rate=rate,
        client=client,
        keeper=CacheKeeper(client, metrics),
        reports=FinishReports(context.pool, board, owner_of),
        board=board,
        confirmation=context.confirmation,
        lease_s=10,
        metrics=metrics,
        detached_grace_s=0,
    )
    context.parts = parts
    context.service = EndpointService(parts)
    peers = PeerServer(SECRET, context.service.handlers(), metrics)
    context.address = await peers.start(Address('127.0.0.1', 0))
    context.closers.extend((session.close, peers.stop))
    if not engine_url:
        context.closers.append(context.server.runner.cleanup)


@given('an endpoint process beside {kind}')
def step_start(context, kind):
    context.run(start(context, kind.split()[-1]))


@given('an endpoint process with a session that repeats')
def step_repeats(context):
    async def repeat(request, handler):
        return await handler(request)

    with mock.patch.object(server_session, '_forbid_retry', repeat):
        context.run(start(context, 'service'))


def build_run(
    method,
    path,
    is_repeatable=False,
    number='entry-a/x/1',
    timeout_ms=0,
):
    """Build a run with a caller's key, which no server may receive."""
    ticket = Ticket(
        number=number,
        endpoint_incarnation='inc-a',
        workspace='north',
        program_id='p1',
        is_repeatable=is_repeatable,
        timeout_ms=timeout_ms,
    )
    headers = (
        Header(name='Authorization', content='Bearer rv-secret'),
        Header(name='accept', content='text/event-stream'),
    )
    return Run(
        ticket=ticket,
        method=method,
        path=path,
        headers=headers,
        body=b'{}',
        is_stream=path.startswith('/v1'),
    )


async def read(context, run):
    """Send a run and collect its messages until the last one."""
    async with asyncio.timeout(TIMEOUT_S):
        async with context.pool.stream(context.address, run) as stream:
            return [message async for message in stream]


@when('a run of {method:w} {path} is read to its end')
def step_read(context, method, path):
    context.received = context.run(read(context, build_run(method, path)))


@when(
    'a run of {method:w} {path} comes {count:d} times, and the server starts '
    'again each time'
)
def step_crashing_runs(context, method, path, count):
    for number in range(count):
        run = build_run(method, path)
        ticket = replace(run.ticket, number=f'entry-a/x/{number + 1}')
        context.run(read(context, replace(run, ticket=ticket)))
        if len(context.server.journal) > number:
            context.run(context.server.listen(context.server.port))


@then('the server has crashed {most:d} times at most')
def step_crash_count(context, most):
    assert len(context.server.journal) <= most, context.server.journal


@when('a run that continues "{text}" is read to its end')
@when('a run that continues "" is read to its end')
def step_continue(context, text=''):
    run = build_run('POST', '/v1/chat/completions')
    run = replace(run, resume_text=text)
    context.received = context.run(read(context, run))


@when('a run that continues "{text}" is read to its end with records of tails')
def step_continue_tail(context, text):
    with mock.patch.object(runjob, 'resume_event', lambda given_text: b''):
        step_continue(context, text)


@then('its stream has the text "{tail}" and its record "{whole}"')
def step_whole(context, tail, whole):
    parts = [m.content for m in context.received if isinstance(m, Chunk)]
    assert parse_stream_text(b''.join(parts)) == tail
    settle = Settle(number='entry-a/x/1', endpoint_incarnation='inc-a')
    settled = context.run(context.pool.call(context.address, settle, TIMEOUT_S))
    assert parse_stream_text(settled.body) == whole


@then('the stream arrived unchanged with 7, 5 and 3 tokens')
def step_stream(context):
    parts = [m.content for m in context.received if isinstance(m, Chunk)]
    assert b''.join(parts) == b''.join(EVENTS)
    assert context.received[-1].usage == Usage(
        prompt_tokens=7,
        cached_tokens=5,
        output_tokens=3,
    )


@then('the server saw the headers of this process and no key')
def step_headers(context):
    headers = context.server.journal[0][2]
    assert headers['X-Request-Id'] == 'entry-a/x/1'
    assert headers['X-Cache-Key'] == 'north/p1'
    assert headers['Accept'] == 'text/event-stream'
    assert 'rv-secret' not in str(headers)


@then('the server saw {count:d} {word} and the outcome is {outcome}')
def step_seen(context, count, word, outcome):
    assert len(context.server.journal) == count
    assert context.received[-1].outcome == outcome


@when('the connection of a {kind} run of POST /held closes')
def step_close(context, kind):
    run = build_run('POST', '/held', is_repeatable=kind == 'repeatable')

    async def leave():
        async with context.pool.stream(context.address, run):
            await context.server.seen.wait()

    context.run(asyncio.wait_for(leave(), TIMEOUT_S))


@then('settling with a wait gives the whole response')
def step_settle(context):
    settle = Settle(
        number='entry-a/x/1',
        endpoint_incarnation='inc-a',
        wait_ms=1000 * TIMEOUT_S,
    )
    context.loop.call_later(0.05, context.server.release.set)
    settled = context.run(
        context.pool.call(context.address, settle, TIMEOUT_S),
    )
    assert settled.outcome == outcomes.ANSWERED
    assert (settled.http_status, settled.body) == (201, b'plain')


@then('the server saw the cancellation')
def step_cancelled(context):
    context.run(asyncio.wait_for(context.server.cancelled.wait(), TIMEOUT_S))


@when('the confirmation has expired')
def step_expired(context):
    context.confirmation.age_s = lambda now_s: 10


@then('a non-repeatable run is refused and a repeatable one runs')
def step_refused(context):
    refused = context.run(read(context, build_run('POST', '/a')))
    assert refused == [Refusal(code=ResultCode.NOT_CONFIRMED)]
    repeatable = build_run('POST', '/a', is_repeatable=True)
    received = context.run(read(context, repeatable))
    assert isinstance(received[-1], End)
    assert received[-1].outcome == outcomes.ANSWERED


@when('all slots are taken and a run with a deadline of 50 ms arrives')
def step_overdue(context):
    async def overflow():
        holders = [
            asyncio.ensure_future(
                read(context, build_run('POST', '/held', number=f'e/x/{slot}')),
            )
            for slot in (8, 9)
        ]
        while len(context.server.journal) < 2:
            context.server.seen.clear()
            await context.server.seen.wait()
        late = build_run('POST', '/a', timeout_ms=50)
        context.received = await read(context, late)
        context.server.release.set()
        await asyncio.gather(*holders)

    context.run(asyncio.wait_for(overflow(), TIMEOUT_S))


@then('it is refused with TIMEOUT_QUEUED and settled as not run')
def step_not_run(context):
    assert context.received == [Refusal(code=ResultCode.TIMEOUT_QUEUED)]
    settle = Settle(number='entry-a/x/1', endpoint_incarnation='inc-a')
    settled = context.run(
        context.pool.call(context.address, settle, TIMEOUT_S),
    )
    assert settled.outcome == outcomes.NOT_RUN
    assert len(context.server.journal) == 2


@when('it drains while a run of POST /held is running')
def step_drain(context):
    async def drain():
        held = build_run('POST', '/held')
        running = asyncio.ensure_future(read(context, held))
        await context.server.seen.wait()
        draining = asyncio.ensure_future(context.service.drain(0, TIMEOUT_S))
        await asyncio.sleep(0.01)
        late = build_run('POST', '/held', number='entry-a/x/2')
        context.late = await read(context, late)
        context.copy = await read(context, held)
        context.server.release.set()
        await draining
        context.received = await running

    context.run(asyncio.wait_for(drain(), TIMEOUT_S))


@then('the run is answered, a new one is refused and a copy is a duplicate')
def step_drained(context):
    assert context.received[-1].outcome == outcomes.ANSWERED
    assert context.late == [Refusal(code=ResultCode.ENDPOINT_LEAVING)]
    assert context.copy == [Refusal(code=ResultCode.DUPLICATE_TICKET)]


def build_chat(number, priority):
    """Build a streamed chat request of a priority class."""
    run = build_run('POST', '/v1/chat/completions', True, number)
    body = {
        'model': 'small',
        'messages': [{'role': 'user', 'content': number}],
        'max_tokens': MAX_TOKENS,
        'stream': True,
    }
    ticket = replace(run.ticket, priority=priority, program_id=number)
    return replace(run, ticket=ticket, body=json.dumps(body).encode())


@given('an endpoint process with 2 slots beside an engine that {does}')
def step_engine(context, does):
    costs = EngineCosts(step_base_s=0.005)
    url = start_engine(context, costs)
    context.run(start(context, 'engine', url))
    client = context.parts.client
    command = client._command
    context.steps = []
    scripted_results = {
        step: [*commands] for step, commands in COMMAND_RESULTS[does].items()
    }

    async def send_command(method, path):
        step = path.rpartition('/')[2]
        if step not in {'pause', 'resume'}:
            return await command(method, path)
        context.steps.append(step)
        pending = scripted_results.get(step)
        status, is_passed = pending.pop(0) if pending else (None, True)
        passed = await command(method, path) if is_passed else 0
        return passed if status is None else status

    client._command = send_command


async def run_three(context):
    """Run two low-priority chats, then a high one once both are running."""
    lows = [
        asyncio.ensure_future(read(context, build_chat(f'low-{index}', 2)))
        for index in range(2)
    ]
    async with asyncio.timeout(TIMEOUT_S):
        # The batch has no event to wait for.
        while context.engine.batch.running_count < 2:  # noqa: ASYNC110
            await asyncio.sleep(0)
        high = await read(context, build_chat('high', 0))
        return [high, *[await low for low in lows]]


@when('a high-priority chat arrives while two low ones run')
def step_three(context):
    context.chats = context.run(run_three(context))


@then('all three are answered completely and the engine was told to {steps}')
def step_complete(context, steps):
    for index, name in enumerate(('high', 'low-0', 'low-1')):
        end = context.chats[index][-1]
        assert end.outcome == outcomes.ANSWERED
        prompt = [{'role': 'user', 'content': name}]
        count = len(expected_tokens(prompt, MAX_TOKENS))
        assert end.usage.output_tokens == count
    expected = steps.split()
    assert context.steps == expected, context.steps
    assert context.parts.queue.running_count == 0


@when('it adopts a view of epoch 7 before its first run and releases caches')
def step_adopt(context):
    context.service.adopt_view(View(cell='c', epoch=7))
    context.run(context.client.release_all())


@then('the server saw the release with fencing token 7')
def step_token(context):
    (method, path, headers) = context.server.journal[-1]
    assert (method, path) == ('DELETE', '/v1/cache')
    assert headers['X-Fencing-Token'] == '7', headers


@when('the server states a limit of {limit:g} a second')
def step_limit(context, limit):
    context.server.rate.state(limit, time.monotonic())


@when('{rate:d} runs a second are sent for {duration:d} s')
def step_many_runs(context, rate, duration):
    async def send():
        readers = []
        for number in range(rate * duration):
            run = build_run('GET', '/look', number=f'entry-a/x/limit-{number}')
            readers.append(asyncio.ensure_future(read(context, run)))
            await asyncio.sleep(1 / rate)
        context.answers = await asyncio.gather(*readers)

    context.run(send())


@then('the server got no more than its limit allows')
def step_within_limit(context):
    assert not context.server.rate.excess(), context.server.rate.excess()


@then('refused runs learned at once when to return and the others ended')
def step_refused_runs(context):
    refused = [
        messages[-1]
        for messages in context.answers
        if isinstance(messages[-1], Refusal)
    ]
    assert refused and all(
        refusal.code in {ResultCode.ENDPOINTS_LIMITED, ResultCode.QUEUE_FULL}
        and refusal.retry_after_ms > 0
        for refusal in refused
    ), {refusal.code for refusal in refused}
    ran_count = len(context.answers) - len(refused)
    assert ran_count == len(context.server.journal), ran_count


@when('the server states no limit any more and a run ends')
def step_limit_ends(context):
    context.server.rate.state(None, time.monotonic())
    context.received = context.run(
        read(context, build_run('GET', '/look', number='e/x/last'))
    )


@then('{count:d} runs that follow at once are all answered')
def step_all_answered(context, count):
    async def send():
        runs = (
            build_run('GET', '/look', number=f'e/x/after-{number}')
            for number in range(count)
        )
        return await asyncio.gather(*(read(context, run) for run in runs))

    started_s = time.monotonic()
    answers = context.run(send())
    assert all(isinstance(messages[-1], End) for messages in answers), answers
    assert time.monotonic() - started_s < 1
