"""Runs idle cells of real processes; all endpoints share one server."""

import json
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field, replace
from itertools import cycle
from pathlib import Path

import aiohttp

from rattanvalve.admin_client import AdminClient
from rattanvalve.capacity.samples import ConfigSize, config_document
from rattanvalve.child_processes import Children
from rattanvalve.fleet_settings import FleetPlan, plan_fleet
from rattanvalve.keys import generate_key, key_digest
from rattanvalve.readiness import wait_endpoints, wait_ready
from rattanvalve.scenario import (
    ProgramSpec,
    Scenario,
    ServiceSpec,
    WorkspaceSpec,
)

__all__ = ('CellSize', 'IdleCell', 'running_cell')

_ZONES = ('selfoss', 'hella', 'vik')
_SERVICE = 'agent-models-1'
_STOP_GRACE_S = 6.0
_STANDIN = 'rattanvalve.standins.main'


@dataclass(frozen=True, slots=True)
class CellSize:
    """Number of entry and endpoint processes of a cell."""

    entry_count: int
    endpoint_count: int


@dataclass(slots=True)
class IdleCell:
    """A running cell and access to its store and admin API."""

    plan: FleetPlan
    children: Children
    session: aiohttp.ClientSession
    config_size: ConfigSize
    admin_key: str = field(default_factory=generate_key)
    change_count: int = 0

    def pids(self, names: list[str]) -> list[int]:
        """Look up the process ids of children.

        :param names: names of the children.
        :returns: process ids in the order of the names.
        """
        return [self.children.running[name].pid for name in names]

    async def store_calls(self) -> dict[str, int]:
        """Fetch the numbers of calls that the store has received.

        :returns: counts by kind of call.
        """
        async with self.session.get(f'{self.plan.store.url}/calls') as response:
            return await response.json()

    async def write_config(self) -> None:
        """Create the configuration in the store, as generation 1."""
        document = {
            'generation': 1,
            'change_id': 'initial',
            'author': 'operator',
            'config': config_document(self.config_size),
        }
        async with self.session.put(
            f'{self.plan.store.url}/v1/objects/config',
            data=json.dumps(document, separators=(',', ':')),
            headers={'If-None-Match': '*'},
        ) as response:
            response.raise_for_status()

    async def change_config(self) -> None:
        """Grant a new key through the admin API, as an operator does."""
        self.change_count += 1
        urls = [entry.admin.url for entry in self.plan.entries]
        admin = AdminClient(self.session, urls, self.admin_key)
        await admin.grant(f'new-key-{self.change_count}', 'workspace-00000')


@asynccontextmanager
async def running_cell(
    size: CellSize,
    config_size: ConfigSize,
    folder: Path,
) -> AsyncIterator[IdleCell]:
    """Run a cell without traffic.

    :param size: numbers of processes.
    :param config_size: size of the configuration.
    :param folder: existing folder for settings and logs.
    :returns: cell whose processes are ready; they are stopped on exit.
    :raises ChildError: if a process exits or does not become ready.
    """
    children = Children(folder)
    try:
        async with aiohttp.ClientSession() as session:
            cell = IdleCell(_plan(size), children, session, config_size)
            await _start(cell, folder)
            yield cell
    finally:
        # Synchronous, so that a cancellation cannot leave children running.
        children.stop_all(_STOP_GRACE_S)


def _plan(size: CellSize) -> FleetPlan:
    plan = plan_fleet(
        Scenario(
            name='capacity',
            cell='is-south-1',
            zones=tuple(f'{at:02d}' for at in range(size.entry_count)),
            services=(
                ServiceSpec(
                    name=_SERVICE,
                    kind='engine',
                    model='model-1',
                    server_count=size.endpoint_count,
                ),
            ),
            workspaces=(WorkspaceSpec(name='none', rate_per_s=1, burst=1),),
            programs=ProgramSpec(
                min_turns=1,
                max_turns=1,
                order_service='none',
                order_path='/',
            ),
        ),
    )
    server = plan.endpoints[0].server
    return replace(
        plan,
        entries=tuple(
            replace(entry, zone=zone)
            for entry, zone in zip(plan.entries, cycle(_ZONES), strict=False)
        ),
        endpoints=tuple(
            replace(endpoint, server=server, zone=zone)
            for endpoint, zone in zip(
                plan.endpoints,
                cycle(_ZONES),
                strict=False,
            )
        ),
    )


async def _start(cell: IdleCell, folder: Path) -> None:
    plan, children = cell.plan, cell.children
    standins = {
        'store': plan.store,
        'vms': plan.vms,
        'engine': plan.endpoints[0].server,
    }
    for kind, address in standins.items():
        children.start(
            kind,
            _STANDIN,
            kind,
            f'--host={address.host}',
            f'--port={address.port}',
        )
    await wait_ready(children, cell.session, standins.values())
    await cell.write_config()
    digest = key_digest(cell.admin_key)
    for entry in plan.entries:
        settings = plan.entry_settings(entry, digest)
        _start_process(cell, folder, 'rattanvalve.entry_main', settings)
    callers = [member.caller for member in plan.entries]
    await wait_ready(children, cell.session, callers)
    for endpoint in plan.endpoints:
        settings = plan.endpoint_settings(endpoint)
        _start_process(cell, folder, 'rattanvalve.endpoint_main', settings)
    await wait_endpoints(children, cell.session, plan, cell.admin_key)


def _start_process(
    cell: IdleCell,
    folder: Path,
    module: str,
    settings: dict,
) -> None:
    path = folder / f'{settings["name"]}.json'
    path.write_text(json.dumps(settings))
    cell.children.start(settings['name'], module, f'--settings={path}')
