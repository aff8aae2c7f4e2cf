"""Steps of logstory.feature, through the command line."""

from behave import given, then, when
from click.testing import CliRunner

from rattanvalve.ctl_main import main


@given('the logs')
def step_logs(context):
    context.logs = '\n'.join(row['text'] for row in context.table)


@when('the story of {request_id} is asked for')
def step_story(context, request_id):
    context.done = CliRunner().invoke(
        main,
        ('story', request_id, '-'),
        input=context.logs,
    )


@then('its lines are {texts}')
def step_lines(context, texts):
    assert context.done.exit_code == 0, context.done.output
    lines = context.done.output.splitlines()
    expected = texts.split(', ')
    assert len(lines) == len(expected), lines
    assert all(map(str.__contains__, lines, expected)), lines


@then('the line of {request_id} is marked and says {text}')
def step_marked(context, request_id, text):
    marked = [
        line for line in context.done.output.splitlines() if line[0] == '>'
    ]
    assert len(marked) == 1, marked
    assert request_id in marked[0]
    assert text in marked[0]


@then('it exits with {exit_code:d}')
def step_exit(context, exit_code):
    assert context.done.exit_code == exit_code, context.done.output
