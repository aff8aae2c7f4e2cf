"""Steps of speed/speed.feature."""

from behave import then, when
from click.testing import CliRunner

from rattanvalve.load_main import main


@when('rattanvalve-load speed sends one round of short requests')
def step_speed(context):
    arguments = ['speed', '--rounds', '1', '--kind', 'short']
    context.command_result = CliRunner().invoke(main, arguments)
    assert context.command_result.exit_code == 0, context.command_result.output


@then('its table has a row for the engine and one for the product')
def step_rows(context):
    lines = context.command_result.output.splitlines()
    context.rows = [line.split() for line in lines if line.startswith('short')]
    assert [row[1] for row in context.rows] == ['direct', 'product']


@then('each row of the product states processor time of both processes')
def step_costs(context):
    # Before the costs: burst, target, two times of two words each, and a ratio
    # with its spread of four words.
    entry, endpoint = context.rows[1][10:12]
    assert int(entry.replace(',', '')) > 0
    assert int(endpoint.replace(',', '')) > 0
