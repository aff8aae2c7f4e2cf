"""Steps of admin_api.feature, with an in-memory configuration store."""

import asyncio
import json

import msgspec
from aiohttp.test_utils import TestClient, TestServer
from behave import given, then, when
from openapi_spec_validator import validate

from rattanvalve import admin_api
from rattanvalve.admin_requests import AdminContext
from rattanvalve.blackboard import Blackboard
from rattanvalve.catalog import build_catalog
from rattanvalve.configdocs import MAX_CONFIG_BYTES
from rattanvalve.counters import Metrics
from rattanvalve.entry_status import collect_status, status_handler
from rattanvalve.errors import PeerError, StoreConflictError, StoreError
from rattanvalve.keys import key_digest
from rattanvalve.messages import Member, View
from rattanvalve.resultcodes import ResultCode
from rattanvalve.views import ROLE_ENTRY
from tests.samples import sample_catalog, sample_document

OPERATOR_KEYS = {'editor': 'rv-op-editor', 'viewer': 'rv-op-viewer'}
KEYS = {**OPERATOR_KEYS, 'unknown': 'rv-op-unknown', 'none': ''}


class FakeConfigStore:
    """Conditional updates in memory; each call first yields to other tasks."""

    def __init__(self, blackboard):
        self.blackboard = blackboard
        self.newest = blackboard.catalog
        self.records = {}
        self.is_down = False
        self.is_malformed = False
        self.unreachable = ()
        self.generation_at_b = blackboard.catalog.generation

    async def apply(self, config, expected, author, change_id):
        await asyncio.sleep(0)
        if self.is_down:
            raise StoreError('store is down')
        if self.newest.generation != expected:
            raise StoreConflictError('generation changed')
        self.newest = build_catalog(config, expected + 1)
        await self.refresh()
        return self.newest.generation

    async def refresh(self):
        await asyncio.sleep(0)
        self.blackboard.catalog = self.newest

    async def status_of_all(self):
        """Collect the status of all entries.

        Entry b reports an old generation in its first response after a change.
        """
        view = View(
            epoch=1,
            members=tuple(
                Member(name=name, role=ROLE_ENTRY, host=name)
                for name in ('a', 'b', *self.unreachable)
            ),
        )

        async def call(address, message, timeout_s):
            responses = []

            async def send(response):
                responses.append(response)

            if address.host in self.unreachable:
                raise PeerError('no response')
            await status_handler(lambda: self.status('b'))(message, send)
            self.generation_at_b = self.newest.generation
            return responses[0]

        return await collect_status(view, 'a', lambda: self.status('a'), call)

    def status(self, name):
        """Return the status of an entry; b may report an old generation."""
        generation = self.newest.generation
        return {
            'name': name,
            'zone': 'z',
            'epoch': 1,
            'generation': self.generation_at_b if name == 'b' else generation,
            'act_mode': 'full',
            'endpoints': [{'endpoint': 's-1', 'state': 'ready'}],
            'counters': {'refused.rate_exceeded': 7, 'requests': 9},
            'problems': ['the store cannot be reached'],
        }

    async def record(self, generation, entry):
        self.records[generation] = entry

    async def audit(self, last):
        return [self.records[key] for key in sorted(self.records)][-last:]


@given('an administration API')
def step_api(context):
    context.blackboard = Blackboard(catalog=sample_catalog())
    context.store = FakeConfigStore(context.blackboard)
    context.app = admin_api.build_admin_app(
        AdminContext(
            blackboard=context.blackboard,
            metrics=Metrics(),
            operators={
                name: key_digest(key) for name, key in OPERATOR_KEYS.items()
            },
            viewers=frozenset(('viewer',)),
            apply=context.store.apply,
            refresh=context.store.refresh,
            begin_repair=lambda: context.store.is_malformed,
            status=dict,
            status_of_all=context.store.status_of_all,
            explain=None,
            record=context.store.record,
            audit=context.store.audit,
        ),
    )

    async def start():
        client = TestClient(TestServer(context.app))
        await client.start_server()
        return client

    context.client = context.run(start())
    context.closers.append(context.client.close)


async def send_request(context, method, path, key='editor', **parts):
    """Send a request with an operator key and return the JSON body."""
    headers = parts.pop('headers', {})
    if KEYS[key]:
        headers['Authorization'] = f'Bearer {KEYS[key]}'
    response = await context.client.request(
        method,
        path,
        headers=headers,
        **parts,
    )
    return await response.json()


def put_config(context, document, **parts):
    """Replace generation 1 with a document; return the JSON body."""
    return send_request(
        context,
        'PUT',
        '/v1/config',
        headers={'If-Match': '"1"'},
        json=document,
        **parts,
    )


def document_with_rate(rate):
    """Return the sample document with another rate of workspace north."""
    document = sample_document()
    document['rules']['rates']['north']['rate_per_s'] = rate
    return document


