"""Steps of gateway/resumed_streams.feature."""

import asyncio

from behave import given, then, when

from tests.platform_servers import EVENTS

#: The three events of the stand-in count 27 tokens; this header reserves 9.
SHORT_TURN = {'Token_Usage': '100,1'}
#: Shorter than the time until the rate limit admits the next request.
CANCEL_AFTER_S = 0.3
PROGRAM = {'Program_Id': 'program-1', 'Token_Usage': '100,27'}


def send_plan(context, budget, number=0, path='/plan/stream', **headers):
    """Send a turn, by default on the route that keeps no turns."""
    return context.run(
        context.fleet.request(
            path,
            number % 2,
            Token_Budget=str(budget),
            **PROGRAM | headers,
        ),
    )


@given('server {name} joins the fleet')
def step_join(context, name):
    async def join():
        await context.fleet.add_server(name)
        await asyncio.sleep(0.5)

    context.run(join())


@when(
    'a program with a budget of {budget:d} tokens sends {count:d} turns '
    'on route plan',
)
def step_budget(context, budget, count):
    answers = [send_plan(context, budget, number) for number in range(count)]
    context.statuses = [answer[0] for answer in answers]


@when(
    'a program with {budget:d} tokens sends {count:d} turns in vain '
    'on route plan',
)
def step_refused_turns(context, budget, count):
    context.budget = budget
    for number in range(count):
        status, headers, _ = send_plan(context, budget, number)
        assert status == 503, status
        assert float(headers['Retry-After']) > 0
        context.run(asyncio.sleep(0.2))


@when('a turn of a program with {budget:d} tokens is given up while it waits')
def step_cancel_waiting(context, budget):
    context.budget = budget
    fleet = context.fleet
    turn = {'Token_Budget': str(budget), **PROGRAM}

    async def cancel_waiting():
        # The first turn uses up the burst, so the second one has to wait.
        first = await fleet.request('/plan/stream', 0, **turn | SHORT_TURN)
        assert first[0] == 200, first
        waiting = asyncio.ensure_future(
            fleet.request('/plan/stream', 0, **turn | SHORT_TURN),
        )
        await asyncio.sleep(CANCEL_AFTER_S)
        waiting.cancel()
        await asyncio.sleep(2)

    context.run(cancel_waiting())
    assert fleet.arrivals('/plan/stream') == 1


@then('one more short turn of the program is answered')
def step_short(context):
    status, _, body = send_plan(context, context.budget, **SHORT_TURN)
    assert status == 200, (status, body)


@then('one more turn of the program on route plan is answered')
def step_one_more(context):
    status, _, body = send_plan(context, context.budget)
    assert status == 200, (status, body)


@then('a caller that resumes plan after event 1 gets events 2 and 3')
def step_resume(context):
    answer = send_plan(context, 1000, 1, Last_Event_Id='1')
    assert (answer[0], answer[2]) == (200, b''.join(EVENTS[1:])), answer


@then('a caller that resumes chat after event 1 gets all events')
def step_not_resumable(context):
    answer = send_plan(context, 1000, 1, path='/chat/stream', Last_Event_Id='1')
    assert (answer[0], answer[2]) == (200, b''.join(EVENTS)), answer


@then(
    'a caller that resumes plan after "{first}" or "{second}" gets 400 '
    'and nothing runs',
)
def step_malformed(context, first, second):
    before = context.fleet.arrivals('/plan/stream')
    for text in (first, second):
        status = send_plan(context, 1000, 0, Last_Event_Id=text)[0]
        assert status == 400, status
    assert context.fleet.arrivals('/plan/stream') == before


@when('a stream on route plan is sent to the path {action}')
def step_send(context, action):
    context.action = action
    context.bytes = context.run(
        context.fleet.raw_answer(
            f'/plan/{action}',
            'Request-Id: broken-off',
            'Deadline-Ms: 2500',
            'Program-Id: program-1',
            'Token-Budget: 60',
            'Token-Usage: 100,27',
            'Connection: close',
        ),
    )


@then('the caller gets each event once under the seal of the first server')
def step_resumed_stream(context):
    head, _, rest = context.bytes.partition(b'\r\n\r\n')
    first = min(
        (
            server
            for server in context.fleet.servers.values()
            for request in server.requests
            if 'Last-Event-Id' not in request[2]
        ),
        key=lambda server: server.name,
    )
    assert f'Server-Seal: {first.name}'.encode() in head, head
    assert join_chunks(rest) == b''.join(EVENTS), rest
    assert rest.endswith(b'0\r\n\r\n')


@then('the tokens of the stream are counted once')
def step_counted(context):
    # 27 of 60 tokens are spent, so the budget allows one more turn only.
    context.run(asyncio.sleep(0.2))
    statuses = [send_plan(context, 60, number)[0] for number in range(2)]
    assert statuses == [200, 402], statuses


@then('the caller gets whole events only and a stream that is not complete')
def step_incomplete_stream(context):
    rest = context.bytes.partition(b'\r\n\r\n')[2]
    assert join_chunks(rest) == EVENTS[0], rest
    assert not rest.endswith(b'0\r\n\r\n')


@then('one server got the stream')
def step_one_server(context):
    assert context.fleet.arrivals(f'/plan/{context.action}') == 1


def join_chunks(rest):
    """Join the data of a chunked body; the last chunk may be truncated."""
    body = b''
    while rest:
        size, _, rest = rest.partition(b'\r\n')
        length = int(size, 16)
        body += rest[:length]
        rest = rest[length + 2 :]
    return body
