"""Tracks connections with a request, which a shutdown must not close."""

import asyncio
from collections.abc import Iterable, Iterator
from contextlib import contextmanager

from aiohttp import web

__all__ = ('BusyConnections',)

#: Event loop iterations from a readable socket to the call of the handler.
READ_ITERATIONS = 4


class BusyConnections:
    """Set of connections with a request in flight."""

    def __init__(self) -> None:
        self._transports: set[asyncio.BaseTransport] = set()

    def __len__(self) -> int:
        """Return the number of requests in flight.

        :returns: number of connections with a request.
        """
        return len(self._transports)

    @contextmanager
    def answering(self, transport: asyncio.BaseTransport) -> Iterator[None]:
        """Mark a connection as busy within the ``with`` block.

        :param transport: connection of the request.
        """
        self._transports.add(transport)
        try:
            yield
        finally:
            self._transports.discard(transport)

    @web.middleware
    async def middleware(self, request: web.Request, handler):
        """Mark the connection of a request as busy until its handler returns.

        :param request: request on the connection.
        :param handler: next handler of the application.
        :returns: response of the handler.
        """
        transport = request.transport
        if transport is None:
            return await handler(request)
        with self.answering(transport):
            return await handler(request)

    async def close_idle(self, servers: Iterable[web.Server]) -> None:
        """Close the connections without a request in flight.

        ``pre_shutdown`` of aiohttp only stops reading from them, so a request
        that arrives later would get no response.

        :param servers: servers of the listeners.
        """
        await _dispatch_arrived_requests()
        for server in servers:
            for connection in tuple(server.connections):
                if connection.transport not in self._transports:
                    connection.force_close()


async def _dispatch_arrived_requests() -> None:
    """Let requests that have already arrived reach their handlers.

    After a stall of the process, the event loop runs due timers before it
    reads from sockets.
    """
    for _ in range(READ_ITERATIONS):
        await asyncio.sleep(0)
