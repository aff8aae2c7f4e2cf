"""Connections between processes: pooled clients and a frame server.

A connection carries one request at a time. A call sends one message and reads
one; a stream reads messages until ``End`` or ``Refusal``. Closing a connection
cancels the request that runs on it.
"""

import asyncio
import secrets
from collections import defaultdict
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass
from typing import Any

from rattanvalve import wire
from rattanvalve.counters import Counter, Metrics
from rattanvalve.errors import (
    FrameError,
    InvariantError,
    NotSentError,
    PeerError,
)
from rattanvalve.logs import LogPart, part_logger
from rattanvalve.messages import End, Refusal
from rattanvalve.peersecrets import AcceptingSealer, PeerSecrets

__all__ = ('Address', 'Channel', 'Handler', 'PeerPool', 'PeerServer', 'Send')

CONNECT_TIMEOUT_S = 3.0
HANDSHAKE_TIMEOUT_S = 10.0
MAX_IDLE_PER_PEER = 32
_READ_LIMIT_BYTES = 256 * 1024

_log = part_logger(LogPart.PEER)


@dataclass(frozen=True, slots=True)
class Address:
    """Where a process listens for its peers."""

    host: str
    port: int


Send = Callable[[Any], Awaitable[None]]
#: A handler gets one message and sends any number of messages back.
Handler = Callable[[Any, Send], Awaitable[None]]


