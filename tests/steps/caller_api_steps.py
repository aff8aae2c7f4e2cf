"""Steps of caller_api.feature."""

import asyncio
import json
import logging
import zlib
from unittest import TestCase

from behave import given, then, when
from yarl import URL

from rattanvalve import messages
from rattanvalve.catalog import Catalog, Priority
from tests import ingress_checks
from tests.ingress_bench import (
    AUTH,
    EVENT_STREAM,
    TEXT,
    chat_body,
    eventually,
    open_bench,
    parse_stream_text,
)
from tests.ingress_checks import read_all
from tests.samples import NORTH_KEY, SOUTH_KEY

CHAT = '/v1/chat/completions'
SERVICE = '/services/orders-app'
GZIP_WBITS = 31


def chat_with(raw=None, headers=AUTH, **fields):
    """Build method, path and client options of a chat request."""
    body = json.dumps(chat_body(**fields)).encode() if raw is None else raw
    return 'POST', CHAT, {'data': body, 'headers': headers}


def get(path, headers=AUTH, method='GET'):
    """Build method, path and client options of a request without a body."""
    return method, path, {'headers': headers}


def with_header(name, content):
    """Build a chat request with one more header."""
    return chat_with(headers=AUTH | {name: content})


def compress(raw):
    """Compress a body in the gzip format."""
    packer = zlib.compressobj(wbits=GZIP_WBITS)
    return packer.compress(raw) + packer.flush()


GZIP = AUTH | {'Content-Encoding': 'gzip'}
BAD_REQUESTS = {
    'not JSON': chat_with(b'{"model": '),
    'not UTF-8': chat_with(b'{"model": "\xff"}'),
    'body too large': chat_with(b' ' * 5000),
    'compressed bomb': chat_with(compress(b' ' * 10**6), headers=GZIP),
    'body too deep': chat_with(metadata=[[[[[[[[[]]]]]]]]]),
    'body far too deep': chat_with(b'[' * 4000),
    'model is a number': chat_with(model=3),
    'no messages': chat_with(messages=[]),
    'a list as body': chat_with(b'[]'),
    'zero max_tokens': chat_with(max_tokens=0),
    'own resume text': chat_with(resume_text='secret'),
    'bad encoding': chat_with(b'no gzip', headers=GZIP),
    'unknown model': chat_with(model='other'),
    'unknown service': get('/services/other/a'),
    'header too long': with_header('X-Long', 'x' * 9000),
    'program id too long': with_header('Rattanvalve-Program', 'x' * 300),
    'program id in UTF-8': with_header('Rattanvalve-Program', 'žúr'),
    'unknown priority': with_header('Rattanvalve-Priority', 'urgent'),
    'unknown path': get('/v2/other'),
    'wrong method': get(CHAT),
    'unknown method': get(f'{SERVICE}/a', method='PROPFIND'),
    'no key': chat_with(headers={}),
    'empty key': chat_with(headers={'Authorization': 'Bearer '}),
    'other scheme': chat_with(headers={'Authorization': 'Basic abc'}),
    'unknown key': chat_with(headers={'Authorization': 'Bearer other'}),
    'key in UTF-8': chat_with(headers={'Authorization': 'Bearer žúr'}),
    'withdrawn open key': get(
        f'{SERVICE}/public',
        headers={'Authorization': 'Bearer withdrawn'},
    ),
    'engine as service': get('/services/agent-models/v1/cache'),
    'open route program': get(
        f'{SERVICE}/public',
        headers={'Rattanvalve-Program': 'shared'},
    ),
    'closed route': get(f'{SERVICE}/publicity', headers={}),
}


@given('an ingress')
def step_ingress(context):
    open_bench(context)


@when('the bad request "{name}" is sent while a stream is open')
def step_bad(context, name):
    bench = context.bench
    bench.endpoint.script = ['hold2']

    async def send():
        good = asyncio.ensure_future(read_all(bench.chat(stream=True)))
        await eventually(lambda: bench.endpoint.parts_sent == 2)
        method, path, options = BAD_REQUESTS[name]
        sent = bench.client.request(method, path, **options)
        context.found = await read_all(sent)
        bench.endpoint.release.set()
        context.good = await good

    context.run(send())


