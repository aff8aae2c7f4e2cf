"""Injects faults into the processes, links and store of a fleet."""

import asyncio
import signal
import time
from collections.abc import AsyncIterator, Callable
from contextlib import (
    AbstractAsyncContextManager,
    asynccontextmanager,
    suppress,
)
from dataclasses import dataclass
from functools import partial

import aiohttp
import msgspec

from rattanvalve.admin_client import AdminClient, AdminError
from rattanvalve.client_records import RateInForce, RunRecord
from rattanvalve.fault_proxy import BOTH_WAYS, TO_CALLER, FaultProxy
from rattanvalve.fleet import Fleet
from rattanvalve.loadrun import LoadRun, run_programs
from rattanvalve.program_plans import plan_programs
from rattanvalve.readiness import wait_endpoints, wait_ready
from rattanvalve.scenario import GroupSpec, Scenario

__all__ = ('ACTIONS', 'FaultContext')

_DELAY_S = 0.2
_STORE_DELAY_S = 1.5
_LOST_RESPONSE_COUNT = 3
_RACE_PAUSE_S = 0.2
_CHURN_PROGRAM_COUNT = 4
_CHURN_PROGRAMS_PER_S = 3.0
_POLL_S = 0.05
_EXIT_TIMEOUT_S = 30.0


@dataclass(slots=True, kw_only=True)
class FaultContext:
    """Fleet, clients and records that faults operate on.

    ``make_admin`` builds a client of the administration API that tries the
    entry process with the given index first. ``churn_count`` numbers the
    temporary keys of the run.
    """

    fleet: Fleet
    session: aiohttp.ClientSession
    run: RunRecord
    load: LoadRun
    make_admin: Callable[[int], AdminClient]
    churn_count: int = 0


_FaultAction = Callable[
    [FaultContext, tuple[str, ...]],
    AbstractAsyncContextManager[None],
]


@asynccontextmanager
async def _kill(
    context: FaultContext,
    names: tuple[str, ...],
) -> AsyncIterator[None]:
    children = context.fleet.children
    killed = [name for name in names if name in children.running]
    for name in killed:
        children.signal(name, signal.SIGKILL)
    for name in killed:
        children.kill(name)
    yield
    for name in killed:
        children.restart(name)


@asynccontextmanager
async def _pause(
    context: FaultContext,
    names: tuple[str, ...],
) -> AsyncIterator[None]:
    children = context.fleet.children
    paused = [
        child for name, child in children.running.items() if name in names
    ]
    for child in paused:
        child.send_signal(signal.SIGSTOP)
    yield
    for child in paused:
        child.send_signal(signal.SIGCONT)


@asynccontextmanager
async def _with_link_fault(
    inject: Callable[[FaultProxy], None],
    context: FaultContext,
    links: tuple[str, ...],
) -> AsyncIterator[None]:
    for link in links:
        inject(context.fleet.proxies[link])
    yield
    for link in links:
        context.fleet.proxies[link].heal()


@asynccontextmanager
async def _with_store_fault(
    faults: dict,
    context: FaultContext,
    _names: tuple[str, ...],
) -> AsyncIterator[None]:
    await _set_store_faults(context, faults)
    yield
    await _set_store_faults(context, {})


async def _set_store_faults(context: FaultContext, faults: dict) -> None:
    url = f'{context.fleet.plan.store.url}/faults'
    async with context.session.put(url, json=faults) as response:
        response.raise_for_status()


@asynccontextmanager
async def _restart(
    context: FaultContext,
    names: tuple[str, ...],
) -> AsyncIterator[None]:
    fleet = context.fleet
    callers = {entry.name: entry.caller for entry in fleet.plan.entries}
    for name in names:
        if name not in fleet.children.running:
            continue
        left_s = time.monotonic()
        await _stop_gracefully(fleet, name)
        fleet.children.restart(name)
        caller = callers.get(name)
        if caller:
            await wait_ready(fleet.children, context.session, [caller])
        else:
            context.run.left_s.setdefault(name, []).append(
                (left_s, time.monotonic()),
            )
        await wait_endpoints(
            fleet.children,
            context.session,
            fleet.plan,
            fleet.admin_key,
        )
    yield


