"""Steps of gateway/withdrawn.feature."""

import asyncio
import time
from unittest import mock

from behave import then, when

from rattanvalve.clocks import boot_time_s
from rattanvalve.counters import Counter
from tests.platform_fleet import KEY_REVOCATION_S, configuration, wait_until

#: Longest time until a process adopts a changed configuration.
CONFIG_PROPAGATION_S = 0.8


@when('a call waits for the rate while its key is withdrawn')
def step_waiting(context):
    async def send():
        fleet = context.fleet
        # The first call uses up the burst.
        await fleet.request('/book/whole')
        waiting = asyncio.ensure_future(fleet.request('/book/waiting'))
        await asyncio.sleep(0.05)
        spec = configuration(3, rate=1, burst=1, keys=())
        fleet.store.put('config', 'main', spec)
        context.answer = await waiting

    context.run(send())


@then('it gets {status:d} and does not run')
def step_not_run(context, status):
    assert context.answer[0] == status, context.answer
    assert not context.fleet.arrivals('/book/waiting')


@when('a key is withdrawn while its stream stalls')
def step_open_stream(context):
    async def send():
        fleet = context.fleet
        reading = asyncio.ensure_future(
            fleet.raw_answer(
                '/chat/stall',
                'Request-Id: stalled',
                'Deadline-Ms: 2500',
                'Connection: close',
            ),
        )
        await wait_until(lambda: fleet.arrivals('/chat/stall'))
        started_s = time.monotonic()
        fleet.store.put('config', 'main', configuration(2, keys=()))
        context.bytes = await reading
        context.duration_s = time.monotonic() - started_s

    context.run(send())


@then('the stream ends incomplete within the time for withdrawn keys')
def step_stream_ended(context):
    assert context.bytes.count(b'HTTP/1.1') == 1, context.bytes
    assert not context.bytes.endswith(b'0\r\n\r\n')
    assert context.duration_s < CONFIG_PROPAGATION_S + KEY_REVOCATION_S, (
        context.duration_s
    )


@then('the gateway counts a stream that was cut for its key')
def step_counted(context):
    gateway = context.fleet.gateways[0]
    counts = gateway._state.metrics.counts
    assert counts[Counter.STREAM_CUT_KEY] == 1, counts


@when('the process is paused for {pause_s:d} s between a grant and its use')
def step_paused(context, pause_s):
    later = mock.patch(
        'rattanvalve.gateway.connecting.boot_time_s',
        lambda: boot_time_s() + pause_s,
    )
    with later:
        context.answer = context.run(context.fleet.request('/book/waiting'))


@then('the call gets 429 with a Retry-After and does not run')
def step_late_grant(context):
    status, headers, _ = context.answer
    assert status == 429, status
    assert float(headers['Retry-After']) > 0
    assert not context.fleet.arrivals('/book/waiting')


@when('the store refuses everybody')
def step_store_refuses(context):
    context.fleet.store.refused_hosts.add('127.0.0.1')


@when('server {name} says in its answers that it leaves')
def step_leaving(context, name):
    context.fleet.servers[name].is_leaving = True


@then('gateway 0 sends {name} no request after its first answer')
def step_not_reused(context, name):
    server = context.fleet.servers[name]

    async def send():
        while not server.requests:
            await context.fleet.request('/look/whole')
        for _ in range(20):
            answer = await context.fleet.request('/look/whole')
            assert answer[0] == 200, answer

    context.run(send())
    assert len(server.requests) == 1, len(server.requests)


@when('the store answers again and {name} starts anew')
def step_restart(context, name):
    store = context.fleet.store
    store.refused_hosts.clear()
    context.fleet.servers[name].is_leaving = False
    entry = store.stored['servers', name]
    spec = entry['spec'] | {'born': 2}
    store.put('servers', name, spec)


@then('gateway 0 sends {name} requests again')
def step_used_again(context, name):
    server = context.fleet.servers[name]
    count = len(server.requests)

    async def send():
        while len(server.requests) == count:
            await context.fleet.request('/look/whole')

    context.run(asyncio.wait_for(send(), 5))
