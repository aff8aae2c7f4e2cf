"""Steps of store.feature."""

import json

import aiohttp
from aiohttp import web
from behave import given, then, when

from rattanvalve.counters import Counter, Metrics
from rattanvalve.errors import StoreConflictError, StoreError
from rattanvalve.store import StoreClient


class FakeObjectStore:
    """Object API for a single object, with faults that can be injected.

    ``fault`` is empty, ``down``, ``before`` or ``after``. The last two break
    the connection of a write before or after it takes effect.
    """

    def __init__(self):
        self.version = 0
        self.body = b''
        self.fault = ''
        self.call_count = 0

    async def handle(self, request):
        """Answer GET, watch and PUT requests."""
        self.call_count += 1
        if self.fault == 'down':
            return web.Response(status=503)
        if request.method == 'PUT':
            return await self.put(request)
        known = request.query.get('watch_after')
        if known == str(self.version):
            return web.Response(status=304)
        return self.answer() if self.version else web.Response(status=404)

    async def put(self, request):
        """Write conditionally; a fault closes the connection."""
        # The HTTP client retries a broken PUT once; both attempts fail, as
        # the fault stays set.
        fault = self.fault
        is_new = request.headers.get('If-None-Match') == '*'
        expected = '"0"' if is_new else request.headers['If-Match']
        if expected != f'"{self.version}"':
            return web.Response(status=412)
        if fault != 'before':
            self.version += 1
            self.body = await request.read()
        if fault:
            request.transport.abort()
        return self.answer()

    def answer(self):
        """Build the response with the current body and version."""
        return web.Response(
            body=self.body,
            headers={'ETag': f'"{self.version}"'},
        )


def document(change_id):
    """Build a JSON document with a change id."""
    return json.dumps({'change_id': change_id, 'content': 1}).encode()


async def no_sleep(delay_s):
    """Return at once instead of waiting."""


@given('a store')
def step_store(context):
    async def start():
        app = web.Application()
        app.router.add_route('*', '/v1/objects/{key}', context.store.handle)
        runner = web.AppRunner(app)
        await runner.setup()
        await web.TCPSite(runner, '127.0.0.1', 0).start()
        context.url = f'http://127.0.0.1:{runner.addresses[0][1]}'
        context.session = aiohttp.ClientSession()
        context.closers.extend((runner.cleanup, context.session.close))

    context.store = FakeObjectStore()
    context.run(start())
    context.now_s = 0
    context.metrics = Metrics()
    context.client = new_client(context)


def new_client(context):
    """Create a client that uses the clock of the scenario."""
    return StoreClient(
        context.url,
        context.session,
        context.metrics,
        clock=lambda: context.now_s,
        sleep=no_sleep,
    )


def put(context, version, change_id):
    """Write a document; the outcome is the new version or the error class."""
    try:
        context.outcome = context.run(
            context.client.put('k', document(change_id), version, change_id),
        )
    except StoreError as error:
        context.outcome = type(error)
    return context.outcome


@then('reads and conditional writes follow the versions')
def step_versions(context):
    assert context.run(context.client.get('k')) is None
    assert put(context, 0, 'one') == 1
    assert put(context, 0, 'two') is StoreConflictError
    assert put(context, 1, 'two') == 2
    stored = context.run(context.client.get('k'))
    assert (stored.version, stored.body) == (2, document('two'))


@then('a watch gives newer versions only')
def step_watch(context):
    watched = [
        context.run(context.client.watch('k', version, 0)) for version in (1, 2)
    ]
    assert watched[0].version == 2
    assert watched[1] is None


@when('the response of a write is lost after it took effect')
def step_lost(context):
    context.store.fault = 'after'
    put(context, 0, 'one')


@then('the write succeeds and store.read_back is counted')
def step_read_back(context):
    assert context.outcome == 1
    assert context.store.version == 1
    assert context.metrics.counts[Counter.STORE_READ_BACK] == 1


@when('another client writes and then our write fails')
def step_overtaken(context):
    put(context, 0, 'other')
    context.store.fault = 'before'
    put(context, 0, 'ours')


@then('the write conflicts')
def step_conflicts(context):
    assert context.outcome is StoreConflictError
    assert context.store.body == document('other')


@when('a write fails before it took effect')
def step_no_effect(context):
    context.store.fault = 'before'
    put(context, 0, 'one')


@then('the write is an error and no conflict')
def step_error(context):
    assert context.outcome is StoreError, context.outcome
    assert context.store.version == 0
    assert context.metrics.counts[Counter.STORE_ERROR] == 1


@when('{count:d} clients meet an outage')
def step_outage(context, count):
    context.store.fault = 'down'
    context.clients = [new_client(context) for _ in range(count)]
    for client in context.clients:
        read_fails(context, client)


def read_fails(context, client):
    """Return whether a read raises a store error."""
    try:
        context.run(client.get('k'))
    except StoreError:
        return True
    return False


@then('their next calls are spread and none is made at once')
def step_spread(context):
    count = context.store.call_count
    assert all(read_fails(context, client) for client in context.clients)
    assert context.store.call_count == count
    assert context.metrics.counts[Counter.STORE_ERROR] == len(context.clients)
    assert len({client._retry_at_s for client in context.clients}) > 10
    context.store.fault = ''
    context.now_s = 1
    assert not any(read_fails(context, client) for client in context.clients)
