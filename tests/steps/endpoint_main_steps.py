"""Steps of endpoint_main.feature."""

import json
import subprocess
import sys
import tempfile
from pathlib import Path

from behave import then, when

ROOT = Path(__file__).resolve().parent.parent.parent
TIMEOUT_S = 60
SETTINGS = {
    'name': 'endpoint-a',
    'cell': 'cell-1',
    'zone': 'zone-a',
    'peer_listen': {'host': '127.0.0.1', 'port': 0},
    'peer_secret': 's' * 32,
    'service': 'orders-app',
    'kind': 'plain',
    'server_url': 'http://127.0.0.1:9',
    'drain_grace_s': 0,
}


def launch(context, fields):
    """Start the program with settings in a temporary file."""
    folder = tempfile.TemporaryDirectory()
    context.closers.append(folder.cleanup)
    context.path = Path(folder.name) / 'settings.json'
    context.path.write_text(json.dumps(fields))
    return subprocess.Popen(
        (
            sys.executable,
            '-m',
            'tests.endpoint_program',
            '--settings',
            str(context.path),
        ),
        cwd=ROOT,
        stderr=subprocess.PIPE,
        text=True,
    )


@when('the program starts with settings that lack a name')
def step_wrong(context):
    process = launch(context, SETTINGS | {'name': ''})
    context.stderr = process.communicate(timeout=TIMEOUT_S)[1]
    context.code = process.returncode


@then('it exits with 78 and one line that names the file')
def step_refused(context):
    assert context.code == 78, context.stderr
    assert len(context.stderr.splitlines()) == 1, context.stderr
    assert str(context.path) in context.stderr


@when('the program starts with valid settings and gets SIGTERM')
def step_term(context):
    process = launch(context, SETTINGS)
    first = process.stderr.readline()
    while first and 'ready' not in first:
        first = process.stderr.readline()
    process.terminate()
    context.stderr = process.communicate(timeout=TIMEOUT_S)[1]
    context.code = process.returncode


@then('it exits with 0 after the log lines leaving and stopped')
def step_ended(context):
    assert context.code == 0, context.stderr
    lines = [json.loads(line) for line in context.stderr.splitlines()]
    texts = [line['message'] for line in lines]
    assert 'process: leaving' in texts, texts
    assert texts[-1] == 'process: stopped', texts
