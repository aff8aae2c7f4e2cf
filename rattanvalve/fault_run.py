"""Runs a scenario once under a schedule of faults."""

import asyncio
import time
from dataclasses import dataclass
from itertools import groupby

import aiohttp
import msgspec

from rattanvalve.admin_client import AdminClient
from rattanvalve.client_records import (
    FaultRecord,
    GenerationReport,
    RunRecord,
)
from rattanvalve.experiment import (
    Experiment,
    collect_evidence,
    wait_cache_released,
)
from rattanvalve.fault_actions import ACTIONS, FaultContext
from rattanvalve.fault_schedule import (
    FAULT_KINDS,
    PlannedFault,
    plan_schedule,
)
from rattanvalve.fleet import Fleet, ProductCommands, running_fleet
from rattanvalve.history_evidence import Evidence
from rattanvalve.loadrun import LoadRun, run_programs
from rattanvalve.program_plans import plan_programs
from rattanvalve.readiness import wait_endpoints, wait_ready
from rattanvalve.scenario import Scenario, WorkspaceSpec
from rattanvalve.scenario_events import initial_rates

__all__ = ('FaultRun', 'run_with_faults')

#: Delay of the first fault, so that programs are running by then.
_WARM_UP_S = 2.0
_PAUSE_BETWEEN_ROUNDS_S = 2.0
#: Wait after the last fault for leases to expire, owners to change and
#: ejected endpoints to return.
_RECOVERY_S = 15.0
#: Arrivals continue for this time after the recovery; programs that start
#: then must complete.
_VERIFICATION_S = 4.0
_POLL_S = 0.25
_POLL_TIMEOUT_S = 1.0
_REQUEST_ERRORS = (aiohttp.ClientError, OSError, TimeoutError, ValueError)
_PROGRAMS_PER_S = 0.3
#: More programs than any run starts; LoadRun.arrivals_closed ends the arrivals.
_PROGRAM_COUNT = 400


@dataclass(frozen=True, slots=True, kw_only=True)
class FaultRun:
    """Parameters of a run with faults.

    ``rounds`` is the number of rounds of faults; ``kinds`` restricts the
    kinds of faults, empty allows all. ``pause_s`` is the pause between rounds
    and ``recovery_s`` that after the last one. Programs that start within the
    ``verification_s`` seconds after the recovery must complete. ``programs``
    replaces the commands of the product.
    """

    experiment: Experiment
    rounds: int
    kinds: tuple[str, ...] = ()
    pause_s: float = _PAUSE_BETWEEN_ROUNDS_S
    recovery_s: float = _RECOVERY_S
    verification_s: float = _VERIFICATION_S
    programs: ProductCommands | None = None


async def run_with_faults(fault_run: FaultRun) -> Evidence:
    """Run a scenario under faults and stop all its processes.

    :param fault_run: parameters of the run.
    :returns: evidence for the history check.
    :raises RattanvalveError: if a process does not become ready again.
    """
    experiment = fault_run.experiment
    scenario = steady_scenario(experiment.scenario)
    run = RunRecord(
        scenario=scenario.name,
        seed=experiment.seed,
        policy=experiment.policy,
    )
    placement, _, queue = experiment.policy.partition('/')
    async with running_fleet(
        scenario,
        experiment.folder,
        (placement, queue),
        is_proxied=True,
        programs=fault_run.programs,
    ) as fleet:
        await _run(fault_run, fleet, run)
        await wait_cache_released(fleet)
        keys = [*fleet.keys.values(), fleet.admin_key]
    return collect_evidence(experiment.folder, run, keys)


def steady_scenario(scenario: Scenario) -> Scenario:
    """Replace the arrivals of a scenario by steady ones and drop its events.

    Only the first group of programs of each workspace is kept.

    :param scenario: scenario to derive from.
    :returns: scenario with the same deployment and rules.
    """
    return msgspec.structs.replace(
        scenario,
        events=(),
        workspaces=tuple(map(_with_steady_groups, scenario.workspaces)),
    )


def _with_steady_groups(workspace: WorkspaceSpec) -> WorkspaceSpec:
    groups = tuple(
        msgspec.structs.replace(
            group,
            program_count=_PROGRAM_COUNT,
            programs_per_s=_PROGRAMS_PER_S,
            start_s=0,
        )
        for group in workspace.groups[:1]
    )
    return msgspec.structs.replace(workspace, groups=groups)


