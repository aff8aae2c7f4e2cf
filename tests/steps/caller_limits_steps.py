"""Steps of gateway/caller_limits.feature; the programs are processes."""

import asyncio
import sys
import time

from behave import given, then, when

from tests.caller_crowds import run_crowd
from tests.limited_gateway import LimitedGateway

ORDINARY_INTERVAL_S = 0.1
#: A third of the time that the route allows.
ORDINARY_MAX_S = 1.0


@given(
    'a gateway process with {memory_mb:d} MB of memory and '
    '{descriptors:d} descriptors'
)
def step_gateway(context, memory_mb, descriptors):
    context.limited = LimitedGateway(memory_mb, descriptors)
    context.closers.append(context.limited.stop)
    context.run(context.limited.start())


@when('{count:d} clients send {kind} to {path}')
def step_crowd(context, count, kind, path):
    gateway = context.limited
    port = gateway.callers_port
    if path.startswith('/ready'):
        port = gateway.ready_port
    context.run(run_crowd(kind, count, gateway.host, port, path))


@when('{count:d} connections to its {port} are opened while it is paused')
def step_paused(context, count, port):
    gateway = context.limited
    context.writers = context.run(gateway.connect_while_paused(port, count))

    async def close():
        for writer in context.writers:
            writer.close()

    context.closers.append(close)


@then('its table of descriptors never had more than {count:d} entries')
def step_table(context, count):
    size = context.limited.descriptor_table_size()
    assert size <= count, size


@then('all {count:d} connections were open before the process went on')
def step_open(context, count):
    assert len(context.writers) == count, len(context.writers)


@then('the process lives within its memory and its descriptors')
def step_within_limits(context):
    gateway = context.limited
    assert gateway.is_alive(), 'the gateway has ended'
    peak_kb = gateway.memory_peak_kb()
    counts = f'{peak_kb} kB, {gateway.descriptors_peak} descriptors'
    sys.stdout.write(f'peak {counts}\n')
    assert peak_kb * 1024 <= gateway.memory_mb * 1_000_000, peak_kb
    assert gateway.descriptors_peak <= gateway.descriptors_max, (
        gateway.descriptors_peak
    )


@then('an ordinary request is answered')
def step_answered(context):
    gateway = context.limited
    assert context.run(gateway.is_answered())
    assert gateway.is_alive(), 'the gateway has ended'


@then('a request with {count:d} fields is answered')
def step_fields_answered(context, count):
    assert context.run(context.limited.is_answered(field_count=count))


@when('{count:d} requests to {path} and ordinary ones are sent at once')
def step_endless(context, count, path):
    gateway = context.limited
    #: Status and duration in seconds of each ordinary request.
    context.ordinary = []
    has_ended = asyncio.Event()

    async def send_ordinary():
        while not has_ended.is_set():
            started_s = time.monotonic()
            status = await gateway.request()
            context.ordinary.append((status, time.monotonic() - started_s))
            await asyncio.sleep(ORDINARY_INTERVAL_S)

    async def send():
        ordinary = asyncio.ensure_future(send_ordinary())
        await gateway.send_crowd(path, count)
        has_ended.set()
        await ordinary

    context.run(send())


@then('all ordinary requests were answered in time')
def step_ordinary_answered(context):
    statuses = {status for status, _ in context.ordinary}
    longest_s = max(duration_s for _, duration_s in context.ordinary)
    sys.stdout.write(
        f'{len(context.ordinary)} requests, longest {longest_s:.2f} s\n'
    )
    assert statuses == {200}, context.ordinary
    assert longest_s < ORDINARY_MAX_S, longest_s


@when('{count:d} requests at once with {size:d} bytes each are sent')
def step_send_all(context, count, size):
    context.statuses = _send_all(context, count, size)


@then('some of them are answered, or refused as not run')
def step_some_answered(context):
    # Status 0: the connection ended without a response, which is allowed.
    statuses = set(context.statuses)
    assert statuses <= {0, 200, 502, 503}, statuses
    assert statuses & {200, 503}, statuses


@then('{count:d} requests at once with {size:d} bytes each are answered')
def step_all_answered(context, count, size):
    statuses = _send_all(context, count, size)
    assert set(statuses) == {200}, statuses


def _send_all(context, count, size):
    async def send():
        requests = (
            context.limited.request(body_bytes=size) for _ in range(count)
        )
        return await asyncio.gather(*requests)

    return context.run(send())
