"""Steps of gateway/whole_path.feature."""

import asyncio
import json
import time

from behave import given, then, when

from rattanvalve.channels import Address
from rattanvalve.messages import Document
from rattanvalve.peers import PeerPool
from tests.platform_fleet import (
    KEY,
    OTHER_KEY,
    SECRET,
    WAIT_S,
    PlatformFleet,
    configuration,
    wait_until,
)
from tests.platform_servers import OUTPUT


@given('a fleet on the platform')
def step_fleet(context):
    async def start():
        context.fleet = PlatformFleet()
        await context.fleet.start()

    context.run(start())
    context.closers.append(context.fleet.stop)
    context.turn_ids = {}
    context.program_id = 'program-1'


def send_turn(context, name, text, index, previous='', **headers):
    """Send a turn; gives what the caller gets."""
    turn_id = f'turn-{name}'
    context.turn_ids[name] = turn_id
    return context.run(
        context.fleet.request(
            '/chat/stream',
            index,
            body=text.encode(),
            Request_Id=turn_id,
            Program_Id=context.program_id,
            Previous_Turn=context.turn_ids.get(previous, previous),
            Token_Budget='1000',
            Token_Usage='100,27',
            **headers,
        ),
    )


@when('turn {name} begins with "{text}" through gateway {index:d}')
def step_begin(context, name, text, index):
    status, _, body = send_turn(context, name, text, index)
    assert status == 200, (status, body)


@when(
    'turn {name} continues {previous} with "{text}" through gateway {index:d}'
)
def step_continue(context, name, previous, text, index):
    status, _, body = send_turn(context, name, text, index, previous)
    assert status == 200, (status, body)


@then('the model got the prompts and outputs of a and b before "{text}"')
def step_chain(context, text):
    body = context.fleet.servers['models-1'].last_body()
    assert body == b'hello ' + OUTPUT + b'again ' + OUTPUT + text.encode(), body


@then('a turn of another workspace that continues a gets 404')
def step_foreign(context):
    status = send_turn(context, 'x', 'x', 1, 'a', X_Api_Key=OTHER_KEY)[0]
    assert status == 404, status


@then('a turn that continues an unknown one gets {expected:d}')
def step_unknown(context, expected):
    status = send_turn(context, 'x', 'x', 1, 'never-heard-of')[0]
    assert status == expected, status


@when(
    'all turn stores stop, store {lost:d} loses its disk, and all start again'
)
def step_lose_disk(context, lost):
    async def restart():
        fleet = context.fleet
        for index in range(3):
            await fleet.stop_process(f'store-{index}')
        fleet.wipe(lost)
        for index in range(3):
            fleet.start_turn_store(index, is_first_start=False)
        # The store that lost its disk needs time to catch up.
        marker = fleet.folder / f'store-{lost}' / 'complete'
        await wait_until(marker.exists)
        await fleet.wait_ready(0)
        await fleet.wait_ready(1)

    context.run(restart())


@when('turn store 0 is retired and reports that it is done')
def step_retire(context):
    store = context.fleet.store
    store.put('retirements', 'store-0', {'durationS': 10})

    def is_done():
        status = store.stored['retirements', 'store-0'].get('status') or {}
        return status.get('state') == 'done'

    context.run(wait_until(is_done))
    assert ('turnstores', 'store-0') not in store.stored


@when('turn store 0 stops and turn store 1 stops')
def step_stop_both(context):
    for index in range(2):
        context.run(context.fleet.stop_process(f'store-{index}'))


@when('turn store 1 starts again')
def step_start_again(context):
    async def start():
        context.fleet.start_turn_store(1, is_first_start=False)
        await context.fleet.wait_ready(0)
        await context.fleet.wait_ready(1)

    context.run(start())


@when('two turn stores stop')
def step_two_stop(context):
    for index in range(2):
        context.run(context.fleet.stop_process(f'store-{index}'))


