"""Steps of sharedstate/staleness.feature."""

import asyncio
import logging
import random
import time
from contextlib import suppress
from unittest import mock

from behave import given, then, when

from rattanvalve.channels import Address
from rattanvalve.counters import Metrics
from rattanvalve.gateway.revocable_streams import RevocableStreams
from rattanvalve.messages import Document
from rattanvalve.platform.names import KIND_CONFIG
from rattanvalve.platform.objects import Changes, StoredEntry
from rattanvalve.sharedstate import staleness_monitor
from rattanvalve.sharedstate.document_tasks import (
    create_exchange,
    create_follower,
)
from rattanvalve.sharedstate.documents import DocumentBoard, DocumentKind
from rattanvalve.sharedstate.rules import TrafficRules
from rattanvalve.sharedstate.shared_state import SharedState
from rattanvalve.sharedstate.staleness import (
    EXCHANGE_JITTER,
    StalenessBounds,
    StalenessBudget,
)
from rattanvalve.sharedstate.staleness_monitor import StalenessMonitor
from tests.staleness_simulation import (
    World,
    lose_turn_stores,
    random_faults,
)
from tests.virtual_time import virtual_time

FAULTS_DURATION_S = 60
LOSS_DURATION_S = 20
CALL_S = 0.01
UNREADABLE_RULES = b'{"routes": [], "version": "seven"}'


@given('rules that were confirmed 0 s ago and must be newer than {bound_s:g} s')
def step_confirmed(context, bound_s):
    context.board = DocumentBoard()
    context.board.confirm(DocumentKind.RULES, 0)
    context.monitor = StalenessMonitor(
        context.board,
        StalenessBounds(rules_s=bound_s),
        Metrics(),
        (DocumentKind.RULES,),
    )
    patch = mock.patch.object(staleness_monitor, '_log')
    context.log = patch.start()
    context.add_cleanup(patch.stop)


@when('their age is checked after {first:g} s, {second:g} s and {third:g} s')
def step_check(context, first, second, third):
    for now_s in (first, second, third):
        context.monitor.check(now_s)


@when('they are confirmed after {now_s:g} s')
def step_confirm(context, now_s):
    context.board.confirm(DocumentKind.RULES, now_s)
    context.monitor.check(now_s)


@then('one line says that the rules are out of date, with an age of {age:d} ms')
def step_stale_line(context, age):
    context.log.warning.assert_called_once()
    extra = context.log.warning.call_args.kwargs['extra']
    assert extra['age_ms'] == age


@then('one line says that they were unconfirmed for {duration:d} ms')
def step_confirmed_line(context, duration):
    context.log.info.assert_called_once()
    extra = context.log.info.call_args.kwargs['extra']
    assert extra['unconfirmed_ms'] == duration


def _simulate(context, world, faults, duration_s):
    """Play a simulation with logs off; keep its findings."""
    logging.disable(logging.WARNING)
    context.add_cleanup(logging.disable, logging.NOTSET)
    random.seed(world.seed)
    with virtual_time() as loop:
        loop.run_until_complete(world.play(duration_s, faults))
    context.world = world


@then('with a bound of {bound_s:g} s an own call of the store ends in time')
def step_call_fits(context, bound_s):
    context.budget = StalenessBudget(bound_s)
    call_end_s = context.budget.call_age_s + context.budget.call_timeout_s
    assert call_end_s <= bound_s, call_end_s


@then('a watch and an exchange take less time than processes rely on peers')
def step_watch_fits(context):
    budget = context.budget
    longest_exchange_s = budget.exchange_interval_s * EXCHANGE_JITTER
    age_s = budget.watch_wait_s + longest_exchange_s
    assert 0 < budget.watch_wait_s < budget.bound_s
    assert age_s < budget.call_age_s, age_s


@then('backup watchers call before the other gateways do')
def step_deputies(context):
    assert context.budget.backup_age_s < context.budget.call_age_s


@when('faults of seed {seed:d} strike 3 turn stores, 5 gateways and the store')
def step_random_faults(context, seed):
    _simulate(context, World(seed), random_faults, FAULTS_DURATION_S)


@when('all {stores:d} turn stores are lost beside {gateways:d} gateways')
def step_lose_all(context, stores, gateways):
    world = World(1, store_count=stores, gateway_count=gateways)
    _simulate(context, world, lose_turn_stores, LOSS_DURATION_S)


@given(
    'processes that rely on peers for {age_s:d} s and watches of {wait_s:d} s'
)
def step_former_constants(context, age_s, wait_s):
    for name, seconds in (
        ('call_age_s', age_s),
        ('backup_age_s', age_s),
        ('watch_wait_s', wait_s),
    ):
        patch = mock.patch.object(StalenessBudget, name, seconds)
        patch.start()
        context.add_cleanup(patch.stop)


