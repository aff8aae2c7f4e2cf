"""Command ``rattanvalve-load faults``: runs a scenario under seeded faults."""

import sys
import tempfile
from pathlib import Path

import click
import uvloop

from rattanvalve.errors import RattanvalveError
from rattanvalve.experiment import Experiment
from rattanvalve.fault_run import FaultRun, run_with_faults
from rattanvalve.fault_schedule import FAULT_KINDS
from rattanvalve.history_check import check_history
from rattanvalve.history_evidence import Evidence
from rattanvalve.history_faults import unknown_causes
from rattanvalve.load_options import folder_option, scenario_option
from rattanvalve.main_task import cancel_on_signals
from rattanvalve.report import format_table, verdict_table
from rattanvalve.scenario import load_scenario

__all__ = ('faults', 'show_verdicts')

_POLICY = 'affinity/program_fair'


@click.command()
@scenario_option
@click.option('--seed', default=1, help='Seed of programs and faults.')
@click.option('--rounds', default=6, help='Number of rounds of faults.')
@click.option(
    '--kind',
    'kinds',
    multiple=True,
    type=click.Choice(list(FAULT_KINDS)),
    help='Use only this kind of fault; repeat for several, in this order.',
)
@folder_option
def faults(
    scenario_name: str,
    seed: int,
    rounds: int,
    kinds: tuple[str, ...],
    folder: Path | None,
) -> None:
    """Run a scenario while processes, links and the store fail."""
    if folder and folder.exists() and any(folder.iterdir()):
        raise click.ClickException(f'{folder}: the folder is not empty')
    try:
        with tempfile.TemporaryDirectory() as scratch:
            experiment = Experiment(
                load_scenario(scenario_name),
                seed,
                _POLICY,
                folder or Path(scratch) / 'run',
                click.echo,
            )
            fault_run = FaultRun(
                experiment=experiment,
                rounds=rounds,
                kinds=kinds,
            )
            evidence = uvloop.run(cancel_on_signals(run_with_faults(fault_run)))
    except (RattanvalveError, TimeoutError) as error:
        raise click.ClickException(str(error)) from error
    rows = [
        (cause, str(count))
        for cause, count in unknown_causes(evidence).most_common()
    ]
    click.echo(f'\n{format_table(("outcome unknown after", "calls"), rows)}\n')
    sys.exit(0 if show_verdicts(evidence) else 1)


def show_verdicts(evidence: Evidence) -> bool:
    """Check the history of a run and print a table of the verdicts.

    :param evidence: records, journals and logs of a run.
    :returns: whether all checks hold.
    """
    verdicts = check_history(evidence)
    click.echo(verdict_table(verdicts))
    return not any(verdict.violations for verdict in verdicts)
