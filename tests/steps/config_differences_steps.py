"""Steps of config_differences.feature."""

from behave import when

from rattanvalve.errors import RattanvalveError
from tests import configfaults


@when('the configuration meets the fault {name}')
def step_fault(context, name):
    context.failure = None
    try:
        context.run(configfaults.run_fault(name))
    except (AssertionError, RattanvalveError) as error:
        context.failure = error
