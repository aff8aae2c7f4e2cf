"""Steps of load_main.feature."""

import json
import re
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import msgspec
from behave import given, then, when
from click.testing import CliRunner

from rattanvalve.client_records import RunRecord, write_run
from rattanvalve.comparison import RATIO_NAMES
from rattanvalve.load_main import main
from tests.steps.fleet_steps import is_running, tiny_scenario
from tests.steps.history_check_steps import build_history
from tests.steps.standin_http import TIMEOUT_S


def new_folder(context):
    """Create a temporary folder that is removed after the scenario."""
    folder = tempfile.TemporaryDirectory()
    context.closers.append(folder.cleanup)
    return Path(folder.name)


@given('a kept run whose journal {journal}')
def step_kept(context, journal):
    build_history(context)
    lines = context.lines
    if journal == 'lacks a line':
        lines = [line for line in lines if line.event != 'release']
    context.folder = new_folder(context)
    (context.folder / 'journals').mkdir()
    text = '\n'.join(msgspec.json.encode(line).decode() for line in lines)
    (context.folder / 'journals' / 'all.jsonl').write_text(f'{text}\n')
    (context.folder / 'keys.json').write_text('["rv-key"]')
    history: RunRecord = context.history
    write_run(context.folder / 'run.json', history)


@then('rattanvalve-load check ends with code {code:d}')
def step_check(context, code):
    checked = CliRunner().invoke(main, ('check', str(context.folder)))
    assert checked.exit_code == code, checked.output
    assert 'orders at most once' in checked.output


@then('rattanvalve-load run names the missing scenario file')
def step_missing(context):
    outcome = CliRunner().invoke(main, ('run', '--scenario', 'missing'))
    assert outcome.exit_code == 1
    assert outcome.output.count('\n') == 1
    assert 'missing.json: No such file' in outcome.output


def tiny_scenario_file(context):
    """Write a scenario with one short program and one server per service."""
    scenario = tiny_scenario(step_base_s=0.001)
    workspace = scenario.workspaces[0]
    group = msgspec.structs.replace(
        workspace.groups[0],
        program_count=1,
        programs_per_s=1000,
    )
    tiny = msgspec.structs.replace(
        scenario,
        workspaces=(msgspec.structs.replace(workspace, groups=(group,)),),
        programs=msgspec.structs.replace(scenario.programs, tool_pause_s=0),
        events=(),
    )
    path = new_folder(context) / 'tiny.json'
    path.write_bytes(msgspec.json.encode(tiny))
    return str(path)


@when('rattanvalve-load compares the direct policy with itself')
def step_compare(context):
    command = ('--scenario', tiny_scenario_file(context), '--rounds', '2')
    context.folder = new_folder(context)
    context.outcome = CliRunner().invoke(
        main,
        (
            'run',
            *command,
            '--policy=direct',
            f'--json={context.folder / "runs.json"}',
            f'--html={context.folder / "runs.html"}',
        ),
    )


@then('it ends with code 0 and gives the ratios as table, JSON and plots')
def step_compared(context):
    assert context.outcome.exit_code == 0, context.outcome.output
    output = context.outcome.output
    assert re.search(r'completed +2/2\n', output), output
    assert re.search(r'latency_p95_s .*1.00 \(1.00 to 1.00\)\n', output)
    document = json.loads((context.folder / 'runs.json').read_text())
    assert [run['seed'] for run in document['runs']] == [1, 2]
    assert document['ratios']['direct']['latency_p95_s'] == [1, 1]
    page = (context.folder / 'runs.html').read_text()
    assert page.count('data:image/png') == len(RATIO_NAMES)


def children_of(process):
    """Return the process ids of the children of a process."""
    path = Path(f'/proc/{process.pid}/task/{process.pid}/children')
    return [int(pid) for pid in path.read_text().split()]


@when('{module} is interrupted by {name} while {count:d} servers run')
def step_interrupt(context, module, name, count):
    # The bundled scenarios run for many seconds, so the signal arrives before
    # they end.
    arguments = {
        'rattanvalve.load_main': (
            'run',
            '--scenario=hrafnsdottir',
            '--policy=direct',
        ),
    }
    process = subprocess.Popen(
        (sys.executable, '-m', module, *arguments.get(module, ())),
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
    )
    context.closers.append(process.kill)
    deadline_s = time.monotonic() + TIMEOUT_S
    while len(children_of(process)) < count:
        assert process.poll() is None
        assert time.monotonic() < deadline_s
        time.sleep(0.01)
    context.pids = children_of(process)
    process.send_signal(signal.Signals[name])
    context.code = process.wait(TIMEOUT_S)


@then('it ends with code {code:d} and none of its processes is left')
def step_ended(context, code):
    assert context.code == code
    assert context.pids
    assert not any(map(is_running, context.pids))
