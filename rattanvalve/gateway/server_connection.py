"""One HTTP/1.1 connection to a server.

A response belongs to the request whose id it carries. A server may send a
late or extra response, so responses with another id are read and dropped.
The client of aiohttp takes the next response for the answer, whatever its
id, and repeats requests by their method; that is why the parser is used
directly here.
"""

import asyncio
import socket
from collections import deque
from dataclasses import dataclass

import httptools
from multidict import CIMultiDict

from rattanvalve.channels import Address
from rattanvalve.errors import ServerBrokenError, ServerUnreachableError
from rattanvalve.platform.names import REQUEST_ID

__all__ = ('ResponseHead', 'ServerConnection', 'open_connection')

#: Bytes of a response that wait for the caller before reading pauses.
BUFFER_BYTES = 64 * 1024
CONNECT_TIMEOUT_S = 0.6
#: How long sent bytes may stay unacknowledged before the kernel gives up.
UNACKNOWLEDGED_LIMIT_MS = 1500
#: Idle time for which a connection is kept if the server names none.
IDLE_DEFAULT_S = 2.0
#: A connection is not used in the last part of the server's idle timeout.
IDLE_MARGIN_S = 0.7
_OK_MIN = 200
_BODILESS = frozenset((204, 304))
_END = b''


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """Status and headers of a response."""

    status: int
    headers: CIMultiDict[str]


class ServerConnection(asyncio.Protocol):
    """Sends one request at a time and reads its response."""

    def __init__(self) -> None:
        self.idle_since_s: float = 0
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._request_id: str | None = None
        self._head: ResponseHead | None = None
        self._chunks: deque[bytes] = deque()
        self._buffered_bytes = 0
        self._is_complete = True
        self._is_broken = False
        self._is_reusable = True
        self._idle_limit_s = IDLE_DEFAULT_S
        self._waiter: asyncio.Future | None = None
        self._headers: CIMultiDict[str] = CIMultiDict()
        self._is_ours = False
        self._is_unframed = False

    def send(self, request_id: str, payload: bytes) -> None:
        """Send a request.

        :param request_id: id that the response will carry.
        :param payload: head and body.
        :raises ServerBrokenError: if the connection is closed.
        """
        if not self.is_open():
            raise ServerBrokenError('connection closed before the request')
        self._request_id = request_id
        self._head = None
        self._is_complete = False
        self._is_unframed = False
        self._transport.write(payload)

    async def read_head(self) -> ResponseHead:
        """Wait for the head of the response.

        :returns: the head.
        :raises ServerBrokenError: if the server breaks off.
        """
        while self._head is None:
            self._check()
            await self._wait()
        return self._head

    async def read_chunk(self) -> bytes:
        """Wait for the next part of the body.

        :returns: bytes; none at the end of a complete body.
        :raises ServerBrokenError: if the server breaks off.
        """
        while not self._chunks:
            if self._is_complete:
                return _END
            self._check()
            await self._wait()
        chunk = self._chunks.popleft()
        self._buffered_bytes -= len(chunk)
        if self._buffered_bytes < BUFFER_BYTES and self.is_open():
            self._transport.resume_reading()
        return chunk

    def is_open(self) -> bool:
        """Return whether the connection is up.

        :returns: whether neither side has closed it.
        """
        return self._transport is not None and not (
            self._is_broken or self._transport.is_closing()
        )

    def is_reusable(self, now_s: float) -> bool:
        """Return whether another request may be sent.

        :param now_s: monotonic time in seconds.
        :returns: whether the last response ended clean and recently.
        """
        return (
            self.is_open()
            and self._is_complete
            and self._is_reusable
            and not self._chunks
            and now_s - self.idle_since_s < self._idle_limit_s
        )

    def close(self) -> None:
        """Close the connection at once, which cancels its request."""
        if self._transport is not None:
            self._transport.abort()
        self._is_reusable = False

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Take the transport."""
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Parse what the server sent."""
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._is_reusable = False
            if not self._is_complete:
                self._is_broken = True
            self._transport.abort()
        self._wake()

    def eof_received(self) -> bool:
        """End a response that has no length."""
        if self._is_unframed and self._is_ours and not self._is_complete:
            self._is_complete = True
        self._is_reusable = False
        self._wake()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Note that the server has closed the connection."""
        self._is_reusable = False
        self._is_broken = True
        self._wake()

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Begin a response."""
        self._headers = CIMultiDict()
        self._is_ours = False
        if self._is_complete:
            # Nothing was asked, so these bytes belong to no request.
            self._is_reusable = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header."""
        self._headers.add(name.decode('latin-1'), value.decode('latin-1'))

    def on_headers_complete(self) -> None:
        """Find out whose response it is."""
        status = self._parser.get_status_code()
        self._is_ours = self._is_expected(status)
        if not self._is_ours:
            return
        headers = self._headers
        self._is_unframed = (
            'Content-Length' not in headers
            and 'chunked' not in headers.get('Transfer-Encoding', '').lower()
            and status not in _BODILESS
        )
        if self._is_unframed or not self._parser.should_keep_alive():
            self._is_reusable = False
        self._idle_limit_s = _idle_limit(headers.get('Keep-Alive', ''))
        self._head = ResponseHead(status, headers)

    def on_body(self, body: bytes) -> None:
        """Keep a part of the body for the reader."""
        if not self._is_ours:
            return
        self._chunks.append(body)
        self._buffered_bytes += len(body)
        if self._buffered_bytes >= BUFFER_BYTES:
            self._transport.pause_reading()

    def on_message_complete(self) -> None:
        """End a response; responses of other requests are passed over."""
        if self._is_ours:
            self._is_complete = True
            self._is_ours = False

    def _is_expected(self, status: int) -> bool:
        if self._is_complete or self._head is not None or status < _OK_MIN:
            return False
        answered_id = self._headers.get(REQUEST_ID)
        if answered_id is None:
            # Without an id only a refusal can be taken for ours.
            return status >= 400
        return answered_id == self._request_id

    def _check(self) -> None:
        if self._is_broken:
            raise ServerBrokenError('connection broken before the end')

    async def _wait(self) -> None:
        self._waiter = asyncio.get_running_loop().create_future()
        await self._waiter

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)


async def open_connection(address: Address) -> ServerConnection:
    """Connect to a server.

    :param address: where it listens.
    :returns: an open connection.
    :raises ServerUnreachableError: if it does not accept; nothing was sent.
    """
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            transport, connection = await loop.create_connection(
                ServerConnection,
                address.host,
                address.port,
            )
    except (OSError, TimeoutError) as error:
        raise ServerUnreachableError(
            f'cannot connect to {address.host}:{address.port}',
        ) from error
    transport.get_extra_info('socket').setsockopt(
        socket.IPPROTO_TCP,
        socket.TCP_USER_TIMEOUT,
        UNACKNOWLEDGED_LIMIT_MS,
    )
    return connection


def _idle_limit(keep_alive: str) -> float:
    """Read how long the server keeps an idle connection.

    :param keep_alive: header such as ``timeout=5``.
    :returns: seconds for which the connection may be used again.
    """
    for part in keep_alive.split(','):
        name, _, text = part.strip().partition('=')
        if name.lower() == 'timeout' and text.isdigit():
            return max(int(text) - IDLE_MARGIN_S, 0)
    return IDLE_DEFAULT_S
