"""TCP proxy between two processes that cuts, stalls or delays connections."""

import asyncio
from contextlib import suppress
from dataclasses import dataclass, field

from rattanvalve.fleet_settings import Address

__all__ = ('BOTH_WAYS', 'TO_CALLER', 'TO_TARGET', 'FaultProxy')

#: Directions of the bytes of a connection: towards the process that accepts
#: it, and towards the process that opened it.
TO_TARGET = 'to_target'
TO_CALLER = 'to_caller'
BOTH_WAYS = frozenset((TO_TARGET, TO_CALLER))

_CHUNK_BYTES = 65_536


@dataclass(slots=True, eq=False)
class _Connection:
    """A proxied connection: both sockets and the tasks that copy bytes."""

    writers: tuple[asyncio.StreamWriter, ...]
    pumps: tuple[asyncio.Task, ...] = ()

    def abort(self) -> None:
        """Reset both sockets and discard bytes not yet forwarded."""
        for writer in self.writers:
            writer.transport.abort()
        for pump in self.pumps:
            pump.cancel()


@dataclass(slots=True)
class FaultProxy:
    """TCP proxy with injectable faults.

    ``listen`` is the address of the proxy, ``target`` that of the process to
    which it forwards connections. A fault applies immediately to open
    connections, and to new ones until :meth:`heal` is called.
    """

    listen: Address
    target: Address
    _is_cut: bool = False
    _delay_s: float = 0
    _resume_events: dict[str, asyncio.Event] = field(default_factory=dict)
    _open: set[_Connection] = field(default_factory=set)
    _server: asyncio.Server | None = None

    async def start(self) -> None:
        """Start to accept connections, without a fault.

        :raises OSError: if the address is in use.
        """
        for direction in BOTH_WAYS:
            self._resume_events[direction] = asyncio.Event()
        self.heal()
        self._server = await asyncio.start_server(
            self._serve,
            self.listen.host,
            self.listen.port,
        )

    def stop(self) -> None:
        """Stop accepting connections and reset the open ones."""
        if self._server:
            self._server.close()
        self._abort_all()

    def cut(self) -> None:
        """Reset all open connections, and each new one when it is accepted."""
        self._is_cut = True
        self._abort_all()

    def stall(self, directions: frozenset[str] = BOTH_WAYS) -> None:
        """Stop forwarding bytes while connections stay open.

        :param directions: directions in which no bytes are forwarded.
        """
        for direction in directions:
            self._resume_events[direction].clear()

    def delay(self, delay_s: float) -> None:
        """Delay each chunk of bytes in both directions.

        :param delay_s: delay in seconds, which also lowers the throughput:
            the next chunk is read after the delay.
        """
        self._delay_s = delay_s

    def heal(self) -> None:
        """End all faults and forward the bytes that a stall held back."""
        self._is_cut = False
        self._delay_s = 0
        for event in self._resume_events.values():
            event.set()

    def _abort_all(self) -> None:
        for connection in tuple(self._open):
            connection.abort()

    async def _serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        if self._is_cut:
            writer.transport.abort()
            return
        try:
            target_reader, target_writer = await asyncio.open_connection(
                self.target.host,
                self.target.port,
            )
        except OSError:
            writer.transport.abort()
            return
        connection = _Connection((writer, target_writer))
        connection.pumps = (
            asyncio.ensure_future(self._pump(reader, target_writer, TO_TARGET)),
            asyncio.ensure_future(self._pump(target_reader, writer, TO_CALLER)),
        )
        self._open.add(connection)
        # cut() may have been called while the connection was being opened.
        if self._is_cut:
            connection.abort()
        await asyncio.wait(connection.pumps)
        self._open.discard(connection)

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        direction: str,
    ) -> None:
        chunk = b'-'
        try:
            while chunk:
                chunk = await reader.read(_CHUNK_BYTES)
                if self._delay_s:
                    await asyncio.sleep(self._delay_s)
                await self._resume_events[direction].wait()
                if writer.is_closing():
                    break
                writer.write(chunk)
                await writer.drain()
        except OSError:
            writer.transport.abort()
        with suppress(OSError):
            writer.close()
