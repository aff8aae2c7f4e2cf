"""Gateways and turn stores on loopback addresses, with stand-in services."""

import asyncio
import itertools
import shutil
import socket
import tempfile
import time
from contextlib import suppress
from dataclasses import replace
from pathlib import Path

import aiohttp

from rattanvalve.channels import Address
from rattanvalve.errors import PeerError
from rattanvalve.gateway.caller_socket import open_caller_socket
from rattanvalve.gateway.process import GatewayProcess
from rattanvalve.platform.nodefile import NodeSettings
from rattanvalve.standins.crashes import DeadlyRequests
from rattanvalve.turnstore.process import TurnStoreProcess
from tests.loopback import network
from tests.platform_servers import PlatformServer
from tests.platform_store import PlatformStore

SECRET = b's' * 32
KEY = 'key-of-farm'
OTHER_KEY = 'key-of-shop'
WAIT_S = 10.0
#: Longest time until a crashed server is back.
SERVER_DOWN_S = 1.0
KEY_REVOCATION_S = 1.0
_numbers = itertools.count(1)


#: Ports that were drawn in this test run.
_drawn_ports = set()


def free_port():
    """Return a TCP port that is free on all local addresses.

    The system may return a port twice, as none is bound until its process
    starts.
    """
    port = None
    while port is None or port in _drawn_ports:
        with socket.socket() as probe:
            probe.bind(('0.0.0.0', 0))
            port = probe.getsockname()[1]
    _drawn_ports.add(port)
    return port


async def wait_until(condition):
    """Poll until a function returns true, for at most ``WAIT_S`` seconds."""
    async with asyncio.timeout(WAIT_S):
        while not condition():  # noqa: ASYNC110 - no event to wait for
            await asyncio.sleep(0.02)


def route(name, kind, service, **fields):
    """Return one route of an operators' configuration as JSON values."""
    return {
        'name': name,
        'host': 'farm.example',
        'pathPrefix': f'/{name}/',
        'kind': kind,
        'timeoutMs': 3000,
        'service': service,
        'maxAttempts': 2,
        **fields,
    }


def configuration(version=1, keys=(KEY,), rate=0, burst=0, **limits):
    """Return an operators' configuration as JSON values."""
    turns = {'retainContext': True, 'retentionS': 60}
    return {
        'version': version,
        'routes': [
            route('chat', 'stream', 'models', **turns),
            route('plan', 'stream', 'models', resumable=True, maxAttempts=1),
            route('stream', 'stream', 'app'),
            route('look', 'safe', 'app'),
            route('book', 'unsafe', 'app'),
            route('frail', 'unsafe', 'frail'),
            route('open', 'safe', 'app', authExempt=True),
        ],
        'services': [
            {'name': 'models', 'engine': {'slots': 4, 'tokensPerEvent': 9}},
            {'name': 'app'},
            {'name': 'frail'},
        ],
        'limits': limits,
        'tenants': [
            {
                'name': 'farm',
                'apiKeys': list(keys),
                'priority': 1,
                'perS': rate,
                'burst': burst,
            },
            {'name': 'shop', 'apiKeys': [OTHER_KEY]},
        ],
    }


def open_fleet(context, **options):
    """Start a fleet, which is stopped at the end of the scenario."""
    context.fleet = PlatformFleet()
    context.run(context.fleet.start(**options))
    context.closers.append(context.fleet.stop)


