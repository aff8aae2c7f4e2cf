"""Authenticated connections between two processes."""

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import suppress
from typing import Any

from rattanvalve import wire
from rattanvalve.addresses import Address
from rattanvalve.errors import PeerError
from rattanvalve.peersecrets import AcceptingSealer

__all__ = ('READ_LIMIT_BYTES', 'Address', 'Channel', 'Handler', 'Send')

READ_LIMIT_BYTES = 256 * 1024


Send = Callable[[Any], Awaitable[None]]
#: A handler receives one message and may send any number of responses.
Handler = Callable[[Any, Send], Awaitable[None]]


class Channel:
    """Sends and receives messages over one connection.

    :param reader: stream to read frames from.
    :param writer: stream to write frames to.
    :param outgoing: seals the frames to send.
    :param incoming: verifies the received frames.
    :param secret: secret of the sent frames on the connecting side; empty on
        the accepting side.
    :param retire_count: how often connections to the peer had been retired
        when this one was opened; 0 on the accepting side.
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        outgoing: wire.FrameSealer | AcceptingSealer,
        incoming: wire.FrameSealer | AcceptingSealer,
        secret: bytes = b'',
        retire_count: int = 0,
    ) -> None:
        self.secret = secret
        self.retire_count = retire_count
        self._reader = reader
        self._writer = writer
        self._outgoing = outgoing
        self._incoming = incoming
        self._received_ahead = b''

    async def send(self, message: Any) -> None:
        """Send a message and wait while the send buffer is full.

        :param message: message to send.
        :raises OSError: if the connection is closed or lost.
        :raises FrameError: if the frame would be too large.
        """
        if self._writer.is_closing():
            # The event loop raises RuntimeError for a write after the close,
            # which callers do not handle as a lost connection.
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
            header = self._received_ahead + await self._reader.readexactly(
                wire.HEADER_BYTES - len(self._received_ahead),
            )
            self._received_ahead = b''
            body = await self._reader.readexactly(wire.parse_length(header))
        except (OSError, asyncio.IncompleteReadError) as error:
            raise PeerError('connection closed by peer') from error
        return self._incoming.open(body)

    async def wait_closed_by_peer(self) -> None:
        """Wait until the peer closes the connection.

        If a byte of the next request arrives first, it is buffered for
        :meth:`receive`, and the wait lasts until it is cancelled.
        """
        with suppress(OSError):
            if not self._received_ahead:
                self._received_ahead = await self._reader.read(1)
            if self._received_ahead:
                await asyncio.get_running_loop().create_future()

    def is_open(self) -> bool:
        """Check whether the connection can be reused.

        :returns: whether neither side has closed it.
        """
        return not (self._writer.is_closing() or self._reader.at_eof())

    def close(self) -> None:
        """Close the connection without waiting for the transport."""
        self._writer.close()
