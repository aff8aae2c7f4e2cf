"""One gateway and one turn store as processes, with low limits.

The object store and the servers are stand-ins in the process of the test.
"""

import asyncio
import itertools
import os
import shutil
import signal
import tempfile
from pathlib import Path

from rattanvalve.child_processes import Children
from rattanvalve.platform.nodefile import ENVIRONMENT_VARIABLE
from rattanvalve.platform.programs import SECRET_VARIABLE
from tests.crowd_callers import post
from tests.loopback import network
from tests.platform_fleet import SECRET, configuration, free_port
from tests.platform_servers import PlatformServer
from tests.platform_store import PlatformStore

#: Services whose servers may send without an end.
_ENDLESS = ('models', 'frail')
START_TIMEOUT_S = 20.0
ANSWER_TIMEOUT_S = 20.0
SAMPLE_INTERVAL_S = 0.02
#: Less than the second after which the kernel sends a dropped SYN again.
PAUSE_S = 0.9
GRACE_S = 2.0
LARGE_BYTES = 4_000_000
#: Third octets of the scenarios' addresses, apart from those of other tests.
_octets = itertools.count(100)
_request_numbers = itertools.count()
NODE_FILE = """
nodeName = "{name}"
ip = "{host}"
zone = "z"
internalPorts = [{port}, {port}]
seeds = ["{store_host}:{port}"]
bootstrap = true
dataDir = "{data}"
[limits]
memoryMb = {memory_mb}
maxFds = {descriptors_max}
[platform]
address = "{platform}"
[listen]
front = "{front}"
readyAddr = "{ready}"
[faultTolerance]
machines = 0
[bounds]
graceS = {grace_s}
"""


class LargeServer(PlatformServer):
    """Server with a path ``large``, answered with ``LARGE_BYTES``."""

    async def _do_large(self, request_id, reader, writer):
        writer.write(self._whole(request_id, bytes(LARGE_BYTES)))


