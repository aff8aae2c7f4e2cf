"""Command ``rattanvalve-load speed``: cost of the request path as ratios."""

import statistics
import tempfile
from collections import defaultdict
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from itertools import product
from pathlib import Path

import aiohttp
import click
import uvloop

from rattanvalve.capacity_child import resident_bytes
from rattanvalve.fleet import Fleet, running_fleet
from rattanvalve.fleet_settings import server_name
from rattanvalve.main_task import cancel_on_signals
from rattanvalve.report import format_table, percentile
from rattanvalve.scenario import (
    GroupSpec,
    ProgramSpec,
    Scenario,
    ServiceSpec,
    WorkspaceSpec,
)
from rattanvalve.speed_load import (
    LONG_TOKENS,
    Burst,
    BurstKind,
    Target,
    run_burst,
)

__all__ = ('KINDS', 'speed')

_KEY = 'speed-1'
_MEGABYTE = 1_000_000
_HEADER = (
    'burst',
    'target',
    'latency p50',
    'first byte p50',
    'latency ratio (spread)',
    'entry µs a request',
    'endpoint µs a request',
    'entry ratio to the first (spread)',
    'endpoint ratio to the first (spread)',
)
_EVENT_HEADER = ('burst', 'target', 'role', 'µs', 'ratio to the first (spread)')
#: ``paced`` streams have the gaps of a batch of 8 in the stand-in engine; in
#: ``crowded`` ones tokens of many streams arrive together.
KINDS = (
    BurstKind(name='short', request_count=120),
    BurstKind(name='parallel', request_count=200, at_once_count=16),
    BurstKind(
        name='opening',
        request_count=64,
        at_once_count=8,
        is_stream=True,
    ),
    BurstKind(
        name='paced',
        request_count=24,
        at_once_count=8,
        max_tokens=LONG_TOKENS,
        is_stream=True,
    ),
    BurstKind(
        name='crowded',
        request_count=128,
        at_once_count=64,
        max_tokens=LONG_TOKENS,
        is_stream=True,
    ),
    BurstKind(name='history', request_count=2, prompt_bytes=3_000_000),
)

Bursts = dict[tuple[str, str], list[Burst]]


def speed_scenario() -> Scenario:
    """Describe one entry, one endpoint process and a fast engine.

    :returns: scenario.
    """
    return Scenario(
        name='speed',
        cell='speed',
        zones=('one',),
        services=(
            ServiceSpec(
                name='agent-models',
                kind='engine',
                server_count=1,
                model='small',
                capacity_count=64,
                behaviour={
                    'max_batch_count': 64,
                    'step_base_s': 0.01,
                    'step_per_request_s': 0,
                    'prefill_per_token_s': 0,
                },
            ),
        ),
        workspaces=(
            WorkspaceSpec(
                name='north',
                rate_per_s=100_000,
                burst=100_000,
                groups=(
                    GroupSpec(key=_KEY, program_count=1, programs_per_s=1),
                ),
            ),
        ),
        programs=ProgramSpec(
            min_turns=1,
            max_turns=1,
            order_service='none',
            order_path='/',
        ),
    )


@click.command()
@click.option('--rounds', default=5, help='Rounds; targets alternate.')
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
def speed(rounds: int, against: Path | None, kinds: tuple[str, ...]) -> None:
    """Compare the product with a direct call of the stand-in engine."""
    chosen = [kind for kind in KINDS if not kinds or kind.name in kinds]
    with tempfile.TemporaryDirectory() as folder:
        uvloop.run(
            cancel_on_signals(
                _run_rounds(rounds, against, chosen, Path(folder)),
            ),
        )


@asynccontextmanager
async def running_targets(
    against: Path | None,
    folder: Path,
) -> AsyncIterator[list[Target]]:
    """Run the product, and an earlier version if there is one.

    :param against: checkout of the earlier version.
    :param folder: folder for settings and logs.
    :returns: targets; the first is the engine without the product.
    """
    async with AsyncExitStack() as stack:
        enter = stack.enter_async_context
        scenario = speed_scenario()
        fleets: dict[str, Fleet] = {}
        if against is not None:
            fleets['before'] = await enter(
                running_fleet(scenario, folder / 'before', root=against),
            )
        fleets['product'] = await enter(
            running_fleet(scenario, folder / 'product'),
        )
        fleet = fleets['product']
        engine_pid = _pid(fleet, server_name('agent-models-1'))
        direct = Target(
            'direct',
            fleet.engine_urls()[0],
            '',
            {'engine': engine_pid},
        )
        yield [direct, *(_target(*named) for named in fleets.items())]


