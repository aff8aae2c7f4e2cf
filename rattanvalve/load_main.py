"""Command line of ``rattanvalve-load``: runs scenarios, checks histories."""

import json
import sys
import tempfile
from pathlib import Path

import click
import uvloop

from rattanvalve import __version__
from rattanvalve.capacity.command import capacity
from rattanvalve.client_records import read_run
from rattanvalve.comparison import (
    MeasuredRun,
    comparison_json,
    comparison_table,
    interleaved_runs,
)
from rattanvalve.errors import RattanvalveError, SettingsError
from rattanvalve.experiment import Experiment, run_experiment
from rattanvalve.fault_main import faults, show_verdicts
from rattanvalve.history_evidence import read_evidence
from rattanvalve.load_options import folder_option, scenario_option
from rattanvalve.main_task import cancel_on_signals
from rattanvalve.measures import measure
from rattanvalve.plots import import_pyplot, write_page
from rattanvalve.scenario import (
    Scenario,
    load_scenario,
    scenario_costs,
)
from rattanvalve.speed.command import speed

__all__ = ('main',)


@click.group()
@click.version_option(__version__, prog_name='rattanvalve-load')
def main() -> None:
    """Run agent programs against a deployment and check the history."""


main.add_command(capacity)
main.add_command(speed)
main.add_command(faults)


@main.command()
@scenario_option
@click.option('--seed', default=1, help='Seed of programs and arrivals.')
@click.option(
    '--policy',
    'policies',
    multiple=True,
    default=('affinity/program_fair',),
    help='PLACEMENT/QUEUE or "direct"; repeat to compare.',
)
@click.option(
    '--rounds',
    default=1,
    help='Runs of each policy, interleaved; each round has the next seed.',
)
@folder_option
@click.option(
    '--json',
    'json_path',
    type=click.Path(dir_okay=False, path_type=Path),
    help='Write all measures to this JSON file.',
)
@click.option(
    '--html',
    'html_path',
    type=click.Path(dir_okay=False, path_type=Path),
    help='Write a page with plots to this file; needs matplotlib.',
)
def run(
    scenario_name: str,
    seed: int,
    policies: tuple[str, ...],
    rounds: int,
    folder: Path | None,
    json_path: Path | None,
    html_path: Path | None,
) -> None:
    """Run a scenario once or more with each policy."""
    try:
        scenario = load_scenario(scenario_name)
        if html_path:
            # Fail before the runs if matplotlib is missing.
            import_pyplot()
        with tempfile.TemporaryDirectory() as scratch:
            measured = _run_all(
                scenario,
                seed,
                policies,
                rounds,
                folder or Path(scratch),
            )
        if json_path:
            json_path.write_bytes(comparison_json(scenario.name, measured))
        if html_path:
            write_page(html_path, scenario.name, measured)
    except RattanvalveError as error:
        raise click.ClickException(str(error)) from error
    sys.exit(0 if all(measured_run.is_good for measured_run in measured) else 1)


@main.command()
@click.argument(
    'folder',
    type=click.Path(exists=True, file_okay=False, path_type=Path),
)
def check(folder: Path) -> None:
    """Check the history of a run that was stored in FOLDER."""
    keys = json.loads((folder / 'keys.json').read_text())
    evidence = read_evidence(
        read_run(folder / 'run.json'),
        folder,
        tuple(keys),
    )
    sys.exit(0 if show_verdicts(evidence) else 1)


def _run_all(
    scenario: Scenario,
    seed: int,
    policies: tuple[str, ...],
    rounds: int,
    folder: Path,
) -> list[MeasuredRun]:
    if folder.exists() and any(folder.iterdir()):
        raise SettingsError(f'{folder}: the folder is not empty')
    measured = []
    for index, (policy, run_seed) in enumerate(
        interleaved_runs(policies, seed, rounds)
    ):
        label = policy.replace('/', '-')
        run_folder = folder / f'{index + 1}-{label}'
        measured.append(_run_once(scenario, run_seed, policy, run_folder))
    click.echo(f'\n{comparison_table(measured)}')
    return measured


def _run_once(
    scenario: Scenario,
    seed: int,
    policy: str,
    folder: Path,
) -> MeasuredRun:
    root_count = sum(
        group.program_count
        for workspace in scenario.workspaces
        for group in workspace.groups
    )
    with click.progressbar(
        length=root_count,
        label=f'{policy} seed {seed}',
        file=sys.stderr,
    ) as progress:
        experiment = Experiment(
            scenario,
            seed,
            policy,
            folder,
            on_program_end=lambda program: progress.update(not program.parent),
        )
        evidence = uvloop.run(cancel_on_signals(run_experiment(experiment)))
    click.echo(f'\n{policy} seed {seed}')
    is_good = show_verdicts(evidence)
    high_priority = {
        workspace.name
        for workspace in scenario.workspaces
        if workspace.priority == 'high'
    }
    return MeasuredRun(
        policy=policy,
        seed=seed,
        measures=measure(
            evidence.run,
            scenario_costs(scenario),
            high_priority,
            evidence.lines,
        ),
        is_good=is_good,
    )


if __name__ == '__main__':
    main()
