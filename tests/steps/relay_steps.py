"""Steps of relay.feature."""

import json
from contextlib import suppress
from unittest import mock

from aiohttp import ClientPayloadError
from behave import given, then, when
from result import Ok

from rattanvalve import (
    caller_api,
    calls,
    chatstream,
    delivery,
    open_requests,
    relay,
    relay_state,
    runs,
)
from rattanvalve.counters import Counter
from rattanvalve.messages import Header, View
from rattanvalve.request_checks import ServicePath
from rattanvalve.resultcodes import ResultCode, result_code_info
from tests import ingress_checks
from tests.ingress_bench import TEXT, event, open_bench, parse_stream_text


def split_words(text):
    """Split a list of words; a dash means an empty list."""
    return text.replace('-', '').split()


@given('an ingress whose endpoint does "{endpoint}" and owner "{owner}"')
def step_bench(context, endpoint, owner):
    bench = open_bench(context)
    bench.endpoint.script = split_words(endpoint)
    bench.owner.decisions = split_words(owner)


@given('the records say "{records}"')
def step_records(context, records):
    context.bench.endpoint.settle_script = split_words(records)


@given('the endpoint has a view that the ingress and owner get in {delay:g} s')
def step_newer_view(context, delay):
    bench = context.bench
    bench.blackboard.view = View(epoch=3)
    bench.owner.blackboard = bench.blackboard
    bench.endpoint.epoch_min = 4

    def adopt():
        bench.blackboard.view = View(epoch=4)
        bench.blackboard.publish()

    context.loop.call_later(delay, adopt)


@given('responses are held up to {limit:d} bytes')
def step_held(context, limit):
    patch = mock.patch.object(delivery, 'MAX_BUFFERED_BYTES', limit)
    patch.start()
    context.closers.append(patch.stop)


@then('a "{kind}" request ends with a broken connection')
def step_broken(context, kind):
    sent = ingress_checks.request_of(context.bench, kind)
    try:
        found = context.run(ingress_checks.read_all(sent))
    except ClientPayloadError:
        return
    raise AssertionError(found)


@when('a "{kind}" request is sent')
def step_send(context, kind):
    sent = ingress_checks.request_of(context.bench, kind)
    context.found = context.run(ingress_checks.read_all(sent))


@then('the caller has the complete text once after {count:d} runs')
def step_complete(context, count):
    response, raw = context.found
    is_stream = response.content_type == 'text/event-stream'
    text = parse_stream_text(raw) if is_stream else json.loads(raw)['text']
    assert text == TEXT, text
    assert raw.count(b'"role"') == is_stream
    assert raw.endswith(b'data: [DONE]\n\n') == is_stream
    assert response.headers['Rattanvalve-Outcome'] == 'answered'
    assert response.headers['Rattanvalve-Program']
    assert len(context.bench.endpoint.runs) == count
    numbers = [run.ticket.number for run in context.bench.endpoint.runs]
    assert len(set(numbers)) == count


@then('the last run continued "{text}"')
def step_resumed(context, text):
    found = context.bench.endpoint.runs[-1:]
    resumed = ''.join(run.resume_text for run in found)
    assert resumed.split() == split_words(text), resumed


@then('the caller gets status {status:d}, code {code:d} and outcome {outcome}')
def step_refused(context, status, code, outcome):
    response, raw = context.found
    error = json.loads(raw)['error']
    found = (response.status, error['code'])
    assert found == (status, str(code)), found
    assert response.headers['Rattanvalve-Outcome'] == outcome
    assert error['type'] == result_code_info(code).error_type
    assert ('Retry-After' in response.headers) == (status in {429, 503})
    assert int(response.headers.get('Retry-After', 1)) >= 1
    name = f'refused.{ResultCode(code).name.lower()}'
    assert context.bench.metrics.counts[name] == 1
    violations = context.bench.metrics.counts[Counter.INVARIANT_VIOLATED]
    assert violations == (code == ResultCode.INTERNAL_ERROR)


@then('the stream ends with an error event of code {code:d}')
def step_error_event(context, code):
    raw = context.found[1]
    last = raw.decode().strip().rpartition('\n\n')[2]
    assert json.loads(last.removeprefix('data: '))['error']['code'] == str(code)
    assert b'[DONE]' not in raw


@then('a chat stream with tool calls or several choices is not resumable')
def step_not_resumable(context):
    tools = chatstream.ChatStream(is_resumable=True)
    tools.feed(event(content='a'))
    assert tools.is_resumable
    tools.feed(event(tool_calls=[{'index': 0}]))
    several = chatstream.ChatStream(is_resumable=False)
    assert several.is_resumable, 'nothing was sent yet'
    several.feed(event(content='a'))
    assert not tools.is_resumable
    assert not several.is_resumable


def forward_all_headers(headers):
    """Forward all headers, as a proxy without an allow-list does."""
    return tuple(
        Header(name=name, content=content) for name, content in headers.items()
    )


async def deliver_unchecked(message, progress):
    """Forward a message without checking its ticket number."""
    await relay_state._deliver(message, progress.delivery)


#: Target, attribute and replacement that disable each mechanism.
MECHANISMS = {
    'resume text': (delivery.Delivery, 'resume_text', ''),
    'whole events': (
        chatstream.ChatStream,
        'feed',
        lambda stream, content: content,
    ),
    'number check': (relay, 'forward_message', deliver_unchecked),
    'hand-over note': (
        relay_state.Progress,
        'mark_dispatched',
        lambda progress, place: setattr(progress, 'number', place.number),
    ),
    'header list': (calls, 'forwarded_headers', forward_all_headers),
    'catalog watch': (
        open_requests.OpenRequests,
        'cut_withdrawn',
        lambda requests, catalog: None,
    ),
    'path check': (
        caller_api,
        'check_service_path',
        lambda raw, query: Ok(ServicePath(raw, raw)),
    ),
    'kept run': (runs, '_NonRepeatableRun', ingress_checks.CallerBoundRun),
}


@then('the check of "{check}" fails without "{mechanism}"')
def step_catches(context, check, mechanism):
    ingress_checks.CHECKS[check](context)
    has_passed = False
    with mock.patch.object(*MECHANISMS[mechanism]), suppress(AssertionError):
        ingress_checks.CHECKS[check](context)
        has_passed = True
    assert not has_passed, 'the check does not notice'
