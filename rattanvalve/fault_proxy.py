"""TCP proxy between two processes that cuts, stalls or delays connections."""

import asyncio
from contextlib import suppress
from dataclasses import dataclass, field

from rattanvalve.fleet_settings import Address

__all__ = ('BOTH_WAYS', 'TO_CALLER', 'TO_TARGET', 'FaultProxy')

#: Directions of bytes, seen from the process that opened the connection.
TO_TARGET = 'to_target'
TO_CALLER = 'to_caller'
BOTH_WAYS = frozenset((TO_TARGET, TO_CALLER))

_CHUNK_BYTES = 65_536


@dataclass(slots=True, eq=False)
class _Connection:
    """Both sides of a connection that passes through the proxy."""

    writers: tuple[asyncio.StreamWriter, ...]
    pumps: tuple[asyncio.Task, ...] = ()

    def abort(self) -> None:
        """Reset both sides; bytes that are still held are dropped."""
        for writer in self.writers:
            writer.transport.abort()
        for pump in self.pumps:
            pump.cancel()


@dataclass(slots=True)
class FaultProxy:
    """Passes connections on, with the fault that is in force.

    ``listen`` is where callers connect, ``target`` where the process listens.
    A fault applies to open connections at once, and to new ones.
    """

    listen: Address
    target: Address
    _is_cut: bool = False
    _delay_s: float = 0
    _flowing: dict[str, asyncio.Event] = field(default_factory=dict)
    _open: set[_Connection] = field(default_factory=set)
    _server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen.

        :raises OSError: if the address is in use.
        """
        for direction in BOTH_WAYS:
            self._flowing[direction] = asyncio.Event()
        self.heal()
        self._server = await asyncio.start_server(
            self._serve,
            self.listen.host,
            self.listen.port,
        )

    def stop(self) -> None:
        """Stop listening and reset all connections."""
        if self._server:
            self._server.close()
        self._abort_all()

    def cut(self) -> None:
        """Reset all connections, and each new one at once."""
        self._is_cut = True
        self._abort_all()

    def stall(self, directions: frozenset[str] = BOTH_WAYS) -> None:
        """Hold bytes back without closing a connection.

        :param directions: directions in which nothing passes.
        """
        for direction in directions:
            self._flowing[direction].clear()

    def delay(self, delay_s: float) -> None:
        """Deliver each chunk of bytes later.

        :param delay_s: seconds for each chunk and direction.
        """
        self._delay_s = delay_s

    def heal(self) -> None:
        """End all faults; bytes that were held pass on."""
        self._is_cut = False
        self._delay_s = 0
        for event in self._flowing.values():
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
            far_reader, far_writer = await asyncio.open_connection(
                self.target.host,
                self.target.port,
            )
        except OSError:
            writer.transport.abort()
            return
        connection = _Connection((writer, far_writer))
        connection.pumps = (
            asyncio.ensure_future(self._pump(reader, far_writer, TO_TARGET)),
            asyncio.ensure_future(self._pump(far_reader, writer, TO_CALLER)),
        )
        self._open.add(connection)
        # A cut may have begun while the connection was being opened.
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
                await self._flowing[direction].wait()
                if writer.is_closing():
                    break
                writer.write(chunk)
                await writer.drain()
        except OSError:
            writer.transport.abort()
        with suppress(OSError):
            writer.close()
