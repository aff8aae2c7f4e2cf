"""Runs a scenario once: processes, programs, events, then the evidence."""

import asyncio
import json
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

import aiohttp

from rattanvalve.admin_client import AdminClient
from rattanvalve.client_records import ProgramRecord, RunRecord, write_run
from rattanvalve.fleet import Fleet, running_fleet
from rattanvalve.history_evidence import Evidence, read_evidence
from rattanvalve.loadrun import LoadRun, ignore_event, run_programs
from rattanvalve.program_plans import plan_programs
from rattanvalve.scenario import Scenario
from rattanvalve.scenario_events import (
    EventContext,
    initial_rates,
    run_events,
)

__all__ = (
    'DIRECT_POLICY',
    'Experiment',
    'collect_evidence',
    'run_experiment',
    'wait_cache_released',
)

#: Policy name of a run in which clients call the servers without the product.
DIRECT_POLICY = 'direct'
#: By this time the cache holds have expired that were left by programs which
#: ended without a final call.
_CACHE_TIMEOUT_S = 15.0
_POLL_S = 0.1


@dataclass(frozen=True, slots=True)
class Experiment:
    """Parameters of a run.

    ``policy`` is ``<placement policy>/<queue policy>`` or ``direct``.
    ``folder`` receives the results. ``report`` is called with a line of text
    at each stage and event, ``on_program_end`` with the record of each
    finished program.
    """

    scenario: Scenario
    seed: int
    policy: str
    folder: Path
    report: Callable[[str], None] = ignore_event
    on_program_end: Callable[[ProgramRecord], None] = ignore_event


async def run_experiment(experiment: Experiment) -> Evidence:
    """Run a scenario once and stop all its processes.

    :param experiment: parameters. Its folder receives ``run.json``, the keys
        of callers and operator in ``keys.json``, journals and logs.
    :returns: evidence for the history check.
    :raises RattanvalveError: if a process ends or an operator's change fails.
    """
    is_direct = experiment.policy == DIRECT_POLICY
    run = RunRecord(
        scenario=experiment.scenario.name,
        seed=experiment.seed,
        policy=experiment.policy,
        is_direct=is_direct,
    )
    experiment.report('starting processes')
    placement, _, queue = experiment.policy.partition('/')
    async with running_fleet(
        experiment.scenario,
        experiment.folder,
        (placement, queue or 'program_fair'),
        is_direct=is_direct,
    ) as fleet:
        experiment.report('running programs')
        await _run_load(experiment, fleet, run, is_direct=is_direct)
        if not is_direct:
            await wait_cache_released(fleet)
        keys = [*fleet.keys.values(), fleet.admin_key]
        experiment.report('stopping processes')
    return collect_evidence(experiment.folder, run, keys)


async def _run_load(
    experiment: Experiment,
    fleet: Fleet,
    run: RunRecord,
    *,
    is_direct: bool,
) -> None:
    load = LoadRun(
        experiment.scenario,
        fleet.direct_targets() if is_direct else fleet.product_targets(),
        # Callers' keys must not reach servers, so direct runs send none.
        {} if is_direct else fleet.keys,
        experiment.seed,
        time.monotonic(),
        run.programs,
        experiment.on_program_end,
    )
    plans = plan_programs(experiment.scenario, experiment.seed)
    if is_direct:
        await run_programs(load, plans)
        return
    run.rates.extend(initial_rates(fleet, load.began_s))
    async with aiohttp.ClientSession() as session:
        urls = [entry.admin.url for entry in fleet.plan.entries]
        admin = AdminClient(session, urls, fleet.admin_key)
        context = EventContext(fleet, admin, run, experiment.report)
        async with asyncio.TaskGroup() as group:
            group.create_task(run_events(context, load.began_s))
            group.create_task(run_programs(load, plans))


async def wait_cache_released(fleet: Fleet) -> None:
    """Wait until no engine holds a program's cache.

    Returns without an error after a timeout; the history check then reports
    the caches that are still held.

    :param fleet: fleet whose programs have ended.
    """
    deadline_s = time.monotonic() + _CACHE_TIMEOUT_S
    async with aiohttp.ClientSession() as session:
        while time.monotonic() < deadline_s:
            held = [
                key
                for url in fleet.engine_urls()
                for key in await _held_cache_keys(session, url)
            ]
            if not held:
                return
            await asyncio.sleep(_POLL_S)


async def _held_cache_keys(
    session: aiohttp.ClientSession, url: str
) -> list[str]:
    async with session.get(f'{url}/v1/cache') as response:
        return (await response.json())['cache_keys']


def collect_evidence(folder: Path, run: RunRecord, keys: list[str]) -> Evidence:
    """Store the records and keys of a run, then read journals and logs.

    :param folder: folder of the run; receives ``run.json`` and ``keys.json``.
    :param run: records of the clients.
    :param keys: keys of callers and operators.
    :returns: evidence for the history check.
    """
    write_run(folder / 'run.json', run)
    (folder / 'keys.json').write_text(json.dumps(keys))
    return read_evidence(run, folder, tuple(keys))