def _target(name: str, fleet: Fleet) -> Target:
    return Target(
        name,
        fleet.plan.entries[0].caller.url,
        fleet.keys[_KEY],
        {
            'entry': _pid(fleet, fleet.plan.entries[0].name),
            'endpoint': _pid(fleet, fleet.plan.endpoints[0].name),
        },
    )


def _pid(fleet: Fleet, name: str) -> int:
    return fleet.children.running[name].pid


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
        for target in targets:
            await run_burst(session, target, KINDS[0])
        sizes = [_resident_row('start', targets)]
        for number in range(rounds):
            for kind in kinds:
                for target in targets:
                    found = await run_burst(session, target, kind)
                    bursts[kind.name, target.name].append(found)
            sizes.append(_resident_row(str(number + 1), targets))
    names = [target.name for target in targets]
    rows = [_row(kind, name, names, bursts) for kind in kinds for name in names]
    click.echo(format_table(_HEADER, rows))
    if {'opening', 'paced', 'crowded'} <= {kind.name for kind in kinds}:
        click.echo('\neach further event of a stream\n')
        click.echo(format_table(_EVENT_HEADER, _event_rows(names, bursts)))
    processes = [
        f'{target.name} {role}' for target in targets for role in target.pids
    ]
    click.echo('\nresident MB after each round\n')
    click.echo(format_table(('round', *processes), sizes))


def _resident_row(label: str, targets: list[Target]) -> tuple[str, ...]:
    return (
        label,
        *(
            f'{resident_bytes(pid) / _MEGABYTE:.1f}'
            for target in targets
            for pid in target.pids.values()
        ),
    )


def _row(
    kind: BurstKind,
    name: str,
    names: list[str],
    bursts: Bursts,
) -> tuple[str, ...]:
    found = bursts[kind.name, name]
    direct = bursts[kind.name, names[0]]
    # The first target besides the engine: the earlier version, if there is one.
    first = bursts[kind.name, names[1]]
    costs = [
        f'{1e6 * statistics.median(_costs(found, kind, role)):,.0f}'
        if role in found[0].processor_s
        else '-'
        for role in ('entry', 'endpoint')
    ]
    columns = (
        f'{1000 * _p50([one.latencies_s for one in found]):.2f} ms',
        f'{1000 * _p50([one.first_s for one in found]):.2f} ms',
        _ratio(
            [percentile(one.latencies_s, 50) for one in found],
            [percentile(one.latencies_s, 50) for one in direct],
        ),
    )
    ratios = (
        _ratio(_costs(found, kind, role), _costs(first, kind, role))
        for role in ('entry', 'endpoint')
    )
    return (kind.name, name, *columns, *costs, *ratios)


def _event_rows(names: list[str], bursts: Bursts) -> list[tuple[str, ...]]:
    """Compare long streams with streams of one token."""
    rows = []
    for kind, role in product(('paced', 'crowded'), ('entry', 'endpoint')):
        costs = {
            name: _event_costs(bursts, kind, name, role) for name in names[1:]
        }
        rows.extend(
            (
                kind,
                name,
                role,
                f'{1e6 * statistics.median(found):.1f}',
                _ratio(found, costs[names[1]]),
            )
            for name, found in costs.items()
        )
    return rows


def _event_costs(
    bursts: Bursts,
    kind: str,
    name: str,
    role: str,
) -> list[float]:
    counts = {one.name: one.request_count for one in KINDS}
    pairs = zip(bursts[kind, name], bursts['opening', name], strict=True)
    return [
        (
            long.processor_s[role] / counts[kind]
            - short.processor_s[role] / counts['opening']
        )
        / (
            long.event_count / counts[kind]
            - short.event_count / counts['opening']
        )
        for long, short in pairs
    ]


def _costs(bursts: list[Burst], kind: BurstKind, role: str) -> list[float]:
    return [one.processor_s.get(role, 0) / kind.request_count for one in bursts]


def _p50(samples: list[list[float]]) -> float:
    return statistics.median(number for sample in samples for number in sample)


def _ratio(ours: list[float], theirs: list[float]) -> str:
    ratios = [
        one / other for one, other in zip(ours, theirs, strict=True) if other
    ]
    if not ratios:
        return '-'
    return (
        f'{statistics.median(ratios):.2f} '
        f'({min(ratios):.2f} to {max(ratios):.2f})'
    )
