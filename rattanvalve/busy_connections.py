"""Connections of HTTP listeners whose requests a stop must not interrupt."""

import asyncio
from collections.abc import Iterable, Iterator
from contextlib import contextmanager

from aiohttp import web

__all__ = ('BusyConnections',)

#: Turns of the event loop from a readable socket to the handler.
READ_TURNS = 4


class BusyConnections:
    """Connections whose request is being answered."""

    def __init__(self) -> None:
        self._transports: set[asyncio.BaseTransport] = set()

    def __len__(self) -> int:
        """Count the requests that are being answered.

        :returns: number of connections with a request.
        """
        return len(self._transports)

    @contextmanager
    def answering(self, transport: asyncio.BaseTransport) -> Iterator[None]:
        """Keep a connection open while its request is answered.

        :param transport: connection of the request.
        """
        self._transports.add(transport)
        try:
            yield
        finally:
            self._transports.discard(transport)

    @web.middleware
    async def middleware(self, request: web.Request, handler):
        """Answer a request of an application and keep its connection open.

        :param request: the request.
        :param handler: handler of the request.
        :returns: the response.
        """
        transport = request.transport
        if transport is None:
            return await handler(request)
        with self.answering(transport):
            return await handler(request)

    async def close_idle(self, servers: Iterable[web.Server]) -> None:
        """Close the connections without a request.

        ``pre_shutdown`` of aiohttp only stops reading from them, so that a
        request which comes in later would get no answer.

        :param servers: listeners' servers.
        """
        await _read_arrived()
        for server in servers:
            for connection in tuple(server.connections):
                if connection.transport not in self._transports:
                    connection.force_close()


async def _read_arrived() -> None:
    """Let requests reach their handlers that have arrived.

    After a delay of the process, timers go before sockets.
    """
    for _ in range(READ_TURNS):
        await asyncio.sleep(0)
