"""Runs the processes of a scenario on loopback addresses."""

import asyncio
import json
import time
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path

import aiohttp

from rattanvalve.child_processes import Children
from rattanvalve.fault_proxy import FaultProxy
from rattanvalve.fleet_settings import (
    Address,
    EndpointPlan,
    FleetPlan,
    plan_fleet,
    server_name,
    with_proxies,
)
from rattanvalve.keys import generate_key, key_digest
from rattanvalve.loadrun import Targets, direct_targets, product_targets
from rattanvalve.readiness import wait_endpoints, wait_ready
from rattanvalve.scenario import Scenario, config_document

__all__ = ('Fleet', 'ProductCommands', 'running_fleet')

_POLL_S = 0.05
_STOP_GRACE_S = 6.0
_STANDIN = 'rattanvalve.standins.main'


@dataclass(frozen=True, slots=True)
class ProductCommands:
    """Modules, with leading arguments, that run as the product's processes."""

    entry: tuple[str, ...] = ('rattanvalve.entry_main',)
    endpoint: tuple[str, ...] = ('rattanvalve.endpoint_main',)


@dataclass(slots=True)
class Fleet:
    """Processes of one scenario.

    ``folder`` receives settings, journals and logs. ``keys`` holds the keys
    of callers by key name; ``admin_key`` is the operator's key. ``proxies``
    holds the fault proxies by link; it is empty in a fleet without proxies.
    ``programs`` holds the modules that run as entry and endpoint processes.
    """

    scenario: Scenario
    folder: Path
    plan: FleetPlan
    children: Children
    keys: dict[str, str] = field(default_factory=dict)
    admin_key: str = field(default_factory=generate_key)
    proxies: dict[str, FaultProxy] = field(default_factory=dict)
    programs: ProductCommands = field(default_factory=ProductCommands)

    def product_targets(self) -> Targets:
        """Return targets on the callers' API of the entry processes.

        :returns: targets of the load client.
        """
        urls = [entry.caller.url for entry in self.plan.entries]
        return product_targets(urls, self.scenario)

    def direct_targets(self) -> Targets:
        """Return targets on the servers, bypassing the product.

        :returns: targets of the load client.
        """
        urls: dict[str, list[str]] = {}
        for endpoint in self.plan.endpoints:
            urls.setdefault(endpoint.service.name, []).append(
                endpoint.server.url,
            )
        return direct_targets(urls[self.scenario.engine_service().name], urls)

    def engine_urls(self) -> list[str]:
        """Return the addresses of all engine servers.

        :returns: base URLs.
        """
        return [
            endpoint.server.url
            for endpoint in self.plan.endpoints
            if endpoint.service.kind == 'engine'
        ]


@asynccontextmanager
async def running_fleet(
    scenario: Scenario,
    folder: Path,
    policy: tuple[str, str] = ('affinity', 'program_fair'),
    *,
    is_direct: bool = False,
    is_proxied: bool = False,
    root: Path | None = None,
    programs: ProductCommands | None = None,
) -> AsyncIterator[Fleet]:
    """Run the processes of a scenario within an ``async with`` block.

    All processes have ended when the block is left, also after an exception
    or a cancellation.

    :param scenario: scenario to run.
    :param folder: empty folder for settings, journals and logs.
    :param policy: placement policy and queue policy.
    :param is_direct: start only the stand-in servers, without the product.
    :param is_proxied: put a fault proxy into every link between processes.
    :param root: checkout to run; by default that of this package.
    :param programs: modules to run as the product; by default its own.
    :returns: fleet whose processes are ready.
    :raises ChildError: if a process exits or does not become ready in time.
    """
    for folder_name in ('settings', 'journals', 'logs'):
        (folder / folder_name).mkdir(parents=True)
    plan = plan_fleet(scenario)
    fleet = Fleet(
        scenario,
        folder,
        with_proxies(plan) if is_proxied else plan,
        _make_children(folder / 'logs', root),
        {name: generate_key() for name in scenario.initial_keys()},
        programs=programs or ProductCommands(),
    )
    try:
        await _start_proxies(fleet)
        async with aiohttp.ClientSession() as session:
            await _start_standins(fleet, session)
            if not is_direct:
                await _start_product(fleet, session, policy)
        yield fleet
        await _stop_gracefully(fleet)
    finally:
        fleet.children.stop_all(_STOP_GRACE_S)
        for proxy in fleet.proxies.values():
            proxy.stop()