class Channel:
    """One authenticated connection.

    :param reader: stream to read frames from.
    :param writer: stream to write frames to.
    :param outgoing: authenticates our frames.
    :param incoming: checks the frames of the other side.
    :param secret: secret of our frames on the connecting side.
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        outgoing: wire.FrameSealer | AcceptingSealer,
        incoming: wire.FrameSealer | AcceptingSealer,
        secret: bytes = b'',
    ) -> None:
        self.secret = secret
        self._reader = reader
        self._writer = writer
        self._outgoing = outgoing
        self._incoming = incoming
        self._early = b''

    async def send(self, message: Any) -> None:
        """Send a message and wait while the send buffer is full.

        :param message: message to send.
        :raises OSError: if the connection is broken.
        """
        self._writer.write(self._outgoing.seal(message))
        await self._writer.drain()

    async def receive(self) -> Any:
        """Read the next message.

        :returns: the message.
        :raises FrameError: if the frame is malformed or not authentic.
        :raises PeerError: if the connection is closed.
        """
        try:
            header = self._early + await self._reader.readexactly(
                wire.HEADER_BYTES - len(self._early),
            )
            self._early = b''
            body = await self._reader.readexactly(wire.parse_length(header))
        except (OSError, asyncio.IncompleteReadError) as error:
            raise PeerError('connection closed by peer') from error
        return self._incoming.open(body)

    async def wait_closed_by_peer(self) -> None:
        """Wait until the other side closes the connection.

        A byte of the next request may arrive meanwhile. It is kept for
        :meth:`receive`, and the wait then lasts until it is cancelled.
        """
        with suppress(OSError):
            if not self._early:
                self._early = await self._reader.read(1)
            if self._early:
                await asyncio.get_running_loop().create_future()

    def is_open(self) -> bool:
        """Tell whether the connection can be used again.

        :returns: whether neither side has closed it.
        """
        return not (self._writer.is_closing() or self._reader.at_eof())

    def close(self) -> None:
        """Close the connection at once."""
        self._writer.close()


class PeerPool:
    """Client side: idle connections by address.

    :param peer_secrets: shared secrets of the processes.
    """

    def __init__(self, peer_secrets: PeerSecrets | bytes) -> None:
        self._secrets = PeerSecrets.of(peer_secrets)
        self._idle: dict[Address, list[Channel]] = defaultdict(list)

    async def call(
        self,
        address: Address,
        message: Any,
        timeout_s: float,
    ) -> Any:
        """Send a message and wait for one answer.

        :param address: peer to ask.
        :param message: request.
        :param timeout_s: seconds for the whole call.
        :returns: answer of the peer.
        :raises PeerError: if there is no answer; the request may have taken
            effect.
        """
        try:
            async with asyncio.timeout(timeout_s):
                return await self._call_once(address, message)
        except (TimeoutError, OSError, FrameError) as error:
            raise PeerError(
                f'no answer from {address.host}:{address.port}',
            ) from error

    @asynccontextmanager
    async def stream(
        self,
        address: Address,
        message: Any,
    ) -> AsyncIterator[AsyncIterator[Any]]:
        """Send a message and iterate over the messages that come back.

        The connection is closed when the block is left before the last
        message, which cancels the request at the peer.

        :param address: peer to ask.
        :param message: request.
        :returns: iterator that ends after ``End`` or ``Refusal``.
        :raises NotSentError: if the peer cannot be reached.
        :raises PeerError: if the peer breaks off.
        """
        name = f'{address.host}:{address.port}'
        try:
            channel = await self._open_channel(address)
        except (OSError, TimeoutError, PeerError) as error:
            raise NotSentError(f'cannot reach {name}') from error
        try:
            await _send(channel, message)
        except (OSError, TimeoutError, FrameError) as error:
            raise PeerError(f'cannot send to {name}') from error
        state = _StreamState()
        try:
            yield _read_stream(channel, state)
        finally:
            if state.is_complete:
                self._release(address, channel)
            else:
                channel.close()

    def close(self) -> None:
        """Close all idle connections."""
        for channels in self._idle.values():
            for channel in channels:
                channel.close()
        self._idle.clear()

    async def _call_once(self, address: Address, message: Any) -> Any:
        channel = await self._open_channel(address)
        await _send(channel, message)
        try:
            answer = await channel.receive()
        except BaseException:
            channel.close()
            raise
        self._release(address, channel)
        return answer

    async def _open_channel(self, address: Address) -> Channel:
        return self._take_idle(address) or await self._connect(address)

    def _take_idle(self, address: Address) -> Channel | None:
        idle = self._idle[address]
        while idle:
            channel = idle.pop()
            if self._is_usable(channel):
                return channel
            channel.close()
        return None

    def _release(self, address: Address, channel: Channel) -> None:
        idle = self._idle[address]
        if self._is_usable(channel) and len(idle) < MAX_IDLE_PER_PEER:
            idle.append(channel)
        else:
            channel.close()

    def _is_usable(self, channel: Channel) -> bool:
        return channel.is_open() and channel.secret == self._secrets.first

    async def _connect(self, address: Address) -> Channel:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(
                address.host,
                address.port,
                limit=_READ_LIMIT_BYTES,
            )
            try:
                nonce = await reader.readexactly(wire.NONCE_BYTES)
            except BaseException as error:
                writer.close()
                if isinstance(error, asyncio.IncompleteReadError):
                    raise PeerError('peer closed at handshake') from error
                raise
        secret = self._secrets.first
        return Channel(
            reader,
            writer,
            wire.FrameSealer(secret, nonce, b'c'),
            wire.FrameSealer(secret, nonce, b's'),
            secret,
        )


async def _send(channel: Channel, message: Any) -> None:
    try:
        await channel.send(message)
    except BaseException:
        channel.close()
        raise


@dataclass(slots=True)
class _StreamState:
    is_complete: bool = False


async def _read_stream(
    channel: Channel,
    state: _StreamState,
) -> AsyncIterator[Any]:
    while not state.is_complete:
        try:
            message = await channel.receive()
        except FrameError as error:
            raise PeerError('malformed frame in a stream') from error
        state.is_complete = isinstance(message, (End, Refusal))
        yield message


class PeerServer:
    """Server side: dispatches each message to the handler of its class.

    :param peer_secrets: shared secrets of the processes.
    :param handlers: handler of each message class.
    :param metrics: counters.
    """

    def __init__(
        self,
        peer_secrets: PeerSecrets | bytes,
        handlers: dict[type, Handler],
        metrics: Metrics,
    ) -> None:
        self._secrets = PeerSecrets.of(peer_secrets)
        self._handlers = handlers
        self._metrics = metrics
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, address: Address) -> Address:
        """Listen for peers.

        :param address: where to listen; port 0 takes a free port.
        :returns: the address in use.
        :raises OSError: if the address cannot be used.
        """
        self._server = await asyncio.start_server(
            self._serve_connection,
            address.host,
            address.port,
            limit=_READ_LIMIT_BYTES,
        )
        port = self._server.sockets[0].getsockname()[1]
        return Address(address.host, port)

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        for writer in tuple(self._writers):
            writer.close()

    async def _serve_connection(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self._writers.add(writer)
        nonce = secrets.token_bytes(wire.NONCE_BYTES)
        sealer = AcceptingSealer(self._secrets, nonce)
        channel = Channel(reader, writer, sealer, sealer)
        try:
            writer.write(nonce)
            await self._serve_messages(channel)
        except Exception as error:
            self._report_failure(error)
        finally:
            self._writers.discard(writer)
            writer.close()

    def _report_failure(self, error: Exception) -> None:
        """Count and log why a connection is closed; others go on."""
        if isinstance(error, FrameError):
            self._metrics.count(Counter.FRAME_REJECTED)
            _log.warning('closed connection: %s', error)
        elif isinstance(error, (PeerError, OSError)):
            _log.debug('connection closed by peer')
        elif isinstance(error, InvariantError):
            self._metrics.count(Counter.INVARIANT_VIOLATED)
            _log.error('invariant violated', exc_info=error)
        else:
            _log.error('handler failed', exc_info=error)

    async def _serve_messages(self, channel: Channel) -> None:
        # A stranger that connects and sends nothing is closed after the
        # handshake limit; an authenticated peer may stay idle.
        async with asyncio.timeout(HANDSHAKE_TIMEOUT_S) as deadline:
            message = await channel.receive()
            deadline.reschedule(None)
            while True:
                await self._handle(channel, message)
                message = await channel.receive()

    async def _handle(self, channel: Channel, message: Any) -> None:
        handler = self._handlers.get(type(message))
        if handler is None:
            raise FrameError(f'unexpected {type(message).__name__}')
        work = asyncio.ensure_future(handler(message, channel.send))
        closed = asyncio.ensure_future(channel.wait_closed_by_peer())
        try:
            await asyncio.wait(
                (work, closed),
                return_when=asyncio.FIRST_COMPLETED,
            )
            if not work.done():
                raise PeerError('peer closed during its request')
            work.result()
        finally:
            work.cancel()
            closed.cancel()
            with suppress(asyncio.CancelledError):
                await closed
