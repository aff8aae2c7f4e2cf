"""Steps of demo.feature."""

import copy
from pathlib import Path

import aiohttp
import msgspec
from aiohttp import web
from behave import given, then, when
from click.testing import CliRunner

from rattanvalve.admin_client import AdminClient
from rattanvalve.child_processes import Children
from rattanvalve.client_records import ProgramRecord, RunRecord
from rattanvalve.demo import incomplete_programs, main
from rattanvalve.fleet import Fleet
from rattanvalve.fleet_settings import plan_fleet
from rattanvalve.scenario import config_document, load_scenario
from rattanvalve.scenario_events import EventContext, run_events
from tests.steps.standin_http import start


@then('the demo finds the programs that should have completed')
def step_incomplete(context):
    run = RunRecord(withdrawn_s={'k2': 5})
    for name, key, outcome in (
        ('a', 'k1', 'completed'),
        ('b', 'k1', 'key_withdrawn'),
        ('c', 'k2', 'key_withdrawn'),
        ('d', 'k2', 'unknown'),
    ):
        run.programs.append(
            ProgramRecord(
                name=name,
                workspace='w',
                key_name=key,
                outcome=outcome,
            ),
        )
    assert [program.name for program in incomplete_programs(run)] == ['b', 'd']


@then('the demo of an unknown scenario ends with code 1')
def step_unknown(context):
    outcome = CliRunner().invoke(main, ('--scenario', 'missing'))
    assert outcome.exit_code == 1
    assert 'demo failed: ' in outcome.output
    assert 'missing.json' in outcome.output


@given('a fake administration API that first fails and has a conflict')
def step_admin(context):
    context.spec = load_scenario('hrafnsdottir')
    keys = {name: f'rv-{name}' for name in context.spec.initial_keys()}
    context.document = config_document(context.spec, keys)
    context.changes = []
    failure_statuses = {
        'PUT /v1/config': [409],
        'PUT /v1/drains/agent-models-2': [503],
    }

    async def handle(request):
        assert request.headers['Authorization'] == 'Bearer rv-operator'
        call = f'{request.method} {request.path}'
        if failure_statuses.get(call):
            return web.Response(status=failure_statuses[call].pop())
        if request.method == 'GET':
            body = {'generation': 7, 'config': copy.deepcopy(context.document)}
            return web.json_response(body, headers={'ETag': '"7"'})
        condition = request.headers.get('If-Match', '')
        body = await request.json() if request.can_read_body else None
        context.changes.append((call, condition, body))
        return web.json_response({'key': 'rv-granted'})

    app = web.Application()
    app.router.add_route('*', '/{path:.*}', handle)
    context.url = start(context, app)


@when('the events of a scenario are carried out')
def step_events(context):
    events = tuple(
        msgspec.structs.replace(event, at_s=0)
        for event in context.spec.events
        if event.action != 'kill_entry'
    )
    spec = msgspec.structs.replace(context.spec, events=events)
    folder = Path('unused')
    fleet = Fleet(spec, folder, plan_fleet(spec), Children(folder))
    context.fleet = fleet
    context.record = RunRecord()

    async def run():
        async with aiohttp.ClientSession() as session:
            # No process listens on the first address, so the client tries the
            # second one.
            urls = ['http://127.0.0.1:9', context.url]
            admin = AdminClient(session, urls, 'rv-operator')
            await run_events(
                EventContext(fleet, admin, context.record, lambda text: None),
                context.loop.time(),
            )

    context.run(run())


@then('the fake API has received each change once')
def step_changes(context):
    found = {
        call: (condition, body) for call, condition, body in context.changes
    }
    assert len(context.changes) == len(found) == 4
    assert found['POST /v1/keys'] == (
        '',
        {'name': 'batch-late', 'workspace': 'night-batch'},
    )
    assert found['DELETE /v1/keys/batch-1'] == ('', None)
    assert found['PUT /v1/drains/agent-models-2'] == ('', None)
    condition, config = found['PUT /v1/config']
    assert condition == '"7"'
    rates = context.document['rules']['rates']
    rates['reykjavik-cold'] = {'rate_per_s': 12, 'burst': 16}
    assert config == context.document


@then('the records name the new rate, the granted and the withdrawn key')
def step_records(context):
    assert [rate.burst for rate in context.record.rates] == [16]
    assert context.fleet.keys == {'batch-late': 'rv-granted'}
    assert list(context.record.withdrawn_s) == ['batch-1']