async def _run(fault_run: FaultRun, fleet: Fleet, run: RunRecord) -> None:
    experiment = fault_run.experiment
    load = LoadRun(
        fleet.scenario,
        fleet.product_targets(),
        fleet.keys,
        experiment.seed,
        time.monotonic(),
        run.programs,
        arrivals_closed=asyncio.Event(),
    )
    run.rates.extend(initial_rates(fleet, load.began_s))
    plans = plan_programs(fleet.scenario, experiment.seed)
    async with aiohttp.ClientSession() as session:
        context = _make_context(fleet, session, run, load)
        poll_task = asyncio.ensure_future(
            _poll_generations(fleet, session, run),
        )
        async with asyncio.TaskGroup() as group:
            group.create_task(run_programs(load, plans))
            await asyncio.sleep(_WARM_UP_S)
            await _inject_schedule(fault_run, context)
            await _wait_recovered(fleet, session)
            await asyncio.sleep(fault_run.recovery_s)
            if fault_run.verification_s:
                run.recovered_s = time.monotonic()
                await asyncio.sleep(fault_run.verification_s)
            load.arrivals_closed.set()
        poll_task.cancel()


def _make_context(
    fleet: Fleet,
    session: aiohttp.ClientSession,
    run: RunRecord,
    load: LoadRun,
) -> FaultContext:
    urls = [entry.admin.url for entry in fleet.plan.entries]

    def make_admin(index: int) -> AdminClient:
        first = index % len(urls)
        return AdminClient(
            session,
            [*urls[first:], *urls[:first]],
            fleet.admin_key,
        )

    return FaultContext(
        fleet=fleet,
        session=session,
        run=run,
        load=load,
        make_admin=make_admin,
    )


async def _inject_schedule(fault_run: FaultRun, context: FaultContext) -> None:
    experiment = fault_run.experiment
    schedule = plan_schedule(
        context.fleet.plan,
        experiment.seed,
        fault_run.rounds,
        fault_run.kinds,
    )
    for _, faults in groupby(schedule, _round_index):
        async with asyncio.TaskGroup() as group:
            for fault in faults:
                group.create_task(_inject_fault(fault_run, context, fault))
        await asyncio.sleep(fault_run.pause_s)


def _round_index(fault: PlannedFault) -> int:
    return fault.round_index


async def _inject_fault(
    fault_run: FaultRun,
    context: FaultContext,
    fault: PlannedFault,
) -> None:
    kind = FAULT_KINDS[fault.kind]
    record = FaultRecord(
        kind=fault.kind,
        targets=fault.targets,
        began_s=time.monotonic(),
        is_planned=kind.is_planned,
    )
    context.run.faults.append(record)
    async with ACTIONS[kind.action](context, fault.targets):
        await asyncio.sleep(fault.duration_s)
    record.ended_s = time.monotonic()
    fault_run.experiment.report(
        f'{record.began_s - context.load.began_s:7.2f} s to '
        f'{record.ended_s - context.load.began_s:7.2f} s: '
        f'{fault.kind} {" ".join(fault.targets)}',
    )


async def _wait_recovered(
    fleet: Fleet,
    session: aiohttp.ClientSession,
) -> None:
    callers = [planned.caller for planned in fleet.plan.entries]
    await wait_ready(fleet.children, session, callers)
    await wait_endpoints(fleet.children, session, fleet.plan, fleet.admin_key)


async def _poll_generations(
    fleet: Fleet,
    session: aiohttp.ClientSession,
    run: RunRecord,
) -> None:
    headers = {'Authorization': f'Bearer {fleet.admin_key}'}
    while True:
        await asyncio.sleep(_POLL_S)
        await asyncio.gather(
            *(
                _poll_generation(
                    session,
                    f'{entry.admin.url}/v1/config',
                    headers,
                    run.generations.setdefault(entry.name, []),
                )
                for entry in fleet.plan.entries
            ),
        )


async def _poll_generation(
    session: aiohttp.ClientSession,
    url: str,
    headers: dict[str, str],
    reports: list[GenerationReport],
) -> None:
    asked_s = time.monotonic()
    try:
        async with session.get(
            url,
            headers=headers,
            timeout=aiohttp.ClientTimeout(total=_POLL_TIMEOUT_S),
        ) as response:
            response.raise_for_status()
            generation = int(response.headers['ETag'].strip('"'))
    except _REQUEST_ERRORS:
        return
    reports.append(GenerationReport(asked_s=asked_s, generation=generation))