async def _stop_gracefully(fleet: Fleet, name: str) -> None:
    child = fleet.children.running.pop(name)
    child.terminate()
    deadline_s = time.monotonic() + _EXIT_TIMEOUT_S
    # Polled, because the event loop is not notified of the exit of a process
    # that subprocess.Popen started.
    while child.poll() is None:
        if time.monotonic() > deadline_s:
            child.kill()
            child.wait()
            raise TimeoutError(f'{name} did not exit after SIGTERM')
        await asyncio.sleep(_POLL_S)


@asynccontextmanager
async def _race_operators(
    context: FaultContext,
    _names: tuple[str, ...],
) -> AsyncIterator[None]:
    tasks = [
        asyncio.ensure_future(_change_config_repeatedly(context, index))
        for index in range(2)
    ]
    yield
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    admin = context.make_admin(0)
    with suppress(AdminError):
        await admin.edit_config(_remove_drains)


def _remove_drains(config: dict) -> None:
    config['rules']['drained_endpoints'] = []


async def _change_config_repeatedly(context: FaultContext, index: int) -> None:
    admin = context.make_admin(index)
    workspace = context.fleet.scenario.workspaces[0]
    endpoint = context.fleet.plan.endpoints[0].name
    iteration = 0
    while True:
        iteration += 1
        rate = RateInForce(
            workspace=workspace.name,
            from_s=time.monotonic(),
            rate_per_s=workspace.rate_per_s + iteration % 3,
            burst=workspace.burst + index,
        )
        context.run.rates.append(rate)
        with suppress(AdminError):
            await admin.edit_config(partial(_set_rate, rate))
            key = f'race-{index}-{time.monotonic_ns()}'
            await admin.grant(key, workspace.name)
            await admin.drain(endpoint)
            await admin.withdraw(key)
            await admin.edit_config(_remove_drains)
        await asyncio.sleep(_RACE_PAUSE_S)


def _set_rate(rate: RateInForce, config: dict) -> None:
    config['rules']['rates'][rate.workspace] = {
        'rate_per_s': rate.rate_per_s,
        'burst': rate.burst,
    }


@asynccontextmanager
async def _churn_key(
    context: FaultContext,
    _names: tuple[str, ...],
) -> AsyncIterator[None]:
    context.churn_count += 1
    key = f'churn-{context.churn_count}'
    admin = context.make_admin(context.churn_count)
    # Programs of the key start even if the grant fails; their calls are then
    # refused.
    with suppress(AdminError):
        workspace = context.fleet.scenario.workspaces[0].name
        context.fleet.keys[key] = await admin.grant(key, workspace)
    programs = asyncio.ensure_future(_run_with_key(context, key))
    yield
    with suppress(AdminError):
        await admin.withdraw(key)
        context.run.withdrawn_s[key] = time.monotonic()
    await programs


async def _run_with_key(context: FaultContext, key: str) -> None:
    scenario = _single_key_scenario(context.fleet.scenario, key)
    load = LoadRun(
        scenario,
        context.load.targets,
        context.fleet.keys,
        context.load.seed,
        programs=context.run.programs,
    )
    await run_programs(load, plan_programs(scenario, load.seed))


def _single_key_scenario(scenario: Scenario, key: str) -> Scenario:
    group = GroupSpec(
        key=key,
        program_count=_CHURN_PROGRAM_COUNT,
        programs_per_s=_CHURN_PROGRAMS_PER_S,
    )
    workspace = msgspec.structs.replace(
        scenario.workspaces[0],
        groups=(group,),
    )
    return msgspec.structs.replace(scenario, workspaces=(workspace,))


def _stall(proxy: FaultProxy) -> None:
    proxy.stall(BOTH_WAYS)


def _lose_replies(proxy: FaultProxy) -> None:
    proxy.stall(frozenset((TO_CALLER,)))


def _delay(proxy: FaultProxy) -> None:
    proxy.delay(_DELAY_S)


ACTIONS: dict[str, _FaultAction] = {
    'kill': _kill,
    'pause': _pause,
    'cut': partial(_with_link_fault, FaultProxy.cut),
    'stall': partial(_with_link_fault, _stall),
    'lose_replies': partial(_with_link_fault, _lose_replies),
    'delay': partial(_with_link_fault, _delay),
    'store_down': partial(_with_store_fault, {'is_down': True}),
    'store_slow': partial(_with_store_fault, {'delay_s': _STORE_DELAY_S}),
    'store_lose': partial(
        _with_store_fault,
        {'lose_response_count': _LOST_RESPONSE_COUNT},
    ),
    'race': _race_operators,
    'churn': _churn_key,
    'restart': _restart,
}
