"""Connection pool for calls and streams to peers.

A connection carries one request at a time. A call sends one message and reads
one; a stream reads messages until ``End`` or ``Refusal``. Closing a connection
cancels the request in flight on it.
"""

import asyncio
from collections import Counter, defaultdict
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import Any

from rattanvalve import wire
from rattanvalve.channels import READ_LIMIT_BYTES, Address, Channel
from rattanvalve.errors import (
    FrameError,
    NotSentError,
    PeerError,
)
from rattanvalve.messages import End, Refusal
from rattanvalve.peersecrets import PeerSecrets

__all__ = ('Address', 'PeerPool')

CONNECT_TIMEOUT_S = 3.0
MAX_IDLE_PER_PEER = 32


class PeerPool:
    """Client side of peer connections; reuses idle ones.

    :param peer_secrets: shared secrets; a change replaces idle connections
        that were authenticated with another secret.
    """

    def __init__(self, peer_secrets: PeerSecrets | bytes) -> None:
        self._secrets = PeerSecrets.from_secret(peer_secrets)
        self._idle: dict[Address, list[Channel]] = defaultdict(list)
        self._retire_counts: Counter[Address] = Counter()

    async def call(
        self,
        address: Address,
        message: Any,
        timeout_s: float,
    ) -> Any:
        """Send a message and wait for one response.

        :param address: address of the peer.
        :param message: request.
        :param timeout_s: timeout in seconds, including the connect.
        :returns: response of the peer.
        :raises PeerError: if there is no response; the request may have taken
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
        """Send a message and iterate over the response messages.

        Leaving the block before the last message closes the connection, which
        cancels the request at the peer.

        :param address: address of the peer.
        :param message: request.
        :returns: iterator that ends after ``End`` or ``Refusal``.
        :raises NotSentError: if the peer cannot be reached.
        :raises PeerError: if the peer closes the connection or sends a
            malformed frame.
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

    def retire(self, address: Address) -> None:
        """Close the idle connections to a process that is about to end.

        Those in use are closed at the end of their request. A message on an
        idle connection that the peer has closed meanwhile would be lost, and
        the sender could not tell whether it was handled.

        :param address: address of the peer; connections opened from now on
            are reused again.
        """
        self._retire_counts[address] += 1
        for channel in self._idle.pop(address, ()):
            channel.close()

    def close(self) -> None:
        """Close all idle connections; those in use are not affected."""
        for channels in self._idle.values():
            for channel in channels:
                channel.close()
        self._idle.clear()

    async def _call_once(self, address: Address, message: Any) -> Any:
        channel = await self._open_channel(address)
        await _send(channel, message)
        try:
            response = await channel.receive()
        except BaseException:
            channel.close()
            raise
        self._release(address, channel)
        return response

    async def _open_channel(self, address: Address) -> Channel:
        return self._take_idle(address) or await self._connect(address)

    def _take_idle(self, address: Address) -> Channel | None:
        idle = self._idle[address]
        while idle:
            channel = idle.pop()
            if self._is_usable(address, channel):
                return channel
            channel.close()
        return None

    def _release(self, address: Address, channel: Channel) -> None:
        idle = self._idle[address]
        is_full = len(idle) >= MAX_IDLE_PER_PEER
        if self._is_usable(address, channel) and not is_full:
            idle.append(channel)
        else:
            channel.close()

    def _is_usable(self, address: Address, channel: Channel) -> bool:
        return (
            channel.is_open()
            and channel.secret == self._secrets.first
            and channel.retire_count == self._retire_counts[address]
        )

    async def _connect(self, address: Address) -> Channel:
        retire_count = self._retire_counts[address]
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(
                address.host,
                address.port,
                limit=READ_LIMIT_BYTES,
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
            retire_count,
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
