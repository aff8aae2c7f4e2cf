"""Client side of an HTTP/1.1 connection to a server."""

import asyncio
import socket
from collections.abc import Callable

from rattanvalve.channels import Address
from rattanvalve.errors import (
    ServerExchangeError,
    ServerRefusedError,
    ServerUnreachableError,
)
from rattanvalve.gateway.read_turns import ReadTurns
from rattanvalve.gateway.response_parser import ResponseHead, ResponseParser

__all__ = ('ServerConnection', 'open_connection')

#: Bytes of one read, and of a response that may be unread before reading from
#: the server pauses. Bounds the work of one connection at a time.
READ_BYTES = 16 * 1024
CONNECT_TIMEOUT_S = 0.6
#: Time after which the kernel drops a connection with unacknowledged bytes.
TCP_USER_TIMEOUT_MS = 1500


#: Shared by all connections, as each read is parsed before the next one.
_read_buffer = bytearray(READ_BYTES)


class ServerConnection(asyncio.BufferedProtocol):
    """Sends one request at a time and reads its response.

    ``idle_since_s`` is the monotonic time at which the last request ended.
    ``origin`` tells why it was opened for the current request, or that it is
    reused; empty before the first request. ``refused_ids`` are the requests
    that the server has refused on this connection.

    :param turns: order of the connections whose servers send without a pause.
    """

    def __init__(self, turns: ReadTurns) -> None:
        self.idle_since_s: float = 0
        self.origin = ''
        self._transport: asyncio.Transport | None = None
        self._parser = ResponseParser()
        self._is_broken = False
        self._turns = turns
        #: Bytes received since the last part of the body was taken.
        self._unread_bytes = 0
        self._is_paused = False
        #: Error of the parser that broke the connection.
        self._error: ServerExchangeError | None = None
        self._waiter: asyncio.Future | None = None
        self.refused_ids: set[str] = set()

    def send(self, request_id: str, payload: bytes) -> None:
        """Send a request; the response to the previous one must be complete.

        :param request_id: id that the response must carry.
        :param payload: head and body.
        :raises ServerExchangeError: if the connection is closed.
        """
        if not self.is_open():
            raise ServerExchangeError('connection closed before sending')
        self._parser.expect(request_id)
        self._transport.write(payload)

    async def read_head(self, hold: Callable[[int], None]) -> ResponseHead:
        """Wait for the head of the response.

        :param hold: accounts for bytes of the head; may raise an error.
        :returns: status and headers of the response.
        :raises ServerExchangeError: if the connection breaks.
        """
        held_bytes = 0
        while self._parser.head is None:
            await self._wait()
            growth = self._parser.head_bytes - held_bytes
            if growth > 0:
                hold(growth)
                held_bytes += growth
        return self._parser.head

    async def read_chunk(self) -> bytes:
        """Wait for the next part of the body.

        :returns: body bytes; empty at the end of a complete body.
        :raises ServerExchangeError: if the connection breaks.
        """
        while not (self._parser.buffered_bytes or self._parser.is_complete):
            await self._wait()
        chunk = self._parser.take_chunk()
        self._unread_bytes = 0
        if self._is_paused:
            await self._turns.wait()
            self._is_paused = False
            if self.is_open():
                self._transport.resume_reading()
        return chunk

    def has_refused(self, request_id: str) -> bool:
        """Return whether a request with this id was refused here.

        The server may send that refusal again, which could not be told from
        the response to another attempt with the same id.

        :param request_id: id of a request.
        :returns: whether the request needs another connection.
        """
        return request_id in self.refused_ids

    def is_open(self) -> bool:
        """Return whether the connection can carry data.

        :returns: whether neither side has closed it.
        """
        is_up = self._transport is not None and not self._is_broken
        return is_up and not self._transport.is_closing()

    def is_reusable(self, now_s: float) -> bool:
        """Return whether another request may be sent.

        :param now_s: monotonic time in seconds.
        :returns: whether the last response is complete and consumed, and the
            connection is open and within the server's idle timeout.
        """
        parser = self._parser
        is_clean = parser.is_complete and parser.is_reusable
        is_recent = now_s - self.idle_since_s < parser.idle_timeout_s
        is_read = not parser.buffered_bytes
        return is_clean and is_recent and is_read and self.is_open()

    def close(self) -> None:
        """Abort the connection, which cancels a request in flight."""
        if self._transport is not None:
            self._transport.abort()
        self._is_broken = True

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Store the transport; called by the event loop once connected.

        :param transport: transport of the connection.
        """
        self._transport = transport

    def get_buffer(self, sizehint: int) -> bytearray:
        """Return the buffer of the next read; called by the event loop.

        :param sizehint: recommended size; ignored.
        :returns: buffer of ``READ_BYTES``.
        """
        return _read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Parse received bytes; malformed ones close the connection.

        :param nbytes: number of bytes that were read into the buffer.
        """
        self._unread_bytes += nbytes
        try:
            self._parser.feed(memoryview(_read_buffer)[:nbytes])
        except ServerExchangeError as error:
            self._error = error
            self.close()
        is_ahead = self._unread_bytes >= READ_BYTES
        if is_ahead and self._parser.buffered_bytes and self.is_open():
            self._is_paused = True
            self._transport.pause_reading()
        self._wake()

    def eof_received(self) -> bool:
        """Complete a response whose body is delimited by the close.

        :returns: false, which lets the event loop close the transport.
        """
        self._parser.feed_eof()
        self._wake()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Mark the connection as broken and wake the reader.

        :param exc: cause, or ``None`` after a regular close.
        """
        self._is_broken = True
        self._wake()

    async def _wait(self) -> None:
        if self._is_broken:
            raise self._error or ServerExchangeError(
                'connection broken before end of response'
            )
        self._waiter = asyncio.get_running_loop().create_future()
        await self._waiter

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)


async def open_connection(
    address: Address, turns: ReadTurns
) -> ServerConnection:
    """Connect to a server.

    :param address: address on which the server listens.
    :param turns: order of the connections whose servers send without a pause.
    :returns: an open connection.
    :raises ServerUnreachableError: if the connection fails or times out; no
        request was sent.
    :raises ServerRefusedError: the same, if nothing listens at the address.
    """
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            transport, connection = await loop.create_connection(
                lambda: ServerConnection(turns),
                address.host,
                address.port,
            )
    except ConnectionRefusedError as error:
        raise ServerRefusedError(
            f'{address.host}:{address.port} refuses connections',
        ) from error
    except (OSError, TimeoutError) as error:
        raise ServerUnreachableError(
            f'cannot connect to {address.host}:{address.port}',
        ) from error
    transport.get_extra_info('socket').setsockopt(
        socket.IPPROTO_TCP,
        socket.TCP_USER_TIMEOUT,
        TCP_USER_TIMEOUT_MS,
    )
    return connection