@then('it is refused with status {status:d} and code {code:d} as not run')
def step_refused_bad(context, status, code):
    response, raw = context.found
    error = json.loads(raw)['error']
    found = (response.status, error['code'])
    assert found == (status, str(code)), (found, error)
    assert response.headers['Rattanvalve-Outcome'] == 'not_run'
    assert set(error) == {'message', 'type', 'code', 'param'}
    counts = context.bench.metrics.counts
    assert sum(counts[name] for name in counts if 'refused' in name) == 1
    assert len(context.bench.endpoint.runs) == 1


@then('the open stream ends complete')
def step_good(context):
    response, raw = context.good
    assert (response.status, parse_stream_text(raw)) == (200, TEXT)


@then('every method reaches the service with path, query and body')
def step_service(context):
    bench = context.bench

    url = URL(f'{SERVICE}/a%20b/c?x=1&y=%2F', encoded=True)
    headers = AUTH | {'Content-Type': 'text/x-order', 'Accept': 'a/b'}
    options = {'data': b'\x00body', 'headers': headers}
    methods = ('GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS')
    for method in methods:
        sent = bench.client.request(method, url, **options)
        assert context.run(read_all(sent))[0].status == 200
    assert [run.method for run in bench.endpoint.runs] == list(methods)
    for run in bench.endpoint.runs:
        assert run.path == '/a%20b/c?x=1&y=%2F', run.path
        assert run.body == b'\x00body'
        found = {header.name: header.content for header in run.headers}
        assert found == {'Content-Type': 'text/x-order', 'Accept': 'a/b'}


@then('an open route runs for the empty workspace')
def step_open_route(context):
    for headers in ({}, AUTH):
        sent = context.bench.client.get(f'{SERVICE}/public/a', headers=headers)
        assert context.run(read_all(sent))[0].status == 200
    begins = context.bench.owner.begins
    assert [begin.workspace for begin in begins] == ['', 'north']
    assert not begins[0].key_digest


