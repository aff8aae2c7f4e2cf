"""Demo: runs the bundled scenarios, with operators' changes and a crash.

Run it with ``python -m rattanvalve.demo``. It exits with 0 only if every
program completed, except programs whose key was withdrawn, and every check of
the history holds.
"""

import asyncio
import sys
import tempfile
import time
from functools import partial
from pathlib import Path

import click
import uvloop

from rattanvalve.client_records import (
    ProgramOutcome,
    ProgramRecord,
    RunRecord,
)
from rattanvalve.errors import RattanvalveError
from rattanvalve.experiment import Experiment, run_experiment
from rattanvalve.history_check import check_history
from rattanvalve.history_evidence import Evidence
from rattanvalve.main_task import InterruptedRunError, cancel_on_signals
from rattanvalve.report import program_table, verdict_table
from rattanvalve.scenario import bundled_scenarios, load_scenario

__all__ = ('incomplete_programs', 'main')

_POLICY = 'affinity/program_fair'
_SIGNAL_EXIT_BASE = 128
#: The demo fails after this time, even if a process hangs.
_TIME_LIMIT_S = 55.0


def incomplete_programs(run: RunRecord) -> list[ProgramRecord]:
    """Return the programs that should have completed but did not.

    :param run: records of the clients.
    :returns: programs that did not complete, without those that were refused
        because their key had been withdrawn.
    """
    return [
        program
        for program in run.programs
        if program.outcome != ProgramOutcome.COMPLETED
        and not (
            program.outcome == ProgramOutcome.KEY_WITHDRAWN
            and program.key_name in run.withdrawn_s
        )
    ]


@click.command()
@click.option('--seed', default=1, help='Seed of programs and arrivals.')
@click.option(
    '--scenario',
    'names',
    multiple=True,
    default=bundled_scenarios,
    help='Scenario to run; repeat for several. Default: all bundled ones.',
)
def main(seed: int, names: tuple[str, ...]) -> None:
    """Run the product with stand-in servers and check the history."""
    began_s = time.monotonic()
    try:
        run_evidence = uvloop.run(cancel_on_signals(_run_all(names, seed)))
    except InterruptedRunError as error:
        click.echo(f'{error}; all processes were ended', err=True)
        sys.exit(_SIGNAL_EXIT_BASE + error.number)
    except (RattanvalveError, TimeoutError) as error:
        click.echo(f'demo failed: {error or "time limit exceeded"}', err=True)
        sys.exit(1)
    verdicts = [_print_summary(evidence) for evidence in run_evidence]
    click.echo(f'\nfinished in {time.monotonic() - began_s:.1f} s')
    sys.exit(0 if all(verdicts) else 1)


async def _run_all(names: tuple[str, ...], seed: int) -> list[Evidence]:
    with tempfile.TemporaryDirectory(prefix='rattanvalve-demo-') as folder:
        async with asyncio.timeout(_TIME_LIMIT_S):
            return await _run_together(names, seed, Path(folder))


async def _run_together(
    names: tuple[str, ...],
    seed: int,
    folder: Path,
) -> list[Evidence]:
    # In a task group, the failure of one run cancels the other runs, which
    # stops their processes.
    async with asyncio.TaskGroup() as group:
        tasks = [
            group.create_task(run_experiment(_experiment(name, seed, folder)))
            for name in names
        ]
    return [task.result() for task in tasks]


def _experiment(name: str, seed: int, folder: Path) -> Experiment:
    scenario = load_scenario(name)
    return Experiment(
        scenario,
        seed,
        _POLICY,
        folder / scenario.name,
        partial(_report_progress, scenario.name),
        partial(_report_program_end, scenario.name),
    )


def _report_progress(scenario_name: str, text: str) -> None:
    if sys.stdout.isatty():
        click.echo(f'{scenario_name}: {text}')


def _report_program_end(scenario_name: str, program: ProgramRecord) -> None:
    _report_progress(scenario_name, f'{program.name} {program.outcome}')


def _print_summary(evidence: Evidence) -> bool:
    verdicts = check_history(evidence)
    incomplete = incomplete_programs(evidence.run)
    click.echo(f'\n{evidence.run.scenario}\n')
    click.echo(program_table(evidence.run.programs))
    click.echo(f'\n{verdict_table(verdicts)}')
    for program in incomplete:
        click.echo(f'{program.name} did not complete: {_last_error(program)}')
    return not incomplete and not any(
        verdict.violations for verdict in verdicts
    )


def _last_error(program: ProgramRecord) -> str:
    last = program.calls[-1].attempts[-1]
    return f'status {last.status}, code {last.code}, {last.error}'


if __name__ == '__main__':
    main()
