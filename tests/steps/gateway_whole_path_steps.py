"""Steps of gateway/whole_path.feature for calls, keys and drains."""

import asyncio
import json
import time

from behave import given, then, when

from rattanvalve.channels import Address
from rattanvalve.messages import Document
from rattanvalve.peers import PeerPool
from tests.platform_fleet import (
    KEY,
    SECRET,
    configuration,
    open_fleet,
    wait_until,
)


@given('a fleet on the platform')
def step_fleet(context):
    open_fleet(context)
    context.turn_ids = {}
    context.program_id = 'program-1'


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
    # All processes call the store from this address, so it refuses them all.
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
    # One turn store receives the change; the other processes poll it.
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


@when('gateway 0 is stopped while a call is held')
def step_stop(context):
    async def stop():
        fleet = context.fleet
        context.idle = await asyncio.open_connection(
            fleet.host('gateway', 0),
            fleet.callers_port,
        )
        call = asyncio.ensure_future(fleet.request('/book/held'))
        await wait_until(lambda: fleet.arrivals('/book/held'))
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


@then('an unsafe call gets 503 with a Retry-After')
@then('a call through gateway 0 gets 503 with a Retry-After')
def step_cut_off(context):
    status, headers, _ = context.run(context.fleet.request('/book/whole'))
    assert status == 503, status
    assert float(headers['Retry-After']) > 0


@when('gateway 0 is cut off from the turn stores')
def step_lose_stores(context):
    async def cut():
        fleet = context.fleet
        calls = fleet.gateways[0]._calls
        await wait_until(lambda: calls.relays.known_count())
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