@when('all turn stores stop')
def step_all_stop(context):
    for index in range(3):
        context.run(context.fleet.stop_process(f'store-{index}'))


def turn_of(context, budget, number):
    """Make the request of one turn of a program with a budget."""
    return context.fleet.request(
        '/chat/stream',
        number % 2,
        Program_Id=context.program_id,
        Token_Budget=str(budget),
        Token_Usage='100,27',
    )


@when('a program with a budget of {budget:d} tokens sends {count:d} turns')
def step_budget_at_once(context, budget, count):
    async def send():
        # Each turn is counted at 27 tokens; one by one, so that no two of
        # them refuse each other.
        return [await turn_of(context, budget, n) for n in range(count)]

    context.statuses = [answer[0] for answer in context.run(send())]


@then('{answered:d} turns are answered and {refused:d} get 402')
def step_budget_verdict(context, answered, refused):
    assert context.statuses.count(200) == answered, context.statuses
    assert context.statuses.count(402) == refused, context.statuses


@when('all models refuse')
def step_models_refuse(context):
    context.fleet.servers['models-1'].refuses = True


@when('a program with {budget:d} tokens sends {count:d} turns in vain')
def step_budget_refused(context, budget, count):
    context.budget = budget
    for number in range(count):
        status, headers, _ = context.run(turn_of(context, budget, number))
        assert status == 503, status
        assert float(headers['Retry-After']) > 0
        context.run(asyncio.sleep(0.2))


@when('all models accept again')
def step_models_accept(context):
    context.fleet.servers['models-1'].refuses = False


@then('one more turn of the program is answered')
def step_one_more(context):
    status, _, body = context.run(turn_of(context, context.budget, 0))
    assert status == 200, (status, body)


@when('the rate is set to {rate:d} a second with a burst of {burst:d}')
def step_rate(context, rate, burst):
    spec = configuration(2, rate=rate, burst=burst)
    context.fleet.store.put('config', 'main', spec)
    context.run(asyncio.sleep(2))


@when('{count:d} calls are sent at once through both gateways')
def step_many_calls(context, count):
    async def send():
        return await asyncio.gather(
            *(
                context.fleet.request('/book/whole', n % 2)
                for n in range(count)
            ),
        )

    started_s = time.monotonic()
    context.answers = context.run(send())
    context.duration_s = time.monotonic() - started_s


@then('at most {burst:d} of them run and the others get 429 with a Retry-After')
def step_rate_verdict(context, burst):
    ran = sum(
        len(context.fleet.servers[name].requests) for name in ('app-1', 'app-2')
    )
    # The rate adds 10 a second while the calls are answered.
    assert 1 <= ran <= burst + 10 * context.duration_s + 1, ran
    statuses = [answer[0] for answer in context.answers]
    assert statuses.count(200) == ran
    refused = [answer for answer in context.answers if answer[0] == 429]
    assert len(refused) == len(statuses) - ran, statuses
    assert all(float(headers['Retry-After']) > 0 for _, headers, _ in refused)


@when('a call carries forged headers and its key')
def step_forged(context):
    status = context.run(
        context.fleet.request(
            '/book/whole?x=1',
            body=b'body',
            Tenant='shop',
            Expect_Instance='other',
            Request_Priority='0',
            Hold='h',
            Kv_From='1.2.3.4:5/x',
            Pin_Ms='1000',
            Custom='kept',
        ),
    )[0]
    assert status == 200, status
    context.seen = [
        (server.name, request)
        for server in context.fleet.servers.values()
        for request in server.requests
    ]


@then('the server sees its workspace, the endpoint and the time left')
def step_sees(context):
    assert len(context.seen) == 1
    name, (method, target, headers, body) = context.seen[0]
    assert (method, target, body) == ('POST', '/book/whole?x=1', b'body')
    assert headers['Tenant'] == 'farm'
    assert headers['Expect-Instance'] == name
    assert headers['Request-Priority'] == '1'
    assert headers['Custom'] == 'kept'
    assert 2000 < int(headers['Deadline-Ms']) <= 2500


