"""Steps of gateway/repeated_stop.feature; the programs are processes."""

import asyncio

from behave import given, then, when

HELD_WAIT_S = 0.3


@given('a request that its server holds')
def step_held(context):
    async def send():
        request = context.limited.request(path='/look/held')
        context.held = asyncio.ensure_future(request)
        await asyncio.sleep(HELD_WAIT_S)

    context.run(send())


@when('the process gets {count:d} signals to stop, {interval_s:f} s apart')
def step_signals(context, count, interval_s):
    async def send():
        for _ in range(count):
            context.limited.terminate()
            await asyncio.sleep(interval_s)

    context.run(send())


@when('the server answers')
def step_release(context):
    assert not context.held.done(), context.held
    context.limited.release()


@then('the request that was held is answered')
def step_answered(context):
    assert context.run(context.held) == 200