@when('{method} {path} is sent with key {key}')
def step_send(context, method, path, key):
    context.body = context.run(send_request(context, method, path, key))


@then('the answer has code {code:d}')
def step_code(context, code):
    assert context.body['error']['code'] == code, context.body


@then('routes and OpenAPI document name the same operations')
def step_routes(context):
    routes = {
        (route.method.lower(), route.resource.canonical)
        for route in context.app.router.routes()
        if route.method != 'HEAD'
    }
    document = json.loads(admin_api._openapi_text())
    described = {
        (method, path)
        for path, operations in document['paths'].items()
        for method in operations
    }
    assert routes == described, routes ^ described


@then('the OpenAPI document is valid')
def step_openapi(context):
    validate(json.loads(admin_api._openapi_text()))


@when('a key is granted to north')
def step_grant(context):
    fields = {'name': 'north-2', 'workspace': 'north'}
    body = context.run(send_request(context, 'POST', '/v1/keys', json=fields))
    context.key = body['key']


@then('the configuration holds its digest and not the key')
def step_digest(context):
    catalog = context.blackboard.catalog
    assert catalog.workspace_of_key(key_digest(context.key)) == 'north'
    assert context.key not in msgspec.json.encode(catalog.config).decode()


@then('the audit record names the operator and not the key')
def step_audit(context):
    body = context.run(send_request(context, 'GET', '/v1/audit', 'viewer'))
    assert body['records'][0]['author'] == 'editor'
    assert context.key not in json.dumps(body)


@when('two operators replace generation 1')
def step_race(context):
    async def race():
        return await asyncio.gather(
            *(put_config(context, document_with_rate(rate)) for rate in (7, 8)),
        )

    context.bodies = context.run(race())


@then('one change is in force and the other answer has code {code:d}')
def step_one(context, code):
    succeeded = [body for body in context.bodies if 'error' not in body]
    failed = [body for body in context.bodies if 'error' in body]
    assert [body['generation'] for body in succeeded] == [2]
    context.body = failed[0]
    assert len(failed) == 1
    assert context.body['error']['code'] == code


@then('the conflict names the newest generation')
def step_newest(context):
    assert context.body['error']['generation'] == 2


@when('{count:d} keys are granted at once')
def step_grant_many(context, count):
    async def grant_all():
        await asyncio.gather(
            *(
                send_request(
                    context,
                    'POST',
                    '/v1/keys',
                    json={'name': f'many-{index}', 'workspace': 'south'},
                )
                for index in range(count)
            ),
        )

    context.run(grant_all())


@then('all {count:d} keys are in force')
def step_all_keys(context, count):
    names = {key.name for key in context.store.newest.config.inventory.keys}
    assert {f'many-{index}' for index in range(count)} <= names


@when('a configuration with an unknown workspace is sent')
def step_invalid(context):
    document = sample_document()
    document['inventory']['keys'][0]['workspace'] = 'nobody'
    context.body = context.run(put_config(context, document))


@then('the answer names the place {place}')
def step_place(context, place):
    assert context.body['error']['place'] == place


@then('generation {generation:d} is in force')
def step_generation(context, generation):
    assert context.store.newest.generation == generation


@when('a change is sent as a dry run')
def step_dry_run(context):
    context.body = context.run(
        put_config(context, document_with_rate(7), params={'dry_run': 'true'}),
    )


@then('the answer lists the change')
def step_lists(context):
    places = [change['place'] for change in context.body['changes']]
    assert places == ['rules.rates.north.rate_per_s']


@when('the store is down and a key is granted')
def step_down(context):
    context.store.is_down = True
    fields = {'name': 'north-2', 'workspace': 'north'}
    context.body = context.run(
        send_request(context, 'POST', '/v1/keys', json=fields)
    )


@when('a configuration above the limit of its size is sent')
def step_too_large(context):
    document = sample_document()
    document['inventory']['filler'] = 'x' * MAX_CONFIG_BYTES
    context.body = context.run(put_config(context, document))


@when('the stored configuration is malformed and the same one is sent')
def step_malformed(context):
    context.store.is_malformed = True
    context.body = context.run(put_config(context, sample_document()))


@given('entry c of the cell does not answer')
def step_unreachable(context):
    context.store.unreachable = ('c',)


@then('generation "²" and a last count of "²" are refused as bad fields')
def step_foreign_digits(context):
    answers = context.run(read_foreign_digits(context))
    codes = {answer['error']['code'] for answer in answers}
    assert codes == {ResultCode.BAD_FIELD}, answers


async def read_foreign_digits(context):
    """Send superscript digits where the API expects numbers."""
    config = await send_request(context, 'GET', '/v1/config')
    return (
        await send_request(
            context,
            'PUT',
            '/v1/config',
            headers={'If-Match': '"²"'},
            json=config,
        ),
        await send_request(context, 'GET', '/v1/audit?last=²'),
    )
