"""Idle connections to servers, by the identity of the server."""

import asyncio
import time
from collections import defaultdict
from collections.abc import Hashable

from rattanvalve.gateway.server_connection import (
    ServerConnection,
    open_connection,
)
from rattanvalve.sharedstate.endpoints import EndpointEntry

__all__ = ('ConnectionPool',)

CLOSE_INTERVAL_S = 1.0


class ConnectionPool:
    """Connections that wait for their next request; the newest goes first."""

    def __init__(self) -> None:
        self._idle: dict[Hashable, list[ServerConnection]] = defaultdict(list)

    async def take(self, endpoint: EndpointEntry) -> ServerConnection:
        """Take an idle connection or open one.

        :param endpoint: server to talk to.
        :returns: an open connection.
        :raises ServerUnreachableError: if the server does not accept.
        """
        idle = self._idle[endpoint.identity]
        now_s = time.monotonic()
        while idle:
            connection = idle.pop()
            if connection.is_reusable(now_s):
                return connection
            connection.close()
        return await self.open(endpoint)

    async def open(self, endpoint: EndpointEntry) -> ServerConnection:
        """Open a connection.

        :param endpoint: server to talk to.
        :returns: an open connection.
        :raises ServerUnreachableError: if the server does not accept.
        """
        return await open_connection(endpoint.address)

    def give_back(
        self,
        endpoint: EndpointEntry,
        connection: ServerConnection,
    ) -> None:
        """Keep a connection if it can be used again, else close it.

        :param endpoint: server at its other end.
        :param connection: connection without a request.
        """
        now_s = time.monotonic()
        connection.idle_since_s = now_s
        if connection.is_reusable(now_s):
            self._idle[endpoint.identity].append(connection)
        else:
            connection.close()

    def forget(self, endpoint: EndpointEntry) -> None:
        """Close the idle connections to a server that is gone.

        :param endpoint: the server.
        """
        for connection in self._idle.pop(endpoint.identity, ()):
            connection.close()

    async def run(self) -> None:
        """Close connections whose idle time has passed, until cancelled."""
        while True:
            await asyncio.sleep(CLOSE_INTERVAL_S)
            now_s = time.monotonic()
            for identity, idle in tuple(self._idle.items()):
                kept = []
                for connection in idle:
                    if connection.is_reusable(now_s):
                        kept.append(connection)
                    else:
                        connection.close()
                self._idle[identity] = kept
                if not kept:
                    self._idle.pop(identity)
