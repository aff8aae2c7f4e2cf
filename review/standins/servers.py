"""Stand-in of a sound server: answers streams, and plain requests."""

import asyncio
import hashlib
import time
from dataclasses import dataclass


@dataclass
class Run:
    """A request that a server began to work on."""

    request_id: str
    target: str
    headers: dict
    body_bytes: int
    body_digest: str
    #: Monotonic time in seconds.
    arrived_s: float


class Server:
    """Answers each request at once, a stream with ``events`` events."""

    def __init__(self, name, record, events=4):
        self.name = name
        self.runs = []
        self._events = events
        self._record = record
        self._count = 0

    async def start(self, host):
        """Listen; return the port."""
        self._server = await asyncio.start_server(
            self._serve, host, 0, limit=1 << 20, backlog=512
        )
        return self._server.sockets[0].getsockname()[1]

    def stop(self):
        self._server.close()

    async def _serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                await self._answer(head.decode('latin-1'), reader, writer)
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            writer.close()

    async def _answer(self, head, reader, writer):
        start, *lines = head.strip().split('\r\n')
        headers = {}
        for line in lines:
            name, _, content = line.partition(':')
            headers[name.lower()] = content.strip()
        body = await reader.readexactly(int(headers.get('content-length', 0)))
        _, target, _ = start.split(' ')
        request_id = headers.get('request-id', '')
        expected = headers.get('expect-instance', self.name)
        if expected != self.name:
            writer.write(
                f'HTTP/1.1 421 Misdirected Request\r\nRequest-Id: {request_id}'
                f'\r\nInstance-Id: {self.name}\r\nContent-Length: 0\r\n\r\n'.encode()
            )
            return
        digest = hashlib.sha256(body).hexdigest()
        run = Run(
            request_id, target, headers, len(body), digest, time.monotonic()
        )
        self.runs.append(run)
        self._record.write(
            f'run {request_id} at {self.name} {target} body {len(body)} bytes'
        )
        self._count += 1
        common = (
            f'HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\n'
            f'Server-Seal: {self.name}.{self._count}\r\n'
            'Server-Load: 1,0,12\r\n'
        )
        if target.startswith('/app'):
            content = b'done'
            writer.write(
                f'{common}Content-Length: {len(content)}\r\n\r\n'.encode()
                + content
            )
            return
        writer.write(
            f'{common}Content-Type: text/event-stream\r\n'
            'Transfer-Encoding: chunked\r\n\r\n'.encode()
        )
        for number in range(1, self._events + 1):
            event = f'id: {number}\ndata: {request_id} piece {number}\n\n'.encode()
            writer.write(b'%x\r\n%b\r\n' % (len(event), event))
        writer.write(b'0\r\n\r\n')
        await writer.drain()
