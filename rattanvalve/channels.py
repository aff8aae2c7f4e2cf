"""One authenticated connection between two processes."""

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass
from typing import Any

from rattanvalve import wire
from rattanvalve.errors import PeerError
from rattanvalve.peersecrets import AcceptingSealer

__all__ = ('READ_LIMIT_BYTES', 'Address', 'Channel', 'Handler', 'Send')

READ_LIMIT_BYTES = 256 * 1024


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
        if self._writer.is_closing():
            # The event loop raises RuntimeError for a write after the close.
            raise ConnectionResetError('connection closed')
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
        """Return whether the connection can be used again.

        :returns: whether neither side has closed it.
        """
        return not (self._writer.is_closing() or self._reader.at_eof())

    def close(self) -> None:
        """Close the connection at once."""
        self._writer.close()
