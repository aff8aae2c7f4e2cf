"""Steps of ctl_main.feature; admin_api_steps starts the API."""

import json
import tempfile
from pathlib import Path

from aiohttp import web
from aiohttp.test_utils import TestClient, TestServer
from behave import given, then, when
from click.testing import CliRunner

from rattanvalve.ctl_main import main
from tests.samples import sample_document
from tests.steps.admin_api_steps import OPERATOR_KEYS, document_with_rate


def write_files(folder):
    """Write a key and valid, invalid and malformed configuration files."""
    bad = sample_document()
    bad['inventory']['keys'][0]['workspace'] = 'nobody'
    texts = {
        'good.json': json.dumps(document_with_rate(7)),
        'bad.json': json.dumps(bad),
        'broken.json': '{',
        'key': OPERATOR_KEYS['editor'],
    }
    for name, text in texts.items():
        (folder / name).write_text(text)


@given('an HTTP server that answers every request with {body}')
def step_odd_server(context, body):
    async def answer(request):
        return web.Response(text=body, content_type='application/json')

    async def start():
        app = web.Application()
        app.router.add_route('*', '/{path:.*}', answer)
        client = TestClient(TestServer(app))
        await client.start_server()
        return client

    context.client = context.run(start())
    context.closers.append(context.client.close)


@when('rattanvalvectl runs {arguments}')
def step_run(context, arguments):
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        write_files(folder)
        resolved = [
            str(folder / word) if word.endswith('.json') else word
            for word in arguments.split()
        ]
        options = (
            '--url',
            str(context.client.make_url('/')),
            '--key-file',
            str(folder / 'key'),
        )
        # The command runs its own event loop, which requires another thread.
        context.done = context.run(
            context.loop.run_in_executor(
                None,
                CliRunner().invoke,
                main,
                (*options, *resolved),
            ),
        )


@then('it exits with {exit_code:d} and prints {text}')
def step_exit(context, exit_code, text):
    assert context.done.exit_code == exit_code, context.done.output
    assert text in context.done.output, context.done.output


@then('it does not exit with {exit_code:d}')
def step_other_exit(context, exit_code):
    assert context.done.exit_code != exit_code, context.done.output