@then('the owner gets program, parent, priority, tokens and idempotency key')
def step_begin(context):
    bench = context.bench

    headers = {
        'Rattanvalve-Program': 'p',
        'Rattanvalve-Parent': 'q',
        'Idempotency-Key': 'k',
        'Rattanvalve-Program-End': 'true',
    }
    for priority in ('low', 'high'):
        headers['Rattanvalve-Priority'] = priority
        sent = bench.chat(headers=headers, max_tokens=9)
        response, _ = context.run(read_all(sent))
        assert response.headers['Rattanvalve-Program'] == 'p'
    low, high = bench.owner.begins
    assert (low.priority, high.priority) == (Priority.LOW, Priority.HIGH)
    assert (low.program_id, low.parent_program_id) == ('p', 'q')
    assert (low.idempotency_key, low.is_program_end) == ('k', True)
    assert (low.max_tokens, low.history_digests) == (9, (0,))
    size = len(bench.endpoint.runs[0].body)
    assert low.prompt_tokens == -(-size // 4)
    assert low.is_repeatable
    assert low.service_name == 'agent-models'
    assert low.timeout_ms > 0


@then('requests with one idempotency key share program and shard')
def step_keyed(context):
    south = {'Authorization': f'Bearer {SOUTH_KEY}'}

    keyed = {'Idempotency-Key': 'k'}
    for headers in (keyed, keyed, {}, {'Rattanvalve-Parent': 'root'}):
        sent = context.bench.chat(headers=south | headers)
        assert context.run(read_all(sent))[0].status == 200
    first, again, other, child = context.bench.owner.begins
    assert first.program_id == again.program_id
    assert first.program_id != other.program_id
    assert first.shard == again.shard
    catalog = context.bench.blackboard.catalog
    assert child.shard == catalog.shard_of('south', 'root')
    # Without a priority header the class of the workspace applies.
    assert first.priority == Priority.NORMAL


@then('calls of sub-agents have the shard of their root or are refused')
def step_children(context):
    bench = context.bench
    catalog = bench.blackboard.catalog
    south = {'Authorization': f'Bearer {SOUTH_KEY}'}
    statuses = {0: [], 1: []}
    for index in range(8):
        root = f'root{index}'
        parent = {'Rattanvalve-Parent': f'{root}~first'}
        for extra in ({}, {'Idempotency-Key': f'k{index}'}):
            sent = bench.chat(headers=south | parent | extra)
            response, _ = context.run(read_all(sent))
            program = response.headers['Rattanvalve-Program']
            assert program.startswith(f'{root}~'), program
            alone = {'Rattanvalve-Program': program}
            context.run(read_all(bench.chat(headers=south | alone)))
            shards = {begin.shard for begin in bench.owner.begins[-2:]}
            assert shards == {catalog.shard_of('south', root)}
        named = parent | {'Rattanvalve-Program': 'other'}
        response, _ = context.run(read_all(bench.chat(headers=south | named)))
        is_same = shards == {catalog.shard_of('south', 'other')}
        statuses[is_same].append(response.status)
    assert (set(statuses[0]), set(statuses[1])) == ({400}, {200})


def read_json(context, path, headers):
    """Send a GET request and read its JSON body."""
    sent = context.bench.client.get(path, headers=headers)
    response, raw = context.run(read_all(sent))
    return response, json.loads(raw)


@then('the models are listed only with a key')
def step_models(context):
    _, listed = read_json(context, '/v1/models', AUTH)
    assert [model['id'] for model in listed['data']] == ['small']
    response, _ = read_json(context, '/v1/models', {})
    assert response.status == 401


@then('readiness follows the state of the process')
def step_ready(context):
    readiness = context.bench.blackboard.readiness
    for is_stopping, status in ((False, 200), (True, 503)):
        readiness.is_stopping = is_stopping
        response, _ = read_json(context, '/readyz', {})
        assert response.status == status
        assert ('Retry-After' in response.headers) == is_stopping
        response, _ = read_json(context, '/healthz', {})
        assert response.status == 200


@then('an outcome is returned by its idempotency key')
def step_outcome(context):
    bench = context.bench
    bench.owner.decisions = ['answered', 'unknown', '1010']
    bench.owner.begins = [messages.Begin()]
    path = '/v1/outcomes/key-7'
    _, answered = read_json(context, path, AUTH)
    assert (answered['outcome'], answered['http_status']) == ('answered', 200)
    assert TEXT in answered['body']
    _, unknown = read_json(context, path, AUTH)
    assert unknown['outcome'] == 'unknown'
    response, refused = read_json(context, path, AUTH)
    assert (response.status, refused['error']['code']) == (404, '1010')
    resolve = bench.owner.resolves[0]
    assert (resolve.request_id, resolve.reason) == ('key-7', 'lookup')
    assert resolve.workspace == 'north'


@then('a withdrawn key ends a request that {state}')
def step_withdrawn(context, state):
    ingress_checks.check_key_cut(context, is_stream=state == 'streams')


@then('the run of a {kind} request is {end} after its caller left')
def step_left(context, kind, end):
    ingress_checks.disconnect_early(context, kind)
    ingress_checks.check_end(context, end)
    context.run(context.bench.open_requests.wait_idle())
    assert context.bench.metrics.counts['refused.caller_gone'] == 1


@then('no key is forwarded or logged')
def step_withheld(context):
    logging.disable(logging.NOTSET)
    try:
        with TestCase().assertLogs(level='DEBUG') as logs:
            ingress_checks.check_key_withheld(context)
            ingress_checks.check_crossed(context)
            written = [f'{record.__dict__}' for record in logs.records]
    finally:
        logging.disable(logging.CRITICAL)
    assert NORTH_KEY not in ''.join(written)


@then('a caller that does not read stops the endpoint')
def step_slow(context):
    bench = open_bench(context)
    part = b'data: %b\n\n' % (b'x' * 60_000)
    limit = 1000
    sent = []

    async def flood(run, send):
        number = run.ticket.number
        kind = messages.Header(name='Content-Type', content=EVENT_STREAM)
        await send(
            messages.Head(number=number, http_status=200, headers=(kind,)),
        )
        for _ in range(limit):
            await send(messages.Chunk(number=number, content=part))
            sent.append(number)
        await send(messages.End(number=number, outcome='answered'))

    bench.server._handlers[messages.Run] = flood

    async def read():
        async with bench.chat(stream=True) as response:
            stalled = -1
            while stalled != len(sent):
                stalled = len(sent)
                await asyncio.sleep(0.2)
            assert len(sent) < limit, 'no backpressure reached the endpoint'
            body = await response.read()
            assert len(body) == limit * len(part)

    context.run(read())


@given('an ingress that has no configuration yet')
def step_starting(context):
    open_bench(context).set_catalog(Catalog())


@then(
    'a chat with a valid key and readyz get status {status:d} and code {code:d}'
)
def step_starting_refusal(context, status, code):
    for sent in (context.bench.chat(), context.bench.client.get('/readyz')):
        response, raw = context.run(read_all(sent))
        assert response.status == status
        assert json.loads(raw)['error']['code'] == str(code), raw
        assert 'Retry-After' in response.headers
