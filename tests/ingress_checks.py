"""Ingress checks, also run with a mechanism disabled to see them fail."""

import asyncio
import json

from rattanvalve import inventory
from rattanvalve.catalog import build_catalog
from rattanvalve.counters import Counter
from rattanvalve.keys import key_digest
from rattanvalve.runs import _NonRepeatableRun
from tests.ingress_bench import (
    AUTH,
    TEXT,
    eventually,
    open_bench,
    parse_stream_text,
)
from tests.samples import NORTH_KEY, sample_document

#: HTTP status of a request whose key is withdrawn, by whether it is a stream;
#: a stream that has begun keeps its status.
STATUS_OF_CUT = {True: 200, False: 401}


class CallerBoundRun(_NonRepeatableRun):
    """A run that is cancelled when its caller disconnects."""

    def detach(self):
        """Cancel the run instead of keeping it."""
        self.task.cancel()


def without_north_key():
    """Build generation 2 of the sample catalog, without the key of north."""
    document = sample_document()
    digest = key_digest(NORTH_KEY)
    document['inventory']['keys'] = [
        key
        for key in document['inventory']['keys']
        if key['digest_sha256'] != digest
    ]
    raw = json.dumps(document).encode()
    return build_catalog(inventory.parse_config(raw).unwrap(), 2)


async def read_all(sent):
    """Return the response to a sent request and its whole body."""
    async with sent as response:
        return response, await response.read()


def read_chat(context, endpoint, owner='ticket', **fields):
    """Send a chat request to a new ingress and read the response."""
    bench = open_bench(context)
    bench.endpoint.script = endpoint.split()
    bench.owner.decisions = owner.split()
    return context.run(read_all(bench.chat(**fields)))


def check_resume(context):
    """Check that a resumed stream contains each word exactly once."""
    try:
        text = parse_stream_text(read_chat(context, 'break3', stream=True)[1])
    except ValueError as error:
        raise AssertionError('a partial event was forwarded') from error
    assert text == TEXT, text


def check_crossed(context):
    """Check that no byte of another run reaches the caller."""
    assert TEXT.encode() not in read_chat(context, 'crossed')[1]


def check_unknown_outcome(context):
    """Check that an interrupted run is reported as unknown, not as not run."""
    response, _ = read_chat(context, 'break1', 'ticket 1301')
    assert response.headers['Rattanvalve-Outcome'] == 'unknown'


def check_key_withheld(context):
    """Check that endpoint and owner receive neither the key nor a cookie."""
    bench = open_bench(context)
    headers = AUTH | {'Cookie': 'c=1', 'X-Api-Key': NORTH_KEY}
    for sent in (
        bench.chat(headers=headers),
        bench.client.get('/services/orders-app/list', headers=headers),
    ):
        response, _ = context.run(read_all(sent))
        assert response.status == 200
        assert 'X-Host' not in response.headers
    assert len(bench.endpoint.runs) == 2
    seen = repr((bench.endpoint.runs, bench.owner.begins))
    assert NORTH_KEY not in seen
    assert 'Cookie' not in seen


def check_key_cut(context, *, is_stream=True):
    """Check that withdrawing a key ends its request in flight."""
    bench = open_bench(context)
    bench.endpoint.script = ['hold2' if is_stream else 'hold0']
    counts = bench.metrics.counts

    async def withdraw():
        reads = asyncio.ensure_future(read_all(bench.chat(stream=is_stream)))
        await eventually(lambda: bench.endpoint.runs)
        await eventually(lambda: bench.endpoint.parts_sent == 2 * is_stream)
        bench.set_catalog(without_north_key())
        await eventually(lambda: counts[Counter.STREAM_CUT_KEY] == 1)
        return await reads

    response, raw = context.run(withdraw())
    error = raw.decode().strip().rpartition('data: ')[2]
    assert json.loads(error)['error']['code'] == '1103'
    assert response.status == STATUS_OF_CUT[is_stream]
    assert counts['refused.key_withdrawn'] == 1
    check_end(context, 'cancelled')


def check_path_traversal(context):
    """Check that dot segments in a path do not bypass authentication."""
    bench = open_bench(context)
    for path in ('public/../orders', 'public/%2e%2e/orders'):
        # The client resolves dot segments unless the path is set as encoded.
        url = bench.client.make_url('/').with_path(
            f'/services/orders-app/{path}',
            encoded=True,
        )
        response, _ = context.run(read_all(bench.client.session.get(url)))
        assert response.status == 404, response.status
    assert not bench.endpoint.runs


def check_non_repeatable_run_kept(context):
    """Check that a non-repeatable run continues without its caller."""
    disconnect_early(context, 'order')
    check_end(context, 'finished')


def check_end(context, end):
    """Check how a run whose caller disconnected ends at the endpoint."""
    endpoint = context.bench.endpoint
    number = endpoint.runs[0].ticket.number
    if end == 'finished':
        # A round trip of another request leaves time for a cancellation that
        # must not be sent.
        context.run(read_all(context.bench.chat()))
        assert endpoint.ended[number] == 'running', 'ended with its caller'
        endpoint.release.set()
    context.run(eventually(lambda: endpoint.ended[number] == end))


def request_of(bench, kind, headers=None):
    """Send an order (``order``) or a chat request."""
    if kind == 'order':
        return bench.client.post(
            '/services/orders-app/orders',
            headers=AUTH | (headers or {}),
        )
    return bench.chat(stream=kind.startswith('stream'), headers=headers)


def disconnect_early(context, kind, headers=None):
    """Send a request and disconnect while its run is in flight."""
    bench = open_bench(context)
    bench.endpoint.script = ['hold2']

    async def leave():
        sent = request_of(bench, kind, headers)
        sending = asyncio.ensure_future(sent)
        await eventually(lambda: bench.endpoint.parts_sent == 2)
        if kind == 'stream':
            (await sending).close()
        sending.cancel()
        counts = bench.metrics.counts
        await eventually(lambda: counts[Counter.CALLER_DISCONNECTED] == 1)

    context.run(leave())


CHECKS = {
    'resume': check_resume,
    'crossed': check_crossed,
    'honest': check_unknown_outcome,
    'key withheld': check_key_withheld,
    'key cut': check_key_cut,
    'closed route': check_path_traversal,
    'order kept': check_non_repeatable_run_kept,
}
