"""Steps of standins/engine.feature."""

import json

import aiohttp
from behave import given, then, when

from rattanvalve.standins.batch import Batch, EngineCosts, Job
from rattanvalve.standins.cache import EventFeed, PrefixCache
from rattanvalve.standins.engine import Engine, EngineBehaviour
from rattanvalve.standins.text import expected_text
from tests.steps.standin_http import (
    journal_events,
    send,
    start_engine,
    wait_for,
)

MESSAGES = [{'role': 'user', 'content': 'plan the route of lorry 7'}]
#: A step takes an hour, so no request completes during a test.
SLOW_COSTS = EngineCosts(step_base_s=3600)


def send_chat(context, headers=None, **fields):
    """Send a chat request; returns status and body."""
    body = {'model': 'm', 'messages': MESSAGES, 'max_tokens': 64, **fields}
    url = f'{context.url}/v1/chat/completions'
    status, _, raw = send(context, 'POST', url, json=body, headers=headers)
    return status, raw


def response_text(raw):
    """Extract the text of a response that is not streamed."""
    return json.loads(raw)['choices'][0]['message']['content']


@given('a stand-in engine')
def step_engine(context):
    context.url = start_engine(context)


@given('a slow stand-in engine')
def step_slow(context):
    context.url = start_engine(context, SLOW_COSTS)


@then(
    'a stream and a plain response give the text expected for its messages',
)
def step_text(context):
    for max_tokens in (3, 64):
        expected = expected_text(MESSAGES, max_tokens)
        plain = json.loads(send_chat(context, max_tokens=max_tokens)[1])
        assert plain['choices'][0]['message']['content'] == expected
        assert plain['usage']['completion_tokens'] == len(expected.split())
        _, raw = send_chat(
            context,
            max_tokens=max_tokens,
            stream=True,
            stream_options={'include_usage': True},
        )
        *frames, done, last = raw.decode().split('\n\n')
        assert (done, last) == ('data: [DONE]', '')
        events = [json.loads(frame.removeprefix('data: ')) for frame in frames]
        deltas = [event['choices'][0]['delta'] for event in events[:-1]]
        assert ''.join(delta.get('content', '') for delta in deltas) == expected
        reason = events[-2]['choices'][0]['finish_reason']
        assert reason == plain['choices'][0]['finish_reason']
        assert events[-1]['usage']['completion_tokens'] > 0
    assert expected_text([{'role': 'user', 'content': 'x'}], 64) != expected


@then('the second turn reports the first one as cached, until a release')
def step_cache(context):
    headers = {'X-Cache-Key': 'north/p1'}
    reply = response_text(send_chat(context, headers)[1])
    longer = [
        *MESSAGES,
        {'role': 'assistant', 'content': reply},
        {'role': 'user', 'content': 'go on'},
    ]
    cached = []
    for path in ('', '/v1/cache/north/p1', '/v1/cache'):
        if path:
            assert send(context, 'DELETE', context.url + path)[0] == 204
        usage = json.loads(send_chat(context, headers, messages=longer)[1])[
            'usage'
        ]
        cached.append(usage['prompt_tokens_details']['cached_tokens'])
        prompt = usage['prompt_tokens']
    assert cached == [prompt - 6, 0, 0]
    assert ('release', 'north/p1') in journal_events(context.engine_journal)


@when('a caller leaves a stream of the engine')
def step_leave(context):
    async def disconnect():
        body = {'model': 'm', 'messages': MESSAGES, 'stream': True}
        url = f'{context.url}/v1/chat/completions'
        async with (
            aiohttp.ClientSession() as session,
            session.post(url, json=body) as response,
        ):
            await response.content.readline()

    context.run(disconnect())


@then('the engine journal ends with a cancel and the batch is empty')
def step_cancelled(context):
    journal = context.engine_journal
    wait_for(context, lambda: 'cancel' in journal.getvalue())
    assert [event for event, _ in journal_events(journal)] == [
        'start',
        'cancel',
    ]
    assert not context.engine.batch.has_work()


@then('resume_text continues its own text and refuses another')
def step_resume(context):
    text = expected_text(MESSAGES, 64)
    head = ' '.join(text.split()[:4])
    assert (
        head + ' ' + response_text(send_chat(context, resume_text=head)[1])
        == text
    )
    head += ' '
    assert head + response_text(send_chat(context, resume_text=head)[1]) == text
    assert send_chat(context, resume_text='other')[0] == 400


