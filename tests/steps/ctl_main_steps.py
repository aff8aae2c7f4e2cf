"""Steps of ctl_main.feature; the API is that of admin_api_steps."""

import json
import tempfile
from pathlib import Path

from behave import then, when
from click.testing import CliRunner

from rattanvalve.ctl_main import main
from tests.samples import sample_document
from tests.steps.admin_api_steps import OPERATOR_KEYS, changed_document


def write_files(folder):
    """Write the configuration files that the arguments name."""
    bad = sample_document()
    bad['inventory']['keys'][0]['workspace'] = 'nobody'
    texts = {
        'good.json': json.dumps(changed_document(7)),
        'bad.json': json.dumps(bad),
        'broken.json': '{',
        'key': OPERATOR_KEYS['editor'],
    }
    for name, text in texts.items():
        (folder / name).write_text(text)


@when('rattanvalvectl runs {arguments}')
def step_run(context, arguments):
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        write_files(folder)
        words = [
            str(folder / word) if word.endswith('.json') else word
            for word in arguments.split()
        ]
        options = (
            '--url',
            str(context.client.make_url('/')),
            '--key-file',
            str(folder / 'key'),
        )
        # The program runs its own event loop, so it needs its own thread.
        context.done = context.run(
            context.loop.run_in_executor(
                None,
                CliRunner().invoke,
                main,
                (*options, *words),
            ),
        )


@then('it exits with {exit_code:d} and prints {text}')
def step_exit(context, exit_code, text):
    assert context.done.exit_code == exit_code, context.done.output
    assert text in context.done.output, context.done.output


@then('it does not exit with {exit_code:d}')
def step_other_exit(context, exit_code):
    assert context.done.exit_code != exit_code, context.done.output
