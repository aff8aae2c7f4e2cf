"""Servers whose responses have no end, or cost more than their bytes.

As a program: ``python -m tests.endless_servers NAME PORT [NAME PORT ...]``.
"""

import asyncio
import sys

import uvloop

from tests.platform_servers import CONNECTION_ERRORS, PlatformServer

__all__ = ('EndlessServer',)

#: Bytes that are repeated without end; several of them are written at a time.
WRITE_BYTES = 4 * 1024
#: Size of a head or event that is below the limits, but never completed.
HELD_HEAD_BYTES = 60 * 1024
HELD_EVENT_BYTES = 250 * 1024
#: Pause between reads of a few bytes each.
DRIP_PAUSE_S = 0.0005
DRIP_BYTES = 16


def chunked(data, size):
    """Frame data as chunks of a size in bytes."""
    return b''.join(
        b'%x\r\n%b\r\n' % (len(part), part)
        for part in (
            data[start : start + size] for start in range(0, len(data), size)
        )
    )


def repeat(data):
    """Repeat data up to about ``WRITE_BYTES``."""
    return data * (WRITE_BYTES // len(data))


_EVENTS = chunked(repeat(b'data:ab\n\n'), WRITE_BYTES)
_COMMENTS = chunked(repeat(b':\n\n'), WRITE_BYTES)
_SMALL_CHUNKS = repeat(b'1\r\na\r\n')
_SMALL_EVENT_CHUNKS = repeat(chunked(b'data:a\n\n', 1))
_SHORT_LINES = chunked(b'data\n' * (HELD_EVENT_BYTES // 5), WRITE_BYTES)
_SHORT_HEADERS = b'a:\r\n' * (HELD_HEAD_BYTES // 4)


class EndlessServer(PlatformServer):
    """Server whose responses end only when the gateway closes."""

    async def listen(self, port):
        """Listen at a port of the loopback address."""
        await self._listen(port)

    async def _do_events(self, request_id, reader, writer):
        """Send events of two bytes of data."""
        head = self._stream_head(request_id)
        await self._send_endless(writer, head, _EVENTS)

    async def _do_comments(self, request_id, reader, writer):
        """Send events without data."""
        head = self._stream_head(request_id)
        await self._send_endless(writer, head, _COMMENTS)

    async def _do_eventchunks(self, request_id, reader, writer):
        """Send events in chunks of one byte."""
        head = self._stream_head(request_id)
        await self._send_endless(writer, head, _SMALL_EVENT_CHUNKS)

    async def _do_chunks(self, request_id, reader, writer):
        """Send a body in chunks of one byte."""
        head = self._stream_head(request_id)
        await self._send_endless(writer, head, _SMALL_CHUNKS)

    async def _do_shortlines(self, request_id, reader, writer):
        """Send an event of very many lines, and then nothing."""
        head = self._stream_head(request_id)
        await self._send_and_wait(reader, writer, head + _SHORT_LINES)

    async def _do_shortheaders(self, request_id, reader, writer):
        """Send very many header fields, and then nothing."""
        head = b'HTTP/1.1 200 OK\r\n'
        await self._send_and_wait(reader, writer, head + _SHORT_HEADERS)

    async def _do_after(self, request_id, reader, writer):
        """Send a whole response, and then bytes without end."""
        response = self._whole(request_id, b'whole')
        interim = repeat(b'HTTP/1.1 100 Continue\r\n\r\n')
        await self._send_endless(writer, response, interim)

    async def _do_longline(self, request_id, reader, writer):
        """Send one line of an event in very small pieces."""
        writer.write(self._stream_head(request_id) + b'5\r\ndata:\r\n')
        piece = chunked(b'a' * DRIP_BYTES, DRIP_BYTES)
        try:
            while True:
                writer.write(piece)
                await writer.drain()
                await asyncio.sleep(DRIP_PAUSE_S)
        except CONNECTION_ERRORS:
            self.endless_ended += 1

    async def _send_and_wait(self, reader, writer, data):
        writer.write(data)
        await reader.read(1)
        self.endless_ended += 1


async def serve(arguments):
    """Run the servers with the names and ports until the process ends."""
    for name, port in zip(arguments[::2], arguments[1::2], strict=True):
        await EndlessServer(name).listen(int(port))
    await asyncio.Event().wait()


if __name__ == '__main__':
    uvloop.run(serve(sys.argv[1:]))
