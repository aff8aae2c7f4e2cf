"""Targets and kinds of bursts of the speed comparison."""

from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from pathlib import Path

from rattanvalve.fleet import Fleet, running_fleet
from rattanvalve.fleet_settings import server_name
from rattanvalve.scenario import (
    GroupSpec,
    ProgramSpec,
    Scenario,
    ServiceSpec,
    WorkspaceSpec,
)
from rattanvalve.speed.load import LONG_RESPONSE_TOKENS, BurstKind, Target

__all__ = ('KINDS', 'running_targets', 'speed_scenario')

_KEY = 'speed-1'
#: Tokens of ``paced`` streams arrive at the intervals of a batch of 8 in the
#: stand-in engine; in ``crowded`` bursts, tokens of many streams coincide.
KINDS = (
    BurstKind(name='short', request_count=120),
    BurstKind(name='parallel', request_count=200, concurrency=16),
    BurstKind(
        name='opening',
        request_count=64,
        concurrency=8,
        is_stream=True,
    ),
    BurstKind(
        name='paced',
        request_count=24,
        concurrency=8,
        max_tokens=LONG_RESPONSE_TOKENS,
        is_stream=True,
    ),
    BurstKind(
        name='crowded',
        request_count=128,
        concurrency=64,
        max_tokens=LONG_RESPONSE_TOKENS,
        is_stream=True,
    ),
    BurstKind(
        name='history',
        request_count=4,
        prompt_bytes=3_000_000,
        is_stream=True,
    ),
)


def speed_scenario() -> Scenario:
    """Build a scenario of one entry, one endpoint process and a fast engine.

    :returns: scenario whose only workspace has a rate that is never reached.
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


@asynccontextmanager
async def running_targets(
    against: Path | None,
    folder: Path,
) -> AsyncIterator[list[Target]]:
    """Run the product and optionally an earlier version beside it.

    :param against: checkout of the earlier version; ``None`` for none.
    :param folder: folder for settings and logs.
    :returns: targets: the engine alone, the earlier version if there is one,
        then the product.
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
        yield [direct, *(_target(*fleet_item) for fleet_item in fleets.items())]


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