@then('the server sees neither the key nor the forged headers')
def step_not_seen(context):
    headers = context.seen[0][1][2]
    assert not {'X-Api-Key', 'Hold', 'Kv-From', 'Pin-Ms'} & headers.keys()
    assert KEY not in str(headers)


@when('the store refuses gateway 0')
def step_store_refuses(context):
    fleet = context.fleet
    # All calls come from loopback, so the store tells them by their kind.
    fleet.store.refused_hosts.add('127.0.0.1')
    context.run(asyncio.sleep(0.2))


@when('the key of the workspace is withdrawn')
def step_withdraw(context):
    fleet = context.fleet
    spec = configuration(2, keys=())
    fleet.store.put('config', 'main', spec)
    document = Document(kind='rules', version=2, body=json.dumps(spec).encode())
    pool = PeerPool(SECRET)
    address = Address(fleet.host('store', 0), fleet.first_port)
    # One turn store learns of the change; the others ask it.
    context.run(pool.call(address, document, 1))
    pool.close()


@then('the key gets 401 through both gateways within {limit:d} s')
def step_withdrawn(context, limit):
    async def wait():
        async with asyncio.timeout(limit):
            for index in range(2):
                while True:
                    answer = await context.fleet.request('/look/whole', index)
                    if answer[0] == 401:
                        break
                    await asyncio.sleep(0.05)

    context.run(wait())


def arrivals(context, action):
    """Count the requests with an action at all servers."""
    return sum(
        target.endswith(action)
        for server in context.fleet.servers.values()
        for _, target, _, _ in server.requests
    )


@then('an unsafe call that breaks gets 502 and reaches one server')
def step_unsafe_break(context):
    status = context.run(context.fleet.request('/book/break'))[0]
    assert (status, arrivals(context, '/book/break')) == (502, 1), status


@then('a safe call that breaks reaches two servers')
def step_safe_break(context):
    status = context.run(context.fleet.request('/look/break', method='GET'))[0]
    assert (status, arrivals(context, '/look/break')) == (502, 2), status


@when('server {name} refuses')
def step_server_refuses(context, name):
    context.fleet.servers[name].refuses = True


@then('{count:d} unsafe calls are answered by {name}')
def step_answered_by(context, count, name):
    for _ in range(count):
        status, _, body = context.run(context.fleet.request('/book/whole'))
        assert (status, body) == (200, name.encode()), (status, body)


@then('an unsafe call gets 503 with a Retry-After')
def step_all_refuse(context):
    status, headers, _ = context.run(context.fleet.request('/book/whole'))
    assert status == 503, status
    assert float(headers['Retry-After']) > 0


@then('a call with extra answers around its own gets its own')
def step_extra(context):
    for _ in range(5):
        answer = context.run(context.fleet.request('/book/extra'))
        assert (answer[0], answer[2]) == (200, b'mine'), answer
        answer = context.run(context.fleet.request('/book/whole'))
        assert answer[0] == 200 and answer[2].startswith(b'app-'), answer


@then('calls whose answer is cut or has no seal do not look complete')
def step_cut(context):
    for path in ('/book/short', '/book/unsealed'):
        status = context.run(context.fleet.request(path))[0]
        assert status == 502, (path, status)
    status, _, body = send_turn_path(context, '/chat/cut')
    assert status == 0, (status, body)


def send_turn_path(context, path):
    """Send a turn whose stream the server treats by its path."""
    return context.run(
        context.fleet.request(
            path,
            Program_Id='program-2',
            Token_Budget='1000',
            Token_Usage='100,27',
        ),
    )


@when('a caller reads the bytes of a stream that stalls')
def step_stall(context):
    async def read():
        fleet = context.fleet
        reader, writer = await asyncio.open_connection(
            fleet.host('gateway', 0),
            fleet.callers_port,
        )
        lines = (
            'POST /chat/stall HTTP/1.1',
            'Host: farm.example',
            'Request-Id: stalled',
            'Deadline-Ms: 500',
            f'X-Api-Key: {KEY}',
            'Content-Length: 0',
        )
        writer.write('\r\n'.join((*lines, '', '')).encode())
        context.bytes = await asyncio.wait_for(reader.read(), WAIT_S)

    context.run(read())