async def _start_proxies(fleet: Fleet) -> None:
    targets = fleet.plan.links()
    for link, listen in fleet.plan.routes.items():
        fleet.proxies[link] = FaultProxy(listen, targets[link])
        await fleet.proxies[link].start()


def _make_children(log_folder: Path, root: Path | None) -> Children:
    return Children(log_folder, root=root) if root else Children(log_folder)


async def _stop_gracefully(fleet: Fleet) -> None:
    # stop_all() blocks the event loop; waiting here first lets other fleets
    # of this process continue.
    fleet.children.terminate()
    deadline_s = time.monotonic() + _STOP_GRACE_S
    # Polled, because the event loop is not notified of the exit of a process
    # that subprocess.Popen started.
    while fleet.children.alive() and time.monotonic() < deadline_s:  # noqa: ASYNC110
        await asyncio.sleep(_POLL_S)


async def _start_standins(
    fleet: Fleet,
    session: aiohttp.ClientSession,
) -> None:
    _start_standin(fleet, 'store', 'store', fleet.plan.store)
    _start_standin(fleet, 'vms', 'vms', fleet.plan.vms)
    for endpoint in fleet.plan.endpoints:
        kind = 'engine' if endpoint.service.kind == 'engine' else 'service'
        _start_standin(
            fleet,
            server_name(endpoint.name),
            kind,
            endpoint.server,
            *_behaviour_options(endpoint),
        )
    servers = [planned.server for planned in fleet.plan.endpoints]
    await wait_ready(
        fleet.children,
        session,
        (fleet.plan.store, fleet.plan.vms, *servers),
    )


def _start_standin(
    fleet: Fleet,
    name: str,
    kind: str,
    address: Address,
    *options: str,
) -> None:
    journal = fleet.folder / 'journals' / f'{name}.jsonl'
    fleet.children.start(
        name,
        _STANDIN,
        kind,
        f'--host={address.host}',
        f'--port={address.port}',
        f'--name={name}',
        f'--journal={journal}',
        *options,
    )


def _behaviour_options(endpoint: EndpointPlan) -> Iterator[str]:
    for name, number in endpoint.service.behaviour.items():
        yield f'--{name.replace("_", "-")}={number:g}'
    if endpoint.service.checks_fencing:
        yield '--checks-fencing'


async def _start_product(
    fleet: Fleet,
    session: aiohttp.ClientSession,
    policy: tuple[str, str],
) -> None:
    await _store_config(fleet, session, policy)
    digest = key_digest(fleet.admin_key)
    for entry in fleet.plan.entries:
        settings = fleet.plan.entry_settings(entry, digest)
        _start_process(fleet, fleet.programs.entry, settings)
    for endpoint in fleet.plan.endpoints:
        settings = fleet.plan.endpoint_settings(endpoint)
        _start_process(fleet, fleet.programs.endpoint, settings)
    callers = [planned.caller for planned in fleet.plan.entries]
    await wait_ready(fleet.children, session, callers)
    await wait_endpoints(fleet.children, session, fleet.plan, fleet.admin_key)


async def _store_config(
    fleet: Fleet,
    session: aiohttp.ClientSession,
    policy: tuple[str, str],
) -> None:
    stored = {
        'generation': 1,
        'change_id': 'initial',
        'author': 'operator',
        'config': config_document(fleet.scenario, fleet.keys, policy),
    }
    async with session.put(
        f'{fleet.plan.store.url}/v1/objects/config',
        json=stored,
        headers={'If-None-Match': '*'},
    ) as response:
        response.raise_for_status()


def _start_process(
    fleet: Fleet,
    program: tuple[str, ...],
    settings: dict,
) -> None:
    path = fleet.folder / 'settings' / f'{settings["name"]}.json'
    path.write_text(json.dumps(settings, indent=2))
    fleet.children.start(settings['name'], *program, f'--settings={path}')
