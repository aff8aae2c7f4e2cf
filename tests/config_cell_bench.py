"""Benchmark of the time until a change is in force in a cell of target size.

Run ``python -m tests.config_cell_bench``. The real processes of the demo run
on loopback. Keys are granted first with the few workspaces of the scenario,
then with 1,800 more. Each time ends when all entries report the new
generation.
"""

import asyncio
import statistics
import sys
import tempfile
import time
from pathlib import Path

import aiohttp

from rattanvalve.ctl_status import find_outdated_entries
from rattanvalve.fleet import running_fleet
from rattanvalve.scenario import load_scenario
from tests.config_bench import make_document

CHANGE_COUNT = 20
LIMIT_S = 60
SCENARIO = 'hrafnsdottir'
_POLL_S = 0.02


class Operator:
    """Client of the administration API of one entry."""

    def __init__(self, session, fleet):
        self.session = session
        self.url = fleet.plan.entries[0].admin.url
        self.headers = {'Authorization': f'Bearer {fleet.admin_key}'}

    async def send_request(self, method, path, **options):
        """Send a request and return the decoded JSON body."""
        headers = self.headers | options.pop('headers', {})
        async with self.session.request(
            method,
            f'{self.url}{path}',
            headers=headers,
            **options,
        ) as response:
            body = await response.json()
            response.raise_for_status()
            return body

    async def enlarge(self):
        """Add the workspaces, services and rules of the target size."""
        current = await self.send_request('GET', '/v1/config')
        config = current['config']
        added = make_document()
        for part in ('workspaces', 'keys', 'models', 'services'):
            config['inventory'][part].extend(added['inventory'][part])
        for part in ('rates', 'priorities', 'budgets'):
            config['rules'][part].update(added['rules'][part])
        return await self.send_request(
            'PUT',
            '/v1/config',
            json=config,
            headers={'If-Match': f'"{current["generation"]}"'},
        )

    async def time_change(self, change):
        """Make a change; return the seconds until acceptance and in force.

        The time until it is in force at all entries includes the status polls.
        """
        began_s = time.monotonic()
        body = await change
        accepted_s = time.monotonic() - began_s
        async with asyncio.timeout(LIMIT_S):
            while True:
                state = await self.send_request('GET', '/v1/status?all=true')
                if not find_outdated_entries(state, body['generation']):
                    return accepted_s, time.monotonic() - began_s
                await asyncio.sleep(_POLL_S)


async def time_grants(operator, prefix, workspace):
    """Grant keys one after another and time each change."""
    return [
        await operator.time_change(
            operator.send_request(
                'POST',
                '/v1/keys',
                json={'name': f'{prefix}-{number}', 'workspace': workspace},
            ),
        )
        for number in range(CHANGE_COUNT)
    ]


async def measure(folder):
    """Run the cell and print the table."""
    scenario = load_scenario(SCENARIO)
    async with (
        running_fleet(scenario, folder) as fleet,
        aiohttp.ClientSession() as session,
    ):
        operator = Operator(session, fleet)
        config = (await operator.send_request('GET', '/v1/config'))['config']
        workspace = config['inventory']['workspaces'][0]['name']
        _print_rows('small', await time_grants(operator, 'few', workspace))
        _print_rows('enlarge', [await operator.time_change(operator.enlarge())])
        _print_rows('large', await time_grants(operator, 'many', workspace))
        state = await operator.send_request('GET', '/v1/status?all=true')
        for entry in state['entries']:
            config_counters = {
                name: count
                for name, count in entry['counters'].items()
                if name.startswith('config.')
            }
            sys.stdout.write(f'{entry["name"]} {config_counters}\n')


def _print_rows(name, times):
    accepted, in_force = zip(*times, strict=True)
    for what, samples in (('accepted', accepted), ('in force', in_force)):
        cells = (
            f'{value:.3f}'
            for value in (
                statistics.median(samples),
                min(samples),
                max(samples),
            )
        )
        sys.stdout.write(f'| {name}, {what} (s) | {" | ".join(cells)} |\n')


def main():
    """Run the benchmark in a temporary folder."""
    with tempfile.TemporaryDirectory() as folder:
        asyncio.run(measure(Path(folder)))


if __name__ == '__main__':
    main()
