"""Stand-in for a platform server; the path of a request selects a fault."""

import asyncio
import time
from urllib.parse import urlsplit

from rattanvalve.standins.crashes import DeadlyRequests
from rattanvalve.standins.limits import StatedRate

EVENTS = (
    b'id: 1\ndata: one\n\n',
    b'id: 2\ndata: two\n\n',
    b'id: 3\ndata: three\n\n',
)
#: Errors of a write after the gateway has closed the connection. uvloop raises
#: RuntimeError if the close was a reset.
CONNECTION_ERRORS = (OSError, RuntimeError)
#: Data of one chunk of an endless response.
FILLER = b'a' * 0x1000
OUTPUT = b'one\ntwo\nthree\n'


class PlatformServer:
    """Records requests; the last path segment selects the response."""

    #: Text of the header with the load of this server.
    load_text = '1,0,4'

    def __init__(self, name):
        self.name = name
        self.deadly = DeadlyRequests()
        self._writers = set()
        self._refused_ids = {}
        self.requests = []
        self.left = asyncio.Event()
        self.release = asyncio.Event()
        self.refuses = False
        self.connection_count = 0
        self.last_error = None
        self.endless_ended = 0
        self.is_leaving = False
        self.rate = StatedRate()

    async def start(self):
        """Listen; return the address as ``HOST:PORT``."""
        await self._listen(0)
        self._port = self._server.sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{self._port}'
        return self.address

    async def start_again(self):
        """Listen at the former address after a crash."""
        await self._listen(self._port)

    def is_down(self):
        """Return whether it has crashed and not started again."""
        return not self._server.is_serving()

    def crash(self):
        """Stop listening and reset all connections."""
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    async def stop(self):
        """Stop listening; open connections stay."""
        self._server.close()

    def last_body(self):
        """Return the body of the newest request."""
        return self.requests[-1][3]

    async def _listen(self, port):
        self._server = await asyncio.start_server(
            self._serve, '127.0.0.1', port
        )

    async def _serve(self, reader, writer):
        self.connection_count += 1
        self._writers.add(writer)
        try:
            await self._serve_requests(reader, writer)
        except (asyncio.IncompleteReadError, OSError) as error:
            self.last_error = error
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _serve_requests(self, reader, writer):
        while True:
            head = await reader.readuntil(b'\r\n\r\n')
            await self._answer(head.decode('latin-1'), reader, writer)

    async def _answer(self, head, reader, writer):
        start, *lines = head.strip().split('\r\n')
        headers = dict(line.split(': ', 1) for line in lines)
        body = await reader.readexactly(int(headers.get('Content-Length', 0)))
        method, target, _ = start.split(' ')
        self.requests.append((method, target, headers, body))
        self.rate.record_arrival(time.monotonic())
        request_id = headers['Request-Id']
        if self.refuses:
            writer.write(self._whole(request_id, b'', 503, 'Not-Executed: 1'))
            return
        if self.deadly.is_deadly(body):
            self.deadly.record_crash(body, time.monotonic())
            self.crash()
            return
        action = urlsplit(target).path.rpartition('/')[2]
        handler = getattr(self, f'_do_{action}', self._do_whole)
        await handler(request_id, reader, writer)

    async def _do_whole(self, request_id, reader, writer):
        writer.write(self._whole(request_id, self.name.encode()))

    async def _do_extra(self, request_id, reader, writer):
        foreign_response = self._whole('another-id', b'of another request')
        writer.write(
            foreign_response
            + self._whole(request_id, b'mine')
            + foreign_response
        )

    async def _do_status(self, request_id, reader, writer):
        """Respond with the status in the query."""
        status = urlsplit(self.requests[-1][1]).query
        writer.write(self._whole(request_id, b'odd', status))

    async def _do_interim(self, request_id, reader, writer):
        """Send interim responses before the response."""
        for status in (100, 103, 199):
            writer.write(f'HTTP/1.1 {status} Text\r\n\r\n'.encode())
        writer.write(self._whole(request_id, b'after interim'))

    async def _do_unsealed(self, request_id, reader, writer):
        answer = f'HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\n'
        writer.write(f'{answer}Content-Length: 2\r\n\r\nhi'.encode())

    async def _do_break(self, request_id, reader, writer):
        writer.transport.abort()

    async def _do_short(self, request_id, reader, writer):
        whole = self._whole(request_id, b'a whole body')
        writer.write(whole[:-4])
        await writer.drain()
        writer.close()

    async def _do_stream(self, request_id, reader, writer):
        writer.write(self._stream_head(request_id))
        self._write_events(writer)
        writer.write(b'0\r\n\r\n')

    async def _do_crash(self, request_id, reader, writer):
        """Stop listening and close the connection within the second event.

        A request that resumes after an event gets the rest of the stream.
        """
        if 'Last-Event-Id' in self.requests[-1][2]:
            await self._do_stream(request_id, reader, writer)
            return
        self._server.close()
        await self._do_half(request_id, reader, writer)

    async def _do_half(self, request_id, reader, writer):
        """Close the connection within the second event; keep listening."""
        writer.write(self._stream_head(request_id))
        partial_events = EVENTS[0] + EVENTS[1][:-4]
        writer.write(b'%x\r\n%b\r\n' % (len(partial_events), partial_events))
        await writer.drain()
        writer.close()

    def _write_events(self, writer):
        """Write the events after the one in ``Last-Event-Id``."""
        last = int(self.requests[-1][2].get('Last-Event-Id', 0))
        for event in EVENTS[last:]:
            writer.write(b'%x\r\n%b\r\n' % (len(event), event))

    async def _do_unframed(self, request_id, reader, writer):
        """Send the events up to the byte in the query, then close."""
        head = self._stream_head(request_id).replace(
            b'Transfer-Encoding: chunked\r\n', b''
        )
        end = int(urlsplit(self.requests[-1][1]).query)
        writer.write(head + b''.join(EVENTS)[:end])
        await writer.drain()
        writer.close()

    async def _do_refusedtwice(self, request_id, reader, writer):
        """Refuse a request; if it comes again there, repeat that and run it."""
        refusal = self._whole(request_id, b'', 503, 'Not-Executed: 1')
        if request_id not in self._refused_ids:
            self._refused_ids[request_id] = writer
            writer.write(refusal)
            return
        if self._refused_ids[request_id] is writer:
            writer.write(refusal)
        writer.write(self._whole(request_id, self.name.encode()))

    async def _do_cut(self, request_id, reader, writer):
        writer.write(self._stream_head(request_id))
        writer.write(b'%x\r\n%b\r\n' % (len(EVENTS[0]), EVENTS[0]))
        await writer.drain()
        writer.close()

    async def _do_stall(self, request_id, reader, writer):
        writer.write(self._stream_head(request_id))
        writer.write(b'%x\r\n%b\r\n' % (len(EVENTS[0]), EVENTS[0]))
        await reader.read(1)

    async def _do_endlesshead(self, request_id, reader, writer):
        await self._send_endless(writer, b'HTTP/1.1 200 OK\r\n', b'X-A: b\r\n')

    async def _do_endlessbody(self, request_id, reader, writer):
        head = self._stream_head(request_id)
        await self._send_endless(writer, head, b'1000\r\n%b\r\n' % FILLER)

    async def _do_endlessother(self, request_id, reader, writer):
        head = self._stream_head('another-id')
        await self._send_endless(writer, head, b'1000\r\n%b\r\n' % FILLER)

    async def _do_endlessevent(self, request_id, reader, writer):
        start = self._stream_head(request_id) + b'6\r\ndata: \r\n'
        await self._send_endless(writer, start, b'1000\r\n%b\r\n' % FILLER)

    async def _send_endless(self, writer, start, chunk):
        """Send data until the gateway closes the connection."""
        writer.write(start)
        try:
            while True:
                writer.write(chunk * 16)
                await writer.drain()
        except CONNECTION_ERRORS:
            self.endless_ended += 1

    async def _do_drip(self, request_id, reader, writer):
        """Send a byte of one event each 50 ms until the gateway closes."""
        writer.write(self._stream_head(request_id) + b'6\r\ndata: \r\n')
        try:
            while True:
                writer.write(b'1\r\na\r\n')
                await writer.drain()
                await asyncio.sleep(0.05)
        except CONNECTION_ERRORS:
            self.endless_ended += 1

    async def _do_slow(self, request_id, reader, writer):
        """Send whole events with pauses of 0.6 s between them."""
        writer.write(self._stream_head(request_id))
        for event in EVENTS:
            writer.write(b'%x\r\n%b\r\n' % (len(event), event))
            await asyncio.sleep(0.6)
        writer.write(b'0\r\n\r\n')

    async def _do_held(self, request_id, reader, writer):
        closed = asyncio.ensure_future(reader.read(1))
        release = asyncio.ensure_future(self.release.wait())
        await asyncio.wait((closed, release), return_when='FIRST_COMPLETED')
        if closed.done():
            self.left.set()
        else:
            closed.cancel()
            # The next request cannot be read before this read has ended.
            await asyncio.wait((closed,))
            writer.write(self._whole(request_id, b'released'))

    def _whole(
        self, request_id, body, status=200, extra_header='Server-Seal: s.1'
    ):
        lines = (
            f'HTTP/1.1 {status} Text',
            f'Request-Id: {request_id}',
            f'Content-Length: {len(body)}',
            f'Server-Load: {self.load_text}',
            extra_header,
            *(('Server-Leaving: 1',) if self.is_leaving else ()),
            *self._limit_lines(),
        )
        return '\r\n'.join((*lines, '', '')).encode() + body

    def _limit_lines(self):
        headers = self.rate.headers()
        return [f'{name}: {text}' for name, text in headers.items()]

    def _stream_head(self, request_id):
        lines = (
            'HTTP/1.1 200 OK',
            f'Request-Id: {request_id}',
            f'Server-Seal: {self.name}',
            'Content-Type: text/event-stream',
            'Transfer-Encoding: chunked',
            *self._limit_lines(),
        )
        return '\r\n'.join((*lines, '', '')).encode()
