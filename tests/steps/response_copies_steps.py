"""Steps of response_copies.feature."""

import asyncio
import json
from unittest import mock

from behave import given, then, when

from rattanvalve import outcomes, response_copies
from rattanvalve.channels import Address
from rattanvalve.counters import Metrics
from rattanvalve.messages import Member, Settled, View
from rattanvalve.peer_server import PeerServer
from rattanvalve.response_copies import ResponseCopies
from rattanvalve.views import ROLE_ENTRY
from tests import ingress_checks
from tests.ingress_bench import (
    SECRET,
    TEXT,
    eventually,
    open_bench,
    parse_stream_text,
)


@given('no copies are kept')
def step_no_copies(context):
    patch = mock.patch.object(ResponseCopies, 'add', lambda *given_copy: None)
    patch.start()
    context.closers.append(patch.stop)


@given('the caller of a keyed {kind} request left the ingress entry-z')
def step_left(context, kind):
    headers = {'Idempotency-Key': 'key-1'}
    context.kind = kind
    ingress_checks.disconnect_early(context, kind, headers)
    first = context.bench
    first.endpoint.release.set()
    context.run(first.open_requests.wait_idle())
    server = PeerServer(SECRET, first.copies.handlers(), Metrics())
    address = context.run(server.start(Address('127.0.0.1', 0)))
    context.closers.append(server.stop)
    context.entry = Member(
        name='entry-z',
        role=ROLE_ENTRY,
        host=address.host,
        port=address.port,
    )


@when(
    'it retries at entry-a, where the owner says {owner} and the endpoint '
    '{records}',
)
def step_retry(context, owner, records):
    bench = open_bench(context)
    bench.blackboard.view = View(epoch=1, members=(context.entry,))
    bench.owner.ticket_count = 1
    bench.owner.decisions = [owner]
    bench.endpoint.settle_script = [records]
    headers = {'Idempotency-Key': 'key-1'}
    sent = ingress_checks.request_of(bench, context.kind, headers)
    context.found = context.run(ingress_checks.read_all(sent))


@then('it gets the complete text without another run')
def step_complete(context):
    raw = context.found[1]
    is_stream = context.kind == 'stream'
    text = parse_stream_text(raw) if is_stream else json.loads(raw).get('text')
    assert text == TEXT, raw
    assert not context.bench.endpoint.runs, context.bench.endpoint.runs


@then('the check of the complete text fails')
def step_incomplete(context):
    try:
        step_complete(context)
    except AssertionError:
        return
    raise AssertionError('a response without a copy')


@then('the oldest copies make room for newer ones and all expire')
def step_bounds(context):
    now_s = [0]
    copies = ResponseCopies(
        own_name='entry-a',
        blackboard=mock.Mock(),
        pool=mock.Mock(),
        clock=lambda: now_s[0],
    )
    with (
        mock.patch.object(response_copies, 'MAX_COPY_COUNT', 3),
        mock.patch.object(response_copies, 'MAX_COPY_BYTES', 10),
    ):
        for number, size in enumerate((1, 1, 1, 1, 9)):
            copies.add(Settled(number=str(number), body=b'x' * size))
            now_s[0] += 1
        assert [each for each in '01234' if copies._get(each)] == ['3', '4']
        now_s[0] += response_copies.RETENTION_S - 1
        assert not any(copies._get(each) for each in '01234')


@when('a caller leaves while the owner decides')
def step_leave(context):
    bench = context.bench

    async def leave():
        sending = asyncio.ensure_future(bench.chat())
        await eventually(lambda: bench.owner.begins)
        sending.cancel()
        await eventually(lambda: bench.owner.left)
        await bench.open_requests.wait_idle()

    context.run(leave())


@then('the owner is asked to settle the request')
def step_asked(context):
    owner = context.bench.owner
    found = [(left.request_id, left.reason) for left in owner.left]
    assert found == [(owner.begins[0].request_id, outcomes.LEFT_REASON)]
