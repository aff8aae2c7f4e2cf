"""Steps of sharedstate/staleness.feature."""

from unittest import mock

from behave import given, then, when

from rattanvalve.counters import Metrics
from rattanvalve.sharedstate import staleness_monitor
from rattanvalve.sharedstate.documents import DocumentBoard, DocumentKind
from rattanvalve.sharedstate.staleness import StalenessBounds
from rattanvalve.sharedstate.staleness_monitor import StalenessMonitor


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
