"""Steps of sharedstate/staleness.feature."""

import logging
import random
from unittest import mock

from behave import given, then, when

from rattanvalve.counters import Metrics
from rattanvalve.sharedstate import staleness_monitor
from rattanvalve.sharedstate.documents import DocumentBoard, DocumentKind
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


@then('deputies call before the other gateways do')
def step_deputies(context):
    assert context.budget.deputy_age_s < context.budget.call_age_s


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
        ('deputy_age_s', age_s),
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
