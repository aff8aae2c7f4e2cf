"""Steps of standins/cache.feature."""

from unittest import mock

from behave import given, then, when

from rattanvalve.standins.cache import PrefixCache

KEY = 'prefix'
MESSAGES = [{'role': 'user', 'content': 'a question'}]


@given('a prefix that two requests pin')
def step_pinned(context):
    context.on_freed = mock.Mock()
    context.cache = PrefixCache(1000, mock.Mock(), context.on_freed)
    context.cache.pin(KEY, MESSAGES)
    context.cache.store(KEY, MESSAGES, 0)
    for _ in range(2):
        context.cache.pin(KEY, MESSAGES)


@when('it is released and both requests end')
def step_ended(context):
    context.cache.release(KEY, 1)
    context.cache.store(KEY, MESSAGES, 2)
    context.calls_after_first = context.on_freed.call_count
    context.cache.store(KEY, MESSAGES, 3)


@then('it is freed once, by the end of the second request')
def step_freed(context):
    assert context.calls_after_first == 0
    context.on_freed.assert_called_once_with(KEY, 'released')
    assert not context.cache.keys()
