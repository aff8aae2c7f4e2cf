"""Steps of counters.feature."""

from behave import then, when

from rattanvalve.counters import Metrics, refusal_counter_name
from rattanvalve.resultcodes import ResultCode

UNKNOWN_CODE = 9999


@when('a refusal with an unknown result code is counted')
def step_unknown_code(context):
    context.metrics = Metrics()
    context.metrics.count_code(UNKNOWN_CODE)


@then('the counter of internal errors is {count:d}')
def step_internal_errors(context, count):
    name = refusal_counter_name(ResultCode.INTERNAL_ERROR)
    assert context.metrics.counts[name] == count, context.metrics.counts
