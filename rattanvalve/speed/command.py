"""Command ``rattanvalve-load speed``: compares the cost of request paths."""

import tempfile
from collections import defaultdict
from itertools import product
from pathlib import Path

import aiohttp
import click
import uvloop

from rattanvalve.capacity.child import resident_bytes
from rattanvalve.main_task import cancel_on_signals
from rattanvalve.report import format_table
from rattanvalve.speed.load import BurstKind, Target, run_burst
from rattanvalve.speed.open import OPEN_HEADER, open_rows
from rattanvalve.speed.report import Bursts, speed_tables
from rattanvalve.speed.steady import run_steady
from rattanvalve.speed.targets import KINDS, running_targets

__all__ = ('speed',)

_MEGABYTE = 1_000_000


@click.command()
@click.option(
    '--rounds', default=5, help='Number of rounds; each sends to all targets.'
)
@click.option(
    '--against',
    type=click.Path(exists=True, file_okay=False, path_type=Path),
    help='Checkout of an earlier version to run beside this one.',
)
@click.option(
    '--kind',
    'kinds',
    multiple=True,
    type=click.Choice([kind.name for kind in KINDS]),
    help='Burst to send; repeat for several. Default: all.',
)
@click.option(
    '--steady-s',
    default=0,
    help='Instead of rounds, send a steady load for this many seconds.',
)
@click.option(
    '--open-streams',
    'is_open',
    is_flag=True,
    help='Instead of rounds, measure the memory of open streams.',
)
def speed(
    rounds: int,
    against: Path | None,
    kinds: tuple[str, ...],
    steady_s: int,
    *,
    is_open: bool,
) -> None:
    """Compare the product with a direct call of the stand-in engine."""
    selected = [kind for kind in KINDS if not kinds or kind.name in kinds]
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder)
        if is_open:
            work = _measure_open_streams(path)
        elif steady_s:
            work = _run_steady_load(steady_s, path)
        else:
            work = _run_rounds(rounds, against, selected, path)
        uvloop.run(cancel_on_signals(work))


async def _measure_open_streams(folder: Path) -> None:
    async with (
        running_targets(None, folder) as targets,
        aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0),
        ) as session,
    ):
        rows = await open_rows(session, targets[-1])
    click.echo(format_table(OPEN_HEADER, rows))


async def _run_steady_load(steady_s: int, folder: Path) -> None:
    async with (
        running_targets(None, folder) as targets,
        aiohttp.ClientSession() as session,
    ):
        target = targets[-1]
        rows = await run_steady(session, target, steady_s)
    roles = (f'{role} MB' for role in target.pids)
    click.echo(format_table(('seconds', 'requests', *roles), rows))


async def _run_rounds(
    rounds: int,
    against: Path | None,
    kinds: list[BurstKind],
    folder: Path,
) -> None:
    bursts: Bursts = defaultdict(list)
    async with (
        running_targets(against, folder) as targets,
        aiohttp.ClientSession() as session,
    ):
        for warmup_target in targets:
            await run_burst(session, warmup_target, KINDS[0])
        sizes = [_resident_row('start', targets)]
        for number in range(rounds):
            await _run_round(session, targets, kinds, bursts)
            sizes.append(_resident_row(str(number + 1), targets))
        names = [target.name for target in targets]
        click.echo(speed_tables(kinds, names, bursts))
        processes = (
            f'{target.name} {role}'
            for target in targets
            for role in target.pids
        )
        click.echo('\nresident MB after each round\n')
        click.echo(format_table(('round', *processes), sizes))


async def _run_round(
    session: aiohttp.ClientSession,
    targets: list[Target],
    kinds: list[BurstKind],
    bursts: Bursts,
) -> None:
    for kind, target in product(kinds, targets):
        burst = await run_burst(session, target, kind)
        bursts[kind.name, target.name].append(burst)


def _resident_row(label: str, targets: list[Target]) -> tuple[str, ...]:
    return (
        label,
        *(
            f'{resident_bytes(pid) / _MEGABYTE:.1f}'
            for target in targets
            for pid in target.pids.values()
        ),
    )
