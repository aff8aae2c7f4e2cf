"""Program ``rattanvalve-load``: runs scenarios and checks their history."""

import json
import statistics
import sys
import tempfile
from collections import defaultdict
from pathlib import Path

import click
import uvloop

from rattanvalve import __version__
from rattanvalve.client_records import read_run
from rattanvalve.errors import RattanvalveError, SettingsError
from rattanvalve.experiment import Experiment, run_experiment
from rattanvalve.fault_main import faults, show_verdicts
from rattanvalve.history_evidence import read_evidence
from rattanvalve.main_task import cancel_on_signals
from rattanvalve.report import Measures, format_table, measure
from rattanvalve.scenario import Scenario, bundled_scenarios, load_scenario
from rattanvalve.standin_batch import EngineCosts

__all__ = ('main',)

_PERCENT = 100


@click.group()
@click.version_option(__version__, prog_name='rattanvalve-load')
def main() -> None:
    """Drive agent programs and check what happened."""


main.add_command(faults)


@main.command()
@click.option(
    '--scenario',
    'scenario_name',
    required=True,
    help=f'JSON file, or one of: {", ".join(bundled_scenarios())}.',
)
@click.option('--seed', default=1, help='Seed of programs and arrivals.')
@click.option(
    '--policy',
    'policies',
    multiple=True,
    default=('affinity/program_fair',),
    help='PLACEMENT/QUEUE or "direct"; repeat to compare.',
)
@click.option('--rounds', default=1, help='Runs of each policy, interleaved.')
@click.option(
    '--folder',
    type=click.Path(file_okay=False, path_type=Path),
    help='Keep run.json, keys.json, journals and logs here.',
)
def run(
    scenario_name: str,
    seed: int,
    policies: tuple[str, ...],
    rounds: int,
    folder: Path | None,
) -> None:
    """Run a scenario once or more with each policy."""
    try:
        scenario = load_scenario(scenario_name)
        with tempfile.TemporaryDirectory() as scratch:
            is_good = _run_all(
                scenario,
                seed,
                policies * rounds,
                folder or Path(scratch),
            )
    except RattanvalveError as error:
        raise click.ClickException(str(error)) from error
    sys.exit(0 if is_good else 1)


@main.command()
@click.argument(
    'folder',
    type=click.Path(exists=True, file_okay=False, path_type=Path),
)
def check(folder: Path) -> None:
    """Check the history that a run kept in FOLDER."""
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
    folder: Path,
) -> bool:
    if folder.exists() and any(folder.iterdir()):
        raise SettingsError(f'{folder}: the folder is not empty')
    is_good = True
    measured: dict[str, list[Measures]] = defaultdict(list)
    for index, policy in enumerate(policies):
        label = policy.replace('/', '-')
        experiment = Experiment(
            scenario,
            seed,
            policy,
            folder / f'{index + 1}-{label}',
        )
        evidence = uvloop.run(cancel_on_signals(run_experiment(experiment)))
        click.echo(f'\n{policy}')
        is_good = show_verdicts(evidence) and is_good
        costs = _costs_of(scenario)
        measured[policy].append(measure(evidence.run, costs))
    click.echo(f'\n{_comparison(measured)}')
    return is_good


def _costs_of(scenario: Scenario) -> EngineCosts:
    behaviour = scenario.engine_service().behaviour
    names = EngineCosts.__dataclass_fields__
    return EngineCosts(
        **{name: behaviour[name] for name in names if name in behaviour},
    )


def _comparison(measured: dict[str, list[Measures]]) -> str:
    first = next(iter(measured.values()))
    header = (
        'policy',
        'completed',
        'p50',
        'p95',
        'p95 ratio (spread)',
        'wasted cache',
        'worst-served workspace',
        'wrongful refusals',
    )
    rows = [
        _comparison_row(policy, rounds, first)
        for policy, rounds in measured.items()
    ]
    return format_table(header, rows)


def _comparison_row(
    policy: str,
    rounds: list[Measures],
    first: list[Measures],
) -> list[str]:
    # The rounds of two policies alternate, so a ratio compares neighbours.
    ratios = [
        one.latency_p95_s / base.latency_p95_s if base.latency_p95_s else 0
        for one, base in zip(rounds, first, strict=True)
    ]
    completed_count = sum(one.completed_count for one in rounds)
    program_count = sum(one.program_count for one in rounds)
    wasted = statistics.median(one.wasted_cache_share for one in rounds)
    worst = max(rounds, key=_worst_slowdown)
    return [
        policy,
        f'{completed_count}/{program_count}',
        f'{statistics.median(one.latency_p50_s for one in rounds):.2f} s',
        f'{statistics.median(one.latency_p95_s for one in rounds):.2f} s',
        f'{statistics.median(ratios):.2f} '
        f'({min(ratios):.2f} to {max(ratios):.2f})',
        f'{wasted * _PERCENT:.0f} %',
        f'{worst.worst_workspace} {worst.worst_slowdown:.2f}',
        str(sum(one.wrongful_refusal_count for one in rounds)),
    ]


def _worst_slowdown(measures: Measures) -> float:
    return measures.worst_slowdown


if __name__ == '__main__':
    main()
