"""Steps of turnstore/crashes_main.feature; the command is a process."""

import asyncio
import json
import os
import sys
import time

from behave import then, when

from rattanvalve.platform.programs import SECRET_VARIABLE
from rattanvalve.standins.crashes import MARKER
from tests.platform_fleet import SECRET, wait_until

REQUEST_PAUSE_S = 0.3


async def run_command(fleet, *arguments):
    """Run the command against turn store 0; return its output."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        '-m',
        'rattanvalve.turnstore.crashes_main',
        f'--host={fleet.host("store", 0)}',
        f'--port={fleet.first_port}',
        *arguments,
        env=os.environ | {SECRET_VARIABLE: SECRET.decode()},
        stdout=asyncio.subprocess.PIPE,
    )
    output, _ = await process.communicate()
    assert process.returncode == 0, output
    return output.decode()


@when('a request crashes 3 servers through gateway 0')
def step_crash(context):
    async def crash():
        for _ in range(3):
            await context.fleet.request('/book/whole', 0, body=MARKER)
            await asyncio.sleep(REQUEST_PAUSE_S)

    context.run(crash())
    assert context.fleet.deadly.crash_count() == 3


@then('gateways 0 and 1 refuse it with 501 and code 1506')
def step_refused(context):
    for gateway in (0, 1):
        status, _, body = context.run(
            context.fleet.request('/book/whole', gateway, body=MARKER)
        )
        assert status == 501, (gateway, status, body)
        assert json.loads(body)['code'] == 1506, body
    assert context.fleet.deadly.crash_count() == 3


@then('the command lists it with 3 crashes')
def step_listed(context):
    output = context.run(run_command(context.fleet, 'list'))
    row = next(line for line in output.splitlines() if '/book/whole' in line)
    fingerprint, count = row.split()[:2]
    context.fingerprint = fingerprint
    assert count == '3', output
    assert 'farm' in row and 'app-' in row, output


@when('the command lifts its block')
def step_lift(context):
    context.run(run_command(context.fleet, 'lift', context.fingerprint))


@then('soon no gateway blocks it')
def step_lifted(context):
    tables = [
        gateway._tables.crashes.table
        for gateway in context.fleet.gateways.values()
    ]
    context.run(
        wait_until(
            lambda: (
                not any(
                    table.block(context.fingerprint, time.monotonic())
                    for table in tables
                )
            )
        )
    )