@then('no gateway decides by outdated rules as if they were confirmed')
def step_truthful(context):
    outdated = [text for text in context.world.findings if 'outdated' in text]
    assert not outdated, outdated[:3]


@then('each gateway that reaches the store has confirmed rules')
def step_no_findings(context):
    assert not context.world.findings, context.world.findings[:3]


@then('a gateway that reaches the store has unconfirmed rules')
def step_found(context):
    assert any('unconfirmed' in text for text in context.world.findings)


@then(
    'at most {count:d} gateways call the store from {after_s:d} s after the '
    'loss on'
)
def step_few_call(context, count, after_s):
    world = context.world
    since_s = world.loss_s + after_s
    callers = {
        host
        for host in world.gateway_hosts()
        if any(called_s >= since_s for called_s in world.calls_s[host])
    }
    assert len(callers) <= count, sorted(callers)


@then(
    'with rules that may be {rules_s:g} s late and {revocation_s:g} s for a '
    'key, streams end in time'
)
def step_streams_end(context, rules_s, revocation_s):
    streams = RevocableStreams(revocation_s, rules_s)
    call = mock.Mock()
    call.route.is_stream = True
    timeout = mock.Mock()
    timeout.when.return_value = float('inf')
    nobody = TrafficRules(needs_keys=True)
    with streams.track(call, timeout):
        streams.apply_rules(nobody, now_s=rules_s)
    latest_s = max(revocation_s, rules_s)
    assert timeout.reschedule.call_args.args[0] <= latest_s


class _FakeStore:
    """Store that has one object of the configuration."""

    def __init__(self):
        self.revision = 1
        self.spec = UNREADABLE_RULES

    async def list_objects(self, kind, timeout_s):
        """Return the object."""
        await asyncio.sleep(CALL_S)
        return self._changes()

    async def watch(self, kind, revision, wait_ms, grace_s):
        """Return the object if it is newer, else nothing after the wait."""
        if revision < self.revision:
            return self._changes()
        await asyncio.sleep(wait_ms / 1000)
        return Changes((), (), self.revision)

    def _changes(self):
        entry = StoredEntry('main', self.revision, self.spec)
        return Changes((entry,), (), self.revision)


class _FakePeers:
    """Turn stores that have rules that cannot be decoded, just confirmed."""

    async def call(self, address, message, timeout_s):
        """Answer a pull."""
        await asyncio.sleep(CALL_S)
        return Document(kind=message.kind, version=5, body=UNREADABLE_RULES)


def _run_for(context, duration_s, run):
    """Run a task on virtual time for a duration in seconds."""
    logging.disable(logging.WARNING)
    context.add_cleanup(logging.disable, logging.NOTSET)

    async def play():
        with suppress(TimeoutError):
            async with asyncio.timeout(duration_s):
                await run()
        context.age_s = context.state.board.confirmation_age_s(
            DocumentKind.RULES, time.monotonic()
        )

    with virtual_time() as loop:
        loop.run_until_complete(play())


def _create_state(context):
    node = mock.Mock(staleness=StalenessBounds())
    node.peer_address = Address('10.0.0.9', 1)
    node.seed_hosts = ('10.0.0.1',)
    context.state = SharedState(node)


@given('a turn store whose rules cannot be decoded')
def step_odd_turn_store(context):
    _create_state(context)


@when('a process exchanges documents with it for {duration_s:d} second')
def step_exchange_odd(context, duration_s):
    exchange = create_exchange(context.state, _FakePeers())
    _run_for(context, duration_s, exchange.run)


@given('a store whose rules cannot be decoded')
def step_odd_store(context):
    _create_state(context)
    context.store = _FakeStore()


@when('a process follows the rules for {duration_s:d} second')
def step_follow(context, duration_s):
    follower = create_follower(
        context.state, context.store, KIND_CONFIG, lambda: True
    )
    _run_for(context, duration_s, follower.run)


@when(
    'the operators replace them by sound ones and it follows for '
    '{duration_s:d} second'
)
def step_replace(context, duration_s):
    context.store.revision += 1
    context.store.spec = b'{"version": 7, "routes": []}'
    step_follow(context, duration_s)


@then('its rules are not confirmed')
def step_not_confirmed(context):
    assert context.age_s == float('inf'), context.age_s


@then('its rules are confirmed')
def step_rules_confirmed(context):
    assert context.age_s < StalenessBounds().rules_s, context.age_s
