"""Server side of peer connections: dispatches messages to handlers."""

import asyncio
import secrets
from contextlib import suppress
from typing import Any

from rattanvalve import wire
from rattanvalve.addresses import LISTEN_BACKLOG
from rattanvalve.channels import READ_LIMIT_BYTES, Address, Channel, Handler
from rattanvalve.counters import Counter, Metrics
from rattanvalve.errors import FrameError, InvariantError, PeerError
from rattanvalve.logs import LogPart, part_logger
from rattanvalve.peersecrets import AcceptingSealer, PeerSecrets
from rattanvalve.workset import WorkSet

__all__ = ('PeerServer',)

HANDSHAKE_TIMEOUT_S = 10.0

_log = part_logger(LogPart.PEER)


class PeerServer:
    """Listens for peers and calls the handler of each message's class.

    A connection runs one handler at a time; if the peer closes the connection,
    the handler is cancelled.

    :param peer_secrets: shared secrets of the processes.
    :param handlers: handlers by message class; a message of another class
        closes the connection.
    :param metrics: counts rejected frames and violated invariants.
    """

    def __init__(
        self,
        peer_secrets: PeerSecrets | bytes,
        handlers: dict[type, Handler],
        metrics: Metrics,
    ) -> None:
        self._secrets = PeerSecrets.from_secret(peer_secrets)
        self._handlers = handlers
        self._metrics = metrics
        self._server: asyncio.Server | None = None
        self._writers = WorkSet()

    def add_handlers(self, handlers: dict[type, Handler]) -> None:
        """Add handlers of parts that are built later.

        :param handlers: handlers by message class.
        """
        self._handlers = self._handlers | handlers

    async def start(self, address: Address) -> Address:
        """Start listening for peers.

        :param address: address to bind; port 0 selects a free port.
        :returns: the bound address.
        :raises OSError: if the address cannot be bound.
        """
        self._server = await asyncio.start_server(
            self._serve_connection,
            address.host,
            address.port,
            limit=READ_LIMIT_BYTES,
            backlog=LISTEN_BACKLOG,
        )
        port = self._server.sockets[0].getsockname()[1]
        return Address(address.host, port)

    def stop_listening(self) -> None:
        """Accept no more connections; open ones are not affected."""
        if self._server is not None:
            self._server.close()

    async def wait_unused(self, timeout_s: float) -> bool:
        """Wait until peers have closed all connections.

        Messages that arrive until then are handled. One that crosses the
        close of its connection by this side is lost.

        :param timeout_s: longest wait in seconds.
        :returns: whether no connection is left.
        """
        return await self._writers.wait_empty(timeout_s)

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        self.stop_listening()
        for writer in self._writers:
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
        """Log and count why a connection is closed; others are unaffected."""
        if isinstance(error, FrameError):
            self._metrics.count(Counter.FRAME_REJECTED)
            _log.warning('closed connection: %s', error)
        elif isinstance(error, (PeerError, OSError)):
            _log.debug('connection closed by peer')
        elif isinstance(error, InvariantError):
            self._metrics.count(Counter.INVARIANT_VIOLATED)
            _log.error('invariant violated', exc_info=error)
        else:
            # The peer sees a closed connection only, like that of a process
            # that has ended.
            self._metrics.count(Counter.HANDLER_FAILED)
            _log.error('handler failed', exc_info=error)

    async def _serve_messages(self, channel: Channel) -> None:
        # A client that does not send an authentic frame is disconnected after
        # the handshake timeout; an authenticated peer may stay idle.
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
                raise PeerError('peer closed the connection during its request')
            work.result()
        finally:
            work.cancel()
            closed.cancel()
            with suppress(asyncio.CancelledError):
                await closed