class PlatformFleet:
    """An object store, servers, three turn stores and two gateways.

    All run in one event loop.
    """

    def __init__(self):
        self.store = PlatformStore()
        self.servers = {}
        self.callers_port = free_port()
        self.ready_port = free_port()
        self.first_port = free_port()
        self.folder = Path(tempfile.mkdtemp())
        self.tasks = {}
        self.gateways = {}
        self.first_host_number = next(_numbers) * 10
        self.session = None
        self.deadly = DeadlyRequests()
        self._has_contention = False
        self._restart_task = None

    async def start(
        self,
        server_names=('app-1', 'app-2', 'models-1'),
        gateway_count=2,
        has_contention=False,
    ):
        """Start all processes and wait until the gateways are ready."""
        self._has_contention = has_contention
        self.store_address = await self.store.start()
        for name in server_names:
            await self.add_server(name)
        self.store.put('config', 'main', configuration())
        for index in range(3):
            self.start_turn_store(index)
        for index in range(gateway_count):
            self.start_gateway(index)
        self.session = aiohttp.ClientSession(auto_decompress=False)
        for index in range(gateway_count):
            await self.wait_ready(index)
        self._restart_task = asyncio.ensure_future(self._restart_servers())

    async def stop(self):
        """Stop all processes and remove the data folders."""
        if self._restart_task is not None:
            self._restart_task.cancel()
        await asyncio.gather(*map(self.stop_process, tuple(self.tasks)))
        await self.session.close()
        for server in self.servers.values():
            await server.stop()
        await self.store.stop()
        shutil.rmtree(self.folder)

    async def add_server(self, name, kind=PlatformServer):
        """Start a server and register it in the object store."""
        server = self.servers[name] = kind(name)
        server.deadly = self.deadly
        await server.start()
        self._register(server, born_ms=1)
        return server

    def host(self, role, index):
        """Return the loopback address of a process, unique in the test run."""
        offset = 0 if role == 'store' else 5
        number = self.first_host_number + index + offset
        return f'{network()}.{number // 250 + 1}.{number % 250 + 1}'

    def start_turn_store(self, index, is_first_start=True):
        """Start a turn store on its own data folder."""
        node = self._node('store', index, is_first_start)
        process = TurnStoreProcess(node, SECRET)
        self.tasks[f'store-{index}'] = asyncio.ensure_future(process.run())

    def open_caller_socket(self, index):
        """Listen for callers of a gateway that starts later."""
        node = replace(self._node('gateway', index, True), has_contention=True)
        return open_caller_socket(node)

    def start_gateway(self, index, caller_socket=None):
        """Start a gateway as a task of this event loop."""
        process = GatewayProcess(
            self._node('gateway', index, True), SECRET, caller_socket
        )
        self.gateways[index] = process
        self.tasks[f'gateway-{index}'] = asyncio.ensure_future(process.run())

    def arrivals(self, path_end):
        """Count the requests at all servers whose target has this suffix."""
        return sum(
            target.endswith(path_end)
            for server in self.servers.values()
            for _, target, _, _ in server.requests
        )

    def cut_off(self, index):
        """Let all further calls of a gateway to turn stores time out."""
        peers = self.gateways[index]._peers
        call = peers.call
        stores = {self.host('store', number) for number in range(3)}

        async def call_or_fail(address, message, timeout_s):
            if address.host in stores:
                await asyncio.sleep(timeout_s)
                raise PeerError('cut off')
            return await call(address, message, timeout_s)

        peers.call = call_or_fail

    async def stop_process(self, name):
        """Stop a process gracefully."""
        task = self.tasks.pop(name)
        task.cancel()
        with suppress(asyncio.CancelledError):
            await task

    def wipe(self, index):
        """Delete the data folder of a stopped turn store."""
        shutil.rmtree(self.folder / f'store-{index}')

    async def wait_ready(self, index, is_ready=True):
        """Wait until the readiness probe of a gateway gives this result."""
        url = f'http://{self.host("gateway", index)}:{self.ready_port}/ready'
        async with asyncio.timeout(WAIT_S):
            while not await self._has_readiness(url, is_ready):
                self._raise_failures()
                await asyncio.sleep(0.05)

    async def request(self, path, index=0, method='POST', body=b'', **headers):
        """Send a request of a caller; return status, headers and body.

        Status 0 means that no complete response was received.
        """
        all_headers = {
            'Host': 'farm.example',
            'Request-Id': f'id-{next(_numbers)}',
            'Deadline-Ms': '2500',
            'X-Api-Key': KEY,
        } | {name.replace('_', '-'): text for name, text in headers.items()}
        url = f'http://{self.host("gateway", index)}:{self.callers_port}{path}'
        try:
            async with self.session.request(
                method,
                url,
                data=body,
                headers={
                    name: text for name, text in all_headers.items() if text
                },
            ) as response:
                return response.status, response.headers, await response.read()
        except aiohttp.ClientError:
            return 0, {}, b''

    async def raw_answer(self, path, *headers):
        """Send a request; return all bytes until the connection ends."""
        reader, writer = await asyncio.open_connection(
            self.host('gateway', 0),
            self.callers_port,
        )
        lines = (
            f'POST {path} HTTP/1.1',
            'Host: farm.example',
            f'X-Api-Key: {KEY}',
            'Content-Length: 0',
            *headers,
        )
        writer.write('\r\n'.join((*lines, '', '')).encode())
        return await asyncio.wait_for(reader.read(), WAIT_S)

    def _register(self, server, born_ms):
        spec = {
            'service': server.name.partition('-')[0],
            'address': server.address,
            'zone': 'z',
            'slots': 4,
            'state': 'ready',
            'born': born_ms,
        }
        self.store.put('servers', server.name, spec)

    async def _restart_servers(self):
        """Start crashed servers again after ``SERVER_DOWN_S``."""
        while True:
            await asyncio.sleep(SERVER_DOWN_S)
            for server in self.servers.values():
                if server.is_down():
                    await server.start_again()
                    self._register(server, time.time_ns() // 1_000_000)

    def _raise_failures(self):
        """Raise the exception of a process that ended with one."""
        for task in self.tasks.values():
            if task.done() and not task.cancelled():
                task.result()

    async def _has_readiness(self, url, is_ready):
        try:
            async with self.session.get(url) as response:
                return (response.status == 200) == is_ready
        except aiohttp.ClientError:
            return False

    def _node(self, role, index, is_first_start):
        host = self.host(role, index)
        is_gateway = role == 'gateway'
        return NodeSettings(
            name=f'{role}-{index}',
            host=host,
            zone='z',
            first_port=self.first_port,
            callers=Address(host, self.callers_port) if is_gateway else None,
            readiness=Address(host, self.ready_port) if is_gateway else None,
            seed_hosts=tuple(self.host('store', seed) for seed in range(3)),
            store=Address('127.0.0.1', int(self.store_address.split(':')[1])),
            data_folder=None if is_gateway else self.folder / f'store-{index}',
            is_first_start=is_first_start,
            lost_disks_max=1,
            memory_mb=100,
            grace_s=1.5,
            key_revocation_s=KEY_REVOCATION_S,
            has_contention=self._has_contention,
        )
