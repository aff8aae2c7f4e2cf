"""Stand-in for an application or model server."""

import asyncio
import random
import time
from contextlib import suppress

from fleet2.http import encode_answer, read_request

HEARTBEAT_S = 1.2
QUEUE_PER_SLOT = 3


class Server:
    """Serves plain requests and streams, and writes its own entry.

    :param store: the platform's store.
    :param record: record of the run.
    :param work_s: returns the seconds of work of one request.
    :param event_count: events of each stream; 0 for a plain service.
    :param piece: text of the data of an event, given its number.
    """

    def __init__(
        self, store, record, name, service, zone, address, work_s,
        slots=6, event_count=0, event_gap_s=0.02,
    ):
        self.name = name
        self.service = service
        self.zone = zone
        self.address = address
        self.slots = slots
        self.runs = []
        self.arrivals = []
        self.is_leaving = False
        self.limit_per_s = None
        #: Body of a request that crashes this server when it begins to run.
        self.deadly_body = None
        #: Seconds until a crashed server is back.
        self.down_s = 2.5
        self.crashes_s = []
        #: Share of the requests that run and whose answer is lost.
        self.lost_share = 0.0
        self._store = store
        self._record = record
        self._work_s = work_s
        self._event_count = event_count
        self._event_gap_s = event_gap_s
        self._running = 0
        self._waiting = 0
        self._free = asyncio.Condition()
        self._born = time.time_ns() // 1_000_000
        self._writers = set()
        self._beats = None

    async def start(self):
        """Listen and register."""
        host, _, port = self.address.rpartition(':')
        self._server = await asyncio.start_server(self._serve, host, int(port))
        self._beats = asyncio.ensure_future(self._beat())

    def leave_list(self):
        """Leave without having reported ``draining``: the entry is removed."""
        self.is_leaving = True
        self._beats.cancel()
        self._store.remove('servers', self.name)

    def report_draining(self):
        """Leave as planned: the entry says so at once."""
        self.is_leaving = True
        self._beats.cancel()
        self._put('draining')

    def end(self):
        """Exit: all channels are reset."""
        self._beats.cancel()
        self._store.remove('servers', self.name)
        self._server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def _crash(self):
        """Lose all channels, and be back later in a new lifetime."""
        if not self._server.is_serving():
            return
        self._record.write('crash', server=self.name)
        self.crashes_s.append(time.monotonic())
        self._beats.cancel()
        self._server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()
        await asyncio.sleep(self.down_s)
        self._running = 0
        self._waiting = 0
        self._born = time.time_ns() // 1_000_000
        await self.start()

    async def _beat(self):
        while True:
            self._put('ready')
            await asyncio.sleep(HEARTBEAT_S)

    def _put(self, state):
        self._store.put(
            'servers',
            self.name,
            {
                'service': self.service,
                'address': self.address,
                'zone': self.zone,
                'version': 'v1',
                'slots': self.slots,
                'state': state,
                'coldRemainingMs': 0,
                'sequence': 1,
                'born': self._born,
            },
        )

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        ahead = b''
        try:
            while True:
                request = await read_request(reader, ahead)
                ahead = await self._serve_one(request, reader, writer)
        except (OSError, EOFError, RuntimeError, asyncio.CancelledError):
            # The channel or the whole run has ended.
            writer.transport.abort()
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _serve_one(self, request, reader, writer):
        """Run a request; stop when its channel closes."""
        work = asyncio.ensure_future(self._answer(request, writer))
        closed = asyncio.ensure_future(reader.read(1))
        done, _ = await asyncio.wait(
            (work, closed), return_when=asyncio.FIRST_COMPLETED
        )
        if closed in done and not closed.result():
            work.cancel()
            with suppress(asyncio.CancelledError):
                await work
            raise ConnectionResetError
        await work
        if closed.done():
            if not closed.result():
                raise ConnectionResetError
            return closed.result()
        closed.cancel()
        with suppress(asyncio.CancelledError):
            return await closed
        return b''

    def _headers(self, request_id):
        load = f'{self._running},{self._waiting},{self.slots}'
        headers = {'Request_Id': request_id, 'Server_Load': load}
        if self.is_leaving:
            headers['Server_Leaving'] = '1'
            headers['Connection'] = 'close'
        if self.limit_per_s is not None:
            headers['Server_Limit'] = str(self.limit_per_s)
        return headers

    async def _answer(self, request, writer):
        request_id = request.headers['request-id']
        self.arrivals.append((time.monotonic(), request))
        if request.target == '/health':
            writer.write(encode_answer(200, Instance_Id=self.name))
            return
        expected = request.headers['expect-instance']
        if expected and expected != self.name:
            writer.write(encode_answer(421, Instance_Id=self.name))
            return
        limit_s = time.monotonic() + int(request.headers['deadline-ms'] or 9999) / 1000
        if not await self._take_slot(limit_s):
            self._record.write('refused', server=self.name, request=request_id)
            headers = self._headers(request_id)
            writer.write(encode_answer(503, Not_Executed='1', **headers))
            return
        run = {'request': request, 'began_s': time.monotonic(), 'outcome': 'begun'}
        self.runs.append(run)
        self._record.write(
            'run', server=self.name, service=self.service, request=request_id
        )
        if request.body == self.deadly_body:
            run['outcome'] = 'crashed'
            await asyncio.sleep(self._work_s() / 2)
            asyncio.ensure_future(self._crash())
            raise ConnectionResetError
        try:
            async with asyncio.timeout_at(
                asyncio.get_running_loop().time() + limit_s - time.monotonic()
            ):
                if random.random() < self.lost_share:
                    await self._lose_answer(request_id)
                await self._work(request_id, writer)
            run['outcome'] = 'answered'
        except TimeoutError:
            run['outcome'] = 'deadline'
            if self._event_count:
                raise ConnectionResetError from None
            writer.write(encode_answer(504, **self._headers(request_id)))
        finally:
            self._running = max(self._running - 1, 0)
            async with self._free:
                self._free.notify()

    async def _take_slot(self, limit_s):
        if self._running < self.slots:
            self._running += 1
            return True
        if self._waiting >= self.slots * QUEUE_PER_SLOT:
            return False
        self._waiting += 1
        try:
            async with asyncio.timeout(max(limit_s - time.monotonic(), 0)):
                async with self._free:
                    await self._free.wait_for(lambda: self._running < self.slots)
                    self._running += 1
        except TimeoutError:
            return False
        finally:
            self._waiting -= 1
        return True

    async def _lose_answer(self, request_id):
        """Do the work of a request, then reset its channel."""
        await asyncio.sleep(self._work_s() + self._event_count * self._event_gap_s)
        self._record.write('answer lost', server=self.name, request=request_id)
        raise ConnectionResetError

    async def _work(self, request_id, writer):
        await asyncio.sleep(self._work_s())
        seal = f'seal.{self.name}.{request_id}'
        headers = self._headers(request_id)
        if not self._event_count:
            body = f'{self.name} did {request_id}'.encode()
            writer.write(encode_answer(200, body, Server_Seal=seal, **headers))
            await writer.drain()
            return
        lines = ['HTTP/1.1 200 OK', 'Content-Type: text/event-stream']
        lines += [f'{name.replace("_", "-")}: {text}' for name, text in headers.items()]
        lines += [f'Server-Seal: {seal}', 'Transfer-Encoding: chunked', '', '']
        writer.write('\r\n'.join(lines).encode())
        for number in range(1, self._event_count + 1):
            event = f'id: {number}\ndata: {event_data(request_id, number)}\n\n'.encode()
            writer.write(b'%x\r\n%b\r\n' % (len(event), event))
            await writer.drain()
            await asyncio.sleep(self._event_gap_s)
        writer.write(b'0\r\n\r\n')
        await writer.drain()


def event_data(request_id, number):
    """Return the data of one event of a stream."""
    return f'piece {number} of {request_id}'
