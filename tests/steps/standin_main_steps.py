"""Steps of standins/main.feature."""

import asyncio
import signal
import socket
import subprocess
import sys
from contextlib import suppress

import aiohttp
from behave import then, when
from click.testing import CliRunner

from rattanvalve import __version__, load_main
from rattanvalve.standins import main as standin_main
from tests.steps.standin_http import TIMEOUT_S


@when('rattanvalve-standin runs a {kind}')
def step_run(context, kind):
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        port = probe.getsockname()[1]
    context.url = f'http://127.0.0.1:{port}'
    module = 'rattanvalve.standins.main'
    context.child = subprocess.Popen(
        (sys.executable, '-m', module, kind, f'--port={port}'),
        stderr=subprocess.DEVNULL,
    )
    context.closers.append(context.child.kill)


@then('it becomes ready, and SIGTERM ends it with code 0')
def step_ready(context):
    async def wait_ready():
        async with (
            asyncio.timeout(TIMEOUT_S),
            aiohttp.ClientSession() as session,
        ):
            while context.child.poll() is None:
                with suppress(aiohttp.ClientError):
                    response = await session.get(f'{context.url}/readyz')
                    return response.status
                await asyncio.sleep(0.01)

    assert context.run(wait_ready()) == 200
    context.child.send_signal(signal.SIGTERM)
    assert context.child.wait(TIMEOUT_S) == 0


@then('rattanvalve-standin and rattanvalve-load show the package version')
def step_version(context):
    for program in (standin_main.main, load_main.main):
        result = CliRunner().invoke(program, ('--version',))
        assert result.output.strip().endswith(__version__)