@then('an old fencing token is refused only if fencing is checked')
def step_fencing(context):
    for checks_fencing, expected in ((True, 409), (False, 200)):
        context.url = start_engine(context, checks_fencing=checks_fencing)
        statuses = [
            send_chat(context, {'X-Fencing-Token': token})[0]
            for token in ('7', '7', '6')
        ]
        assert statuses == [200, 200, expected]
        old_token = {'X-Fencing-Token': '6'}
        url = f'{context.url}/v1/cache'
        is_refused = send(context, 'DELETE', url, headers=old_token)[0] == 409
        assert is_refused == checks_fencing


@then('a chat request without messages gets a 400 with an error object')
def step_malformed(context):
    status, raw = send_chat(context, messages=[])
    assert status == 400
    assert json.loads(raw)['error']['type'] == 'invalid_request_error'


def make_batch(capacity_tokens=10_000, **costs):
    """Build a batch; returns it with its cache and a list of freed keys."""
    freed = []
    feed = EventFeed()
    cache = PrefixCache(
        capacity_tokens,
        feed,
        lambda key, reason: freed.append((key, reason)),
    )
    return Batch(EngineCosts(**costs), cache), cache, freed


def make_job(name, token_count=3, priority=0, out=None):
    """Build a job that appends its name and each token to ``out``."""
    emitted = [] if out is None else out
    return Job(
        request_id=name,
        cache_key=name,
        messages=[{'role': 'user', 'content': 'w ' * 10}],
        tokens=[f'{name} ' for _ in range(token_count)],
        emit=lambda token: emitted.append((name, token)),
        on_removed=lambda is_complete: None,
        priority=priority,
    )


@then('a batch of 2 runs 5 jobs in order of priority at a growing cost')
def step_priority(context):
    batch, _, _ = make_batch(max_batch_count=2)
    out = []
    for index, priority in enumerate((2, 1, 0, 1, 0)):
        batch.submit(make_job(f'j{index}', 3, priority, out))
    costs = []
    while batch.has_work():
        costs.append(batch.step(0))
    ended = [name for name, token in out if token is None]
    assert ended == ['j2', 'j4', 'j1', 'j3', 'j0']
    # A step with prefill costs most, one with a smaller batch least.
    assert sorted((costs[0], costs[1], costs[-1])) == [
        costs[-1],
        costs[1],
        costs[0],
    ]
    assert len({costs[0], costs[1], costs[-1]}) == 3


@then('a paused job emits nothing until it is resumed')
def step_paused(context):
    batch, _, _ = make_batch()
    out = []
    batch.submit(make_job('a', 3, 0, out))
    batch.step(0)
    assert batch.set_paused('a', is_paused=True)
    assert not batch.set_paused('b', is_paused=True)
    assert not batch.has_work()
    assert batch.queued_count == 1
    batch.step(0)
    assert len(out) == 1
    batch.set_paused('a', is_paused=False)
    while batch.has_work():
        batch.step(0)
    assert [token for _, token in out] == ['a ', 'a ', 'a ', None]


@then('the least recently used entry that is not in use is evicted')
def step_evicted(context):
    # Each entry has 14 prompt tokens and 7 of the response.
    batch, cache, freed = make_batch(capacity_tokens=50)
    for name in ('a', 'b', 'a', 'c'):
        batch.submit(make_job(name))
        while batch.has_work():
            batch.step(0)
    assert cache.keys() == ['a', 'c']
    assert freed == [('b', 'evicted')]
    batch.submit(make_job('a'))
    batch.step(0)
    cache.store('d', [{'content': 'w ' * 100}], 0)
    assert 'a' in set(cache.keys())


@then('an entry released in use is freed when its request ends')
def step_released_in_use(context):
    batch, cache, freed = make_batch()
    batch.submit(make_job('a'))
    batch.step(0)
    cache.release('a', 0)
    assert freed == []
    while batch.has_work():
        batch.step(0)
    assert freed == [('a', 'released')]
    assert cache.held_tokens == 0


@then('load reports are old and cache events are late and have gaps')
def step_lag(context):
    async def make():
        behaviour = EngineBehaviour(load_lag_s=2)
        return Engine(EngineCosts(), behaviour, lambda line: None)

    engine = context.run(make())
    engine.record_load(10)
    engine.batch.submit(make_job('a'))
    engine.record_load(11)
    queued = [
        engine.reported_load(now_s)['queued_count'] for now_s in (9, 12, 13)
    ]
    assert queued == [0, 0, 1]
    feed = EventFeed(delay_s=5, gap_every_count=3)
    for index in range(6):
        feed.add('stored', f'k{index}', 1, now_s=index)
    assert [event.sequence for event in feed.events_after(0, 9)] == [1, 2, 4, 5]
    assert [event.sequence for event in feed.events_after(2, 20)] == [4, 5]
