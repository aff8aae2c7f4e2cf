"""Steps of cell.feature."""

from contextlib import ExitStack

import hypothesis
from behave import given, then, when

from rattanvalve.errors import InvariantError
from tests import cellsim
from tests.breaks import break_product


@when('random faults meet a cell')
def step_soak(context):
    async def run_actions(actions):
        sim = await cellsim.start_cell()
        for action in actions:
            await sim.act(*action)

    @cellsim.soak_settings
    @hypothesis.given(cellsim.action_lists())
    def soak(actions):
        context.run(run_actions(actions))

    context.failure = None
    try:
        soak()
    except (AssertionError, InvariantError) as error:
        context.failure = error


@given('a break: {name}')
def step_break(context, name):
    stack = ExitStack()
    stack.enter_context(break_product(name))
    context.closers.append(stack.close)


@when('a cell meets the fault {name}')
def step_fault(context, name):
    async def run_fault():
        await getattr(cellsim, name)(await cellsim.start_cell())

    context.failure = None
    try:
        context.run(run_fault())
    except (AssertionError, InvariantError) as error:
        context.failure = error


@then('no check failed')
def step_no_failure(context):
    assert context.failure is None, context.failure


@then('a check failed')
def step_failure(context):
    assert context.failure is not None
