"""Steps of loadrun.feature."""

import asyncio
import io
import json
from random import Random

import aiohttp
import msgspec
from aiohttp import web
from behave import given, then, when

from rattanvalve import loadrun
from rattanvalve.client_records import (
    CallRecord,
    ProgramOutcome,
    ProgramRecord,
    RunRecord,
)
from rattanvalve.history_check import check_history
from rattanvalve.history_evidence import Evidence
from rattanvalve.load_client import CallRequest, LoadClient
from rattanvalve.program_plans import plan_programs
from rattanvalve.scenario import load_scenario
from rattanvalve.standins.journal import JournalLine, journal_writer
from rattanvalve.standins.service import ServiceState, build_service_app
from tests.steps.standin_http import start, start_engine

SEED = 3


def small_scenario():
    """Shorten a bundled scenario: fast arrivals, short pauses, sub-agents.

    Half of the turns start sub-agents, so that the run contains some.
    """
    scenario = load_scenario('hrafnsdottir')
    workspace = scenario.workspaces[0]
    group = msgspec.structs.replace(
        workspace.groups[0],
        programs_per_s=1000,
        program_count=4,
    )
    return msgspec.structs.replace(
        scenario,
        workspaces=(msgspec.structs.replace(workspace, groups=(group,)),),
        programs=msgspec.structs.replace(
            scenario.programs,
            tool_pause_s=0.001,
            sub_agent_share=0.5,
        ),
    )


@given('stand-in servers of a small scenario')
def step_servers(context):
    context.spec = small_scenario()
    engine = start_engine(context)
    context.service_journal = io.StringIO()
    write = journal_writer('service', context.service_journal)
    service = start(context, build_service_app(ServiceState(), write))
    context.targets = loadrun.direct_targets(
        [engine],
        {context.spec.programs.order_service: [service]},
    )


@when('its programs run directly')
def step_run(context):
    run = loadrun.LoadRun(context.spec, context.targets, {}, SEED)
    plans = plan_programs(context.spec, SEED)
    context.run(loadrun.run_programs(run, plans))
    context.programs = run.programs


@then('all programs completed, sub-agents too, and the history check holds')
def step_completed(context):
    outcomes = {program.outcome for program in context.programs}
    assert outcomes == {ProgramOutcome.COMPLETED}
    assert any(program.parent for program in context.programs)
    journals = context.engine_journal, context.service_journal
    evidence = Evidence(
        RunRecord(programs=context.programs, is_direct=True),
        [
            msgspec.json.decode(line, type=JournalLine)
            for journal in journals
            for line in journal.getvalue().splitlines()
        ],
    )
    assert len(evidence.runs) == sum(1 for _ in evidence.calls())
    found = check_history(evidence)
    assert not any(verdict.violations for verdict in found), found


@then('a program that starts late has the delay in its latency')
def step_intended(context):
    step_servers(context)
    run = loadrun.LoadRun(context.spec, context.targets, {}, SEED)
    # The run was due to begin 1000 s ago, so every program starts late.
    run.began_s = context.loop.time() - 1000
    plans = plan_programs(context.spec, SEED)
    context.run(loadrun.run_programs(run, plans))
    parents = [program for program in run.programs if not program.parent]
    assert all(program.latency_s() > 990 for program in parents)


def error_response(status, code, headers=None):
    """Build a handler that answers with an error of the callers' API."""

    async def answer(request):
        return web.json_response(
            {'error': {'message': 'fake', 'type': 'x', 'code': code}},
            status=status,
            headers=headers,
        )

    return answer


async def break_connection(request):
    """Close the connection without a response."""
    request.transport.abort()
    return web.Response()


def stream_response(*frames):
    """Build a handler that answers with a stream of server-sent events."""

    async def answer(request):
        return web.Response(
            body=''.join(f'data: {frame}\n\n' for frame in frames).encode(),
            content_type='text/event-stream',
        )

    return answer


def stream_event(text, reason=None):
    """Encode a stream event with a piece of text."""
    choice = {'delta': {'content': text}, 'finish_reason': reason}
    return json.dumps({'choices': [choice]})


FAULTS = {
    'answers 429 with Retry-After': error_response(
        429,
        1201,
        {'Retry-After': '0.2'},
    ),
    'answers 503 without a hint': error_response(503, 1302),
    'breaks the connection': break_connection,
    'answers 409 for a busy program': error_response(409, 1204),
    'says that the outcome is unknown': error_response(
        502,
        1503,
        {'Rattanvalve-Outcome': 'unknown'},
    ),
    'refuses the key': error_response(401, 1103),
    'says that the budget is spent': error_response(402, 1202),
    'ends a stream early': stream_response(stream_event('one ')),
    'sends an error within a stream': stream_response(
        stream_event('one '),
        json.dumps({'error': {'code': 1501, 'message': 'fake'}}),
    ),
}


@given('two fake entries, of which the first {fault}')
def step_entries(context, fault):
    context.requests = []

    async def answer_successfully(request):
        if request.path == '/chat':
            return await stream_response(
                stream_event('two '),
                stream_event('', 'stop'),
                '[DONE]',
            )(request)
        return web.json_response({'body': await request.text()})

    def serve(name, answer):
        async def handle(request):
            key = request.headers.get('Idempotency-Key')
            body = await request.read()
            context.requests.append((name, key, body, context.loop.time()))
            return await answer(request)

        app = web.Application()
        app.router.add_post('/{path:.*}', handle)
        return start(context, app)

    context.entries = (
        serve('first', FAULTS[fault]),
        serve('second', answer_successfully),
    )


class FirstChoice(Random):
    """Random generator with which a client starts at its first target.

    It also disables the jitter of retries.
    """

    def randrange(self, *bounds):
        """Return the index of the first target.

        :param bounds: ignored.
        :returns: 0.
        """
        return 0

    def random(self):
        """Return the factor of the jitter.

        :returns: 0, which disables it.
        """
        return 0


def send_call(context, kind, path):
    """Send one call, with its retries, to the fake entry processes."""
    record = CallRecord(kind=kind, identity='o1')
    request = CallRequest(
        tuple(f'{url}{path}' for url in context.entries),
        {'order_id': 'o1'},
        {'Idempotency-Key': 'k1'},
    )

    async def run():
        async with aiohttp.ClientSession() as session:
            client = LoadClient(session, FirstChoice())
            async with asyncio.timeout(30):
                await client.call(request, record)

    context.run(run())
    context.call = record


@when('an order is sent to the first')
def step_order(context):
    send_call(context, 'order', '/orders')


@when('a stream is requested from the first')
def step_stream(context):
    send_call(context, 'chat', '/chat')


@then('it is answered by the second with the same key after {wait:g} s')
def step_second(context, wait):
    assert context.call.is_answered
    (_, key, body, first_s), (name, second_key, second_body, second_s) = (
        context.requests
    )
    assert (name, key, body) == ('second', second_key, second_body)
    assert second_s - first_s >= wait
    assert len(context.call.attempts) == 2


@then("there was one attempt and the program's outcome is {outcome}")
def step_final(context, outcome):
    assert len(context.requests) == len(context.call.attempts) == 1
    program = ProgramRecord(name='p', workspace='w', key_name='k')
    program.calls.append(context.call)
    assert loadrun._program_outcome(program.calls[-1]) == outcome


@then('the text is that of the second entry alone')
def step_text(context):
    assert context.call.is_answered
    assert context.call.text == 'two '
    assert context.call.finish_reason == 'stop'
    assert [attempt.status for attempt in context.call.attempts] == [0, 200]
