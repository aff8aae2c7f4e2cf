"""Steps of cacheholds.feature and fencing.feature."""

import asyncio
import itertools
from functools import partial
from unittest import mock

from behave import given, then, when

from rattanvalve import cache_keeper
from rattanvalve.cacheholds import CacheHolds
from rattanvalve.counters import Counter, Metrics
from rattanvalve.fencing import FencingGate
from rattanvalve.messages import Ticket
from rattanvalve.resultcodes import ResultCode
from tests.randomised import finds_fault, run_sequences


def check_holds(steps, fault=None):
    """Compare the holds with a dictionary of deadlines after each action."""
    holds, deadlines, now_s = CacheHolds(), {}, 0
    if fault:
        fault(holds)
    for action, first, second in steps:
        key = f'north/p{first % 10}'
        if action % 4 == 0:
            holds.hold(key, second % 50, now_s)
            deadlines[key] = now_s + second % 50
        elif action % 4 == 1:
            is_held = key in deadlines
            assert holds.renew(key, second % 50, now_s) == is_held
            if is_held:
                deadlines[key] = now_s + second % 50
        elif action % 4 == 2:
            is_held = deadlines.pop(key, None) is not None
            assert holds.release(key) == is_held
        else:
            now_s += second % 20
            due = {key for key, end_s in deadlines.items() if end_s <= now_s}
            assert set(holds.pop_due(now_s)) == due
            for expired in due:
                deadlines.pop(expired)


def without_deadline(holds):
    """Break the holds: a released key stays in the set of keys."""
    holds._keys = mock.MagicMock(wraps=holds._keys, discard=lambda key: None)
    holds._check_invariant = lambda: None


def without_renewal(holds):
    """Break the holds: a renewal does not change the deadline."""
    holds.renew = lambda key, hold_s, now_s: key in holds._keys


FAULTS = {
    'a deadline that is forgotten': without_deadline,
    'a renewal that is ignored': without_renewal,
}


@then('random sequences find no fault in the cache holds')
def step_no_fault(context):
    run_sequences(check_holds)


@then('random sequences find cache holds with {fault}')
def step_fault(context, fault):
    assert finds_fault(partial(check_holds, fault=FAULTS[fault]))


class FakeEngine:
    """Engine client that fails once for ``all`` and for ``north/ended``."""

    keeps_cache = True

    def __init__(self):
        self.released = []
        self.failures = {'all', 'north/ended'}
        self.is_done = asyncio.Event()

    async def release(self, cache_key):
        """Release a cache; the first release of some keys fails."""
        if cache_key in self.failures:
            self.failures.remove(cache_key)
            return False
        self.released.append(cache_key)
        if len(self.released) == 3:
            asyncio.get_running_loop().call_soon(self.is_done.set)
        return True

    async def release_all(self):
        """Release all caches; the first call fails."""
        return await self.release('all')


@given('a cache keeper with an engine that fails once')
def step_keeper(context):
    context.engine = FakeEngine()
    context.metrics = Metrics()
    context.keeper = cache_keeper.CacheKeeper(context.engine, context.metrics)


@when('the keeper cleans up, a program ends and another pauses for 40 ms')
def step_clean(context):
    async def use():
        running = asyncio.ensure_future(context.keeper.run())
        ended = Ticket(workspace='north', program_id='ended')
        paused = Ticket(
            workspace='north',
            program_id='paused',
            cache_hold_ms=40,
        )
        for ticket in (ended, paused):
            context.keeper.turn_started(ticket)
            context.keeper.turn_ended(ticket)
        await context.engine.is_done.wait()
        running.cancel()

    with mock.patch.multiple(
        cache_keeper,
        CHECK_INTERVAL_S=0.01,
        RETRY_S=0.01,
    ):
        context.run(asyncio.wait_for(use(), 30))


@then('the engine released everything, then both caches, each once')
def step_released(context):
    released = context.engine.released
    assert released[0] == 'all'
    assert set(released[1:]) == {'north/ended', 'north/paused'}
    assert len(released) == 3
    assert len(context.keeper.holds) == 0
    assert context.metrics.counts[Counter.CACHE_RELEASED] == 2


@then('of the tokens {tokens} these are refused: {refused}')
def step_tokens(context, tokens, refused):
    gate = FencingGate()
    found = [gate.check(int(token)) for token in tokens.split()]
    highest = itertools.accumulate(map(int, tokens.split()), max)
    stale = []
    for token, answer, newest in zip(
        tokens.split(),
        found,
        highest,
        strict=True,
    ):
        if answer is not None:
            stale.append(token)
            assert answer.code == ResultCode.STALE_FENCING_TOKEN
            assert answer.epoch == newest
    assert ' '.join(stale) == refused.replace('none', '')