@then('the bytes hold one response that is not complete')
def step_stalled(context):
    assert context.bytes.count(b'HTTP/1.1') == 1, context.bytes
    assert not context.bytes.endswith(b'0\r\n\r\n')


@when('a caller leaves a held call')
def step_leave(context):
    async def leave():
        call = asyncio.ensure_future(context.fleet.request('/book/held'))
        await wait_until(lambda: arrivals(context, '/book/held'))
        call.cancel()

    context.run(leave())


@then('the server sees its connection closed')
def step_left(context):
    events = [server.left for server in context.fleet.servers.values()]
    context.run(wait_until(lambda: any(event.is_set() for event in events)))


@when('gateway 0 is stopped while a call is held')
def step_stop(context):
    async def stop():
        fleet = context.fleet
        context.idle = await asyncio.open_connection(
            fleet.host('gateway', 0),
            fleet.callers_port,
        )
        call = asyncio.ensure_future(fleet.request('/book/held'))
        await wait_until(lambda: arrivals(context, '/book/held'))
        stopping = asyncio.ensure_future(fleet.stop_process('gateway-0'))
        await asyncio.sleep(0.3)
        for server in fleet.servers.values():
            server.release.set()
        context.held = await call
        await stopping

    context.run(stop())


@then('the held call is answered')
def step_held(context):
    assert (context.held[0], context.held[2]) == (200, b'released')


@then('an idle connection to gateway 0 is closed')
def step_idle(context):
    reader, _ = context.idle
    assert context.run(asyncio.wait_for(reader.read(1), 1)) == b''


@when('server app-1 reports that it drains')
def step_drains(context):
    store = context.fleet.store
    spec = store.stored['servers', 'app-1']['spec'] | {'state': 'draining'}
    store.put('servers', 'app-1', spec)


@when('an entry without an address replaces that of app-1')
def step_malformed(context):
    context.fleet.store.put('servers', 'app-1', {'service': 'app', 'slots': []})


@when('the store drops its history and app-1 is removed')
def step_history(context):
    context.fleet.store.remove('servers', 'app-1')
    context.fleet.store.drop_history()


@then('soon only app-2 answers')
def step_only_other(context):
    context.run(asyncio.sleep(0.5))
    for number in range(20):
        answer = context.run(
            context.fleet.request('/look/whole', number % 2, 'GET'),
        )
        assert (answer[0], answer[2]) == (200, b'app-2'), answer


@then('gateway 0 is not ready')
def step_not_ready(context):
    context.run(context.fleet.wait_ready(0, is_ready=False))


@then('a call through gateway 0 gets 503 with a Retry-After')
def step_cut_off(context):
    status, headers, _ = context.run(context.fleet.request('/book/whole'))
    assert status == 503, status
    assert float(headers['Retry-After']) > 0


@when('gateway 0 is cut off from the turn stores')
def step_cut_off(context):
    async def cut():
        fleet = context.fleet
        calls = fleet.gateways[0]._calls
        await wait_until(lambda: calls.relays.is_known())
        fleet.cut_off(0)
        await wait_until(lambda: not calls.reaches_stores())
        await wait_until(lambda: not calls.is_cut_off())

    context.run(cut())


@then('gateway 0 is ready, and not ready once gateway 1 is cut off, too')
def step_both_cut_off(context):
    async def cut():
        fleet = context.fleet
        await fleet.wait_ready(0)
        fleet.cut_off(1)
        await fleet.wait_ready(0, is_ready=False)
        status, headers, _ = await fleet.request('/look/x', 0)
        assert status == 503, status
        assert float(headers['Retry-After']) > 0

    context.run(cut())
