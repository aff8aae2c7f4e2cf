"""Steps of streams.feature."""

import asyncio

from behave import given, then, when

from rattanvalve.blackboard import Blackboard
from rattanvalve.counters import Counter, Metrics
from rattanvalve.keys import key_digest
from rattanvalve.open_requests import (
    KeyWithdrawnError,
    OpenRequest,
    OpenRequests,
)
from tests.ingress_checks import without_north_key
from tests.samples import NORTH_KEY, SOUTH_KEY, sample_catalog

DIGESTS = (key_digest(NORTH_KEY), key_digest(SOUTH_KEY), '')


@given('open requests with the keys of north and south and without a key')
def step_open(context):
    context.requests = OpenRequests(Metrics())
    context.release = asyncio.Event()

    async def hold(digest):
        try:
            async with context.requests.enter(OpenRequest(digest)):
                await context.release.wait()
        except KeyWithdrawnError:
            return 'cut'
        return 'complete'

    async def start():
        context.holds = [asyncio.create_task(hold(each)) for each in DIGESTS]
        await asyncio.sleep(0)

    context.run(start())


@when('the key of north is withdrawn')
def step_withdraw(context):
    board = Blackboard(catalog=sample_catalog())

    async def withdraw():
        watching = asyncio.create_task(context.requests.watch(board))
        await asyncio.sleep(0)
        assert not any(hold.done() for hold in context.holds)
        board.catalog = without_north_key()
        board.publish()
        await context.holds[0]
        watching.cancel()

    context.run(withdraw())


@then('the request of north ends and the others go on')
def step_ended(context):
    context.release.set()
    ends = context.run(asyncio.wait_for(asyncio.gather(*context.holds), 60))
    assert ends == ['cut', 'complete', 'complete']
    context.run(context.requests.wait_idle())
    counts = context.requests._metrics.counts
    assert counts[Counter.STREAM_CUT_KEY] == 1


async def cut_at_end(requests):
    """Cut a request at the end of its block."""
    entry = OpenRequest(DIGESTS[0])
    try:
        async with requests.enter(entry):
            entry.cut()
    except KeyWithdrawnError:
        # A pending cancellation would interrupt this sleep.
        await asyncio.sleep(0)
        entry.cut()
        await asyncio.sleep(0)
        return 'cut'
    return 'complete'


@then('a cut at the end of a request ends in this request')
def step_at_end(context):
    assert context.run(cut_at_end(OpenRequests(Metrics()))) == 'cut'


@then('a request that is cut and cancelled stays cancelled')
def step_both(context):
    requests = OpenRequests(Metrics())
    entry = OpenRequest(DIGESTS[0])

    async def hold():
        async with requests.enter(entry):
            await asyncio.sleep(60)

    async def run():
        task = asyncio.create_task(hold())
        await asyncio.sleep(0)
        entry.cut()
        task.cancel()
        await asyncio.wait((task,))
        return task.cancelled()

    assert context.run(run())
