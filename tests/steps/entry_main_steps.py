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
PLACE = {'host': '127.0.0.1', 'port': 0}
SETTINGS = {
    'name': 'entry-a',
    'cell': 'c',
    'zone': 'z',
    'peer_listen': PLACE,
    'peer_secret': 's' * 32,
    'caller_listen': PLACE,
    'admin_listen': PLACE,
    'store_url': 'http://127.0.0.1:1',
}
WRONG = {
    'a missing file': None,
    'text that is not JSON': '{"name"',
    'an unknown field': json.dumps(SETTINGS | {'colour': 'red'}),
    'a short secret': json.dumps(SETTINGS | {'peer_secret': 's'}),
    'a body limit of 100 MiB': json.dumps(
        SETTINGS | {'max_body_bytes': 100 * 1024 * 1024},
    ),
}
#: A service that asks to be stopped as soon as it has started.
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
    """Run the interpreter and collect what it writes."""
    return subprocess.run(
        (sys.executable, *arguments),
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=False,
    )


@then('rattanvalve-entry shows its version')
def step_version(context):
    done = run_python('-m', 'rattanvalve.entry_main', '--version')
    assert done.returncode == 0, done.stderr
    assert __version__ in done.stdout


@then('rattanvalve-entry with {settings} exits with 78 and names "{text}"')
def step_wrong(context, settings, text):
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / 'settings.json'
        if WRONG[settings] is not None:
            path.write_text(WRONG[settings])
        done = run_python(
            '-m',
            'rattanvalve.entry_main',
            '--settings',
            str(path),
        )
    assert done.returncode == 78, done
    assert len(done.stderr.splitlines()) == 1, done.stderr
    assert text in done.stderr
    assert str(path) in done.stderr


@then('a service under the event loop stops on SIGTERM with exit code 0')
def step_sigterm(context):
    done = run_python('-c', SERVICE)
    assert (done.returncode, done.stdout) == (0, 'stopped\n'), done


@then('pulls are dispatched by kind and other kinds are refused')
def step_pulls(context):
    async def answer(message, send):
        await send(message.kind)

    found = []

    async def collect(message):
        found.append(message)

    handler = pull_handler({'view': answer})
    context.run(handler(Pull(kind='view'), collect))
    try:
        context.run(handler(Pull(kind='other'), collect))
    except FrameError:
        found.append('refused')
    assert found == ['view', 'refused']


@then('the {program} program exits with {code:d} and "{text}" with {handling}')
@then('the {program} program exits with {code:d} and "" with {handling}')
def step_early_stop(context, program, code, handling, text=''):
    fields = ENDPOINT if program == 'endpoint' else SETTINGS
    fields = fields | {'drain_grace_s': 0}
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / 'settings.json'
        path.write_text(json.dumps(fields))
        done = run_python(
            '-m',
            'tests.early_stop',
            program,
            handling,
            '--settings',
            str(path),
        )
    assert done.returncode == code, done
    assert text in done.stderr, done.stderr
