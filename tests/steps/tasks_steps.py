"""Steps of sharedstate/tasks.feature."""

import asyncio
import json
import time
from contextlib import suppress
from unittest import mock

from behave import given, then, when

from rattanvalve.channels import Address
from rattanvalve.platform.servers import decode_server
from rattanvalve.sharedstate import loop_delay, tasks

ENTRY = {
    'service': 'app',
    'address': '10.0.0.1:80',
    'zone': 'z',
    'slots': 4,
    'state': 'ready',
    'born': 1,
}


@given('a process of two tasks, of which one fails twice')
def step_process(context):
    context.begun = {'failing': 0, 'sound': 0}

    async def failing():
        context.begun['failing'] += 1
        if context.begun['failing'] <= 2:
            raise KeyError('injected task failure')
        await asyncio.Event().wait()

    async def sound():
        context.begun['sound'] += 1
        await asyncio.Event().wait()

    context.build = lambda store: [failing, sound]


@when('it runs for {duration_s:g} seconds')
def step_run(context, duration_s):
    async def run():
        with suppress(TimeoutError):
            async with asyncio.timeout(duration_s):
                await tasks.run_tasks(Address('127.0.0.1', 1), context.build)

    context.log = mock.Mock()
    with (
        mock.patch.object(tasks, 'RESTART_PAUSE_S', 0.05),
        mock.patch.object(tasks, '_log', context.log),
    ):
        context.run(run())


@then('the failing task has begun {count:d} times and the other one once')
def step_begun(context, count):
    assert context.begun == {'failing': count, 'sound': 1}, context.begun


@then('each failure is logged with its cause')
def step_logged(context):
    calls = context.log.error.call_args_list
    assert len(calls) == 2, calls
    assert all(isinstance(call[1]['exc_info'], KeyError) for call in calls)


@then('a server entry with the address "{address}" names no server')
def step_no_server(context, address):
    spec = json.dumps(ENTRY | {'address': address}).encode()
    assert decode_server('s', spec) is None


@then('a server entry with a cold time of {cold_ms:d} ms counts as warm')
def step_warm(context, cold_ms):
    spec = json.dumps(ENTRY | {'coldRemainingMs': cold_ms}).encode()
    assert decode_server('s', spec).cold_ms == 0


@given(
    'a loop whose timers are late by 20, 80, 300 and 60 ms, a second apart',
)
def step_late(context):
    context.late_s = (0.02, 0.08, 0.3, 0.06)


def logged_delays(log):
    """Return the logged delays in milliseconds, in order."""
    return [call[1]['extra']['delay_ms'] for call in log.warning.call_args_list]


@then('the lines tell 80 ms at once and 300 ms after five seconds')
def step_lines(context):
    log = mock.Mock()
    with mock.patch.object(loop_delay, '_log', log):
        delay = loop_delay.LoopDelay(0)
        for now_s, late_s in enumerate(context.late_s, start=1):
            delay.record(late_s, now_s)
        assert logged_delays(log) == [80]
        delay.record(0, 8)
    assert logged_delays(log) == [80, 300]


@then('a loop that is held for {held_ms:d} ms logs at least {least_ms:d} ms')
def step_held_loop(context, held_ms, least_ms):
    async def run():
        running = asyncio.ensure_future(loop_delay.LoopDelay(0).run())
        await asyncio.sleep(0.05)
        asyncio.get_running_loop().call_soon(time.sleep, held_ms / 1000)
        # The timer that is checked is due before this one.
        await asyncio.sleep(2 * loop_delay.CHECK_INTERVAL_S)
        running.cancel()

    log = mock.Mock()
    with mock.patch.object(loop_delay, '_log', log):
        context.run(run())
    assert logged_delays(log) and logged_delays(log)[0] >= least_ms, (
        logged_delays(log)
    )
