"""Steps of entry_main.feature."""

import json
import subprocess
import sys
import tempfile
from pathlib import Path

from behave import then

from rattanvalve import __version__
from rattanvalve.errors import FrameError
from rattanvalve.messages import Pull
from rattanvalve.pull_dispatch import pull_handler
from tests.steps.endpoint_main_steps import SETTINGS as ENDPOINT

ROOT = Path(__file__).resolve().parent.parent.parent
ANY_PORT = {'host': '127.0.0.1', 'port': 0}
SETTINGS = {
    'name': 'entry-a',
    'cell': 'c',
    'zone': 'z',
    'peer_listen': ANY_PORT,
    'peer_secret': 's' * 32,
    'caller_listen': ANY_PORT,
    'admin_listen': ANY_PORT,
    'store_url': 'http://127.0.0.1:1',
}
INVALID_SETTINGS = {
    'a missing file': None,
    'text that is not JSON': '{"name"',
    'an unknown field': json.dumps(SETTINGS | {'colour': 'red'}),
    'a short secret': json.dumps(SETTINGS | {'peer_secret': 's'}),
    'a body limit of 100 MiB': json.dumps(
        SETTINGS | {'max_body_bytes': 100 * 1024 * 1024},
    ),
}
#: Program with a service that sends itself SIGTERM 0.1 s after its start.
SERVICE = """
import aiomisc, asyncio, os, signal, uvloop
from rattanvalve.entry_main import run_service

class Stopping(aiomisc.Service):
    async def start(self):
        loop = asyncio.get_running_loop()
        assert isinstance(loop, uvloop.Loop)
        loop.call_later(0.1, os.kill, os.getpid(), signal.SIGTERM)

    async def stop(self, exception=None):
        await asyncio.sleep(0)
        print('stopped')

run_service(Stopping(), 60)
"""


def run_python(*arguments):
    """Run the Python interpreter and capture its output."""
    return subprocess.run(
        (sys.executable, *arguments),
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=False,
    )


@then('rattanvalve-entry shows its version')
def step_version(context):
    completed = run_python('-m', 'rattanvalve.entry_main', '--version')
    assert completed.returncode == 0, completed.stderr
    assert __version__ in completed.stdout


@then('rattanvalve-entry with {settings} exits with 78 and names "{text}"')
def step_wrong(context, settings, text):
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / 'settings.json'
        if INVALID_SETTINGS[settings] is not None:
            path.write_text(INVALID_SETTINGS[settings])
        completed = run_python(
            '-m',
            'rattanvalve.entry_main',
            '--settings',
            str(path),
        )
    assert completed.returncode == 78, completed
    assert len(completed.stderr.splitlines()) == 1, completed.stderr
    assert text in completed.stderr
    assert str(path) in completed.stderr


@then('a service under the event loop stops on SIGTERM with exit code 0')
def step_sigterm(context):
    completed = run_python('-c', SERVICE)
    assert (completed.returncode, completed.stdout) == (0, 'stopped\n'), (
        completed
    )


@then('pulls are dispatched by kind and other kinds are refused')
def step_pulls(context):
    async def answer(message, send):
        await send(message.kind)

    received = []

    async def collect(message):
        received.append(message)

    handler = pull_handler({'view': answer})
    context.run(handler(Pull(kind='view'), collect))
    try:
        context.run(handler(Pull(kind='other'), collect))
    except FrameError:
        received.append('refused')
    assert received == ['view', 'refused']


@then('the {program} program exits with {code:d} and "{text}" with {handling}')
@then('the {program} program exits with {code:d} and "" with {handling}')
def step_early_stop(context, program, code, handling, text=''):
    fields = ENDPOINT if program == 'endpoint' else SETTINGS
    fields = fields | {'drain_grace_s': 0}
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / 'settings.json'
        path.write_text(json.dumps(fields))
        completed = run_python(
            '-m',
            'tests.early_stop',
            program,
            handling,
            '--settings',
            str(path),
        )
    assert completed.returncode == code, completed
    assert text in completed.stderr, completed.stderr