class LimitedGateway:
    """A gateway process and what it needs; records its descriptors.

    ``descriptors_peak`` is the largest number of open descriptors seen.
    """

    def __init__(self, memory_mb, descriptors_max):
        self.memory_mb = memory_mb
        self.descriptors_max = descriptors_max
        self.descriptors_peak = 0
        self.callers_port = free_port()
        self.ready_port = free_port()
        self._internal_port = free_port()
        self._subnet = f'{network()}.{next(_octets)}'
        self.host = f'{self._subnet}.1'
        self._folder = Path(tempfile.mkdtemp(prefix='limits-'))
        self._children = Children(self._folder)
        self._store = PlatformStore()
        self._server = LargeServer('app-1')
        #: Ports of the servers in a process of their own, by service.
        self._endless_ports = {service: free_port() for service in _ENDLESS}
        self._sampler = None

    async def start(self):
        """Start all parts and wait until the gateway is ready."""
        platform = await self._store.start()
        self._register('app', await self._server.start())
        for service, port in self._endless_ports.items():
            self._register(service, f'127.0.0.1:{port}')
        self._start_endless()
        self._store.put('config', 'main', configuration())
        self._start_process('store', 'rattanvalve.turnstore.main', platform)
        self._start_process('gateway', 'rattanvalve.gateway.main', platform)
        async with asyncio.timeout(START_TIMEOUT_S):
            while not await self._is_ready():  # noqa: ASYNC110 - no event
                await asyncio.sleep(0.1)
        self._sampler = asyncio.ensure_future(self._sample())

    def release(self):
        """Let the server answer the requests that it holds."""
        self._server.release.set()

    async def stop(self):
        """Stop the processes and the stand-ins."""
        if self._sampler is not None:
            self._sampler.cancel()
        self._children.stop_all(GRACE_S + 1)
        await self._server.stop()
        await self._store.stop()
        shutil.rmtree(self._folder)

    def is_alive(self):
        """Return whether the process that was started still runs."""
        return self._children.running['gateway'].poll() is None

    def memory_peak_kb(self):
        """Return the peak of the resident memory."""
        return self._kernel_count('VmHWM')

    def descriptor_table_size(self):
        """Return the size of the table of descriptors, which never shrinks."""
        return self._kernel_count('FDSize')

    def terminate(self):
        """Send SIGTERM to the process."""
        os.kill(self._children.running['gateway'].pid, signal.SIGTERM)

    async def connect_while_paused(self, port, count):
        """Open connections to a port of the process while it is paused.

        :param port: ``callers``, ``probes`` or ``peers``.
        :returns: the writers of those that the kernel has completed in time.
        """
        ports = {
            'callers': self.callers_port,
            'probes': self.ready_port,
            'peers': self._internal_port,
        }
        pid = self._children.running['gateway'].pid
        os.kill(pid, signal.SIGSTOP)
        try:
            attempts = [
                asyncio.ensure_future(
                    asyncio.open_connection(self.host, ports[port])
                )
                for _ in range(count)
            ]
            opened, late = await asyncio.wait(attempts, timeout=PAUSE_S)
        finally:
            os.kill(pid, signal.SIGCONT)
        for unfinished in late:
            unfinished.cancel()
        return [finished.result()[1] for finished in opened]

    async def is_answered(self, **options):
        """Return whether an ordinary request gets 200 within the timeout.

        A request that is refused or whose connection is closed is sent again.
        """
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                while await self.request(**options) != 200:  # noqa: ASYNC110
                    await asyncio.sleep(0.1)
        except TimeoutError:
            return False
        return True

    async def request(self, body_bytes=2000, field_count=0, path='/look/whole'):
        """Send a request with short fields; return its status or 0."""
        name = f'request-{next(_request_numbers)}'
        fields = {f'f{number}': '1' for number in range(field_count)}
        return await post(self._url(path), name, bytes(body_bytes), fields)

    async def send_crowd(self, path, count):
        """Send requests from another process, until all have ended."""
        url = self._url(path)
        self._children.start('crowd', 'tests.crowd_callers', url, str(count))
        crowd = self._children.running['crowd']
        while crowd.poll() is None:  # noqa: ASYNC110 - no event to wait for
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    def _url(self, path):
        return f'http://{self.host}:{self.callers_port}{path}'

    def _register(self, service, address):
        spec = {
            'service': service,
            'address': address,
            'zone': 'z',
            'slots': 1000,
            'state': 'ready',
            'born': 1,
        }
        self._store.put('servers', f'{service}-1', spec)

    def _start_endless(self):
        arguments = []
        for service, port in self._endless_ports.items():
            arguments.extend((f'{service}-1', str(port)))
        self._children.start('servers', 'tests.endless_servers', *arguments)

    def _kernel_count(self, name):
        text = (self._proc() / 'status').read_text()
        line = next(row for row in text.splitlines() if name in row)
        return int(line.split()[1])

    def _proc(self):
        return Path(f'/proc/{self._children.running["gateway"].pid}')

    async def _is_ready(self):
        url = f'http://{self.host}:{self.ready_port}/ready'
        return await post(url, 'probe') == 200

    async def _sample(self):
        while self.is_alive():
            count = len(os.listdir(self._proc() / 'fd'))
            self.descriptors_peak = max(self.descriptors_peak, count)
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    def _start_process(self, name, module, platform):
        is_gateway = name == 'gateway'
        host = self.host if is_gateway else f'{self._subnet}.2'
        path = self._folder / f'{name}.toml'
        path.write_text(
            NODE_FILE.format(
                name=name,
                host=host,
                port=self._internal_port,
                store_host=f'{self._subnet}.2',
                data='' if is_gateway else self._folder / 'data',
                memory_mb=self.memory_mb,
                descriptors_max=self.descriptors_max,
                platform=platform,
                front=f'{host}:{self.callers_port}' if is_gateway else '',
                ready=f'{host}:{self.ready_port}' if is_gateway else '',
                grace_s=GRACE_S,
            )
        )
        self._children.environment = {
            ENVIRONMENT_VARIABLE: str(path),
            SECRET_VARIABLE: SECRET.decode(),
        }
        self._children.start(name, module)
