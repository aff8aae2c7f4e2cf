"""Pool of idle connections to servers, by server identity."""

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

#: Interval at which expired idle connections are closed.
IDLE_CHECK_INTERVAL_S = 1.0


class ConnectionPool:
    """Reusable connections; the most recently used one is taken first."""

    def __init__(self) -> None:
        self._idle: dict[Hashable, list[ServerConnection]] = defaultdict(list)

    async def acquire(
        self, endpoint: EndpointEntry, request_id: str
    ) -> ServerConnection:
        """Take an idle connection out of the pool or open a new one.

        :param endpoint: server to connect to.
        :param request_id: id of the request that will be sent.
        :returns: an open connection, which the caller must release.
        :raises ServerUnreachableError: if a new connection fails.
        """
        idle = self._idle[endpoint.identity]
        now_s = time.monotonic()
        while idle:
            connection = idle.pop()
            is_reusable = connection.is_reusable(now_s)
            if is_reusable and not connection.has_refused(request_id):
                return connection
            connection.close()
        return await self.open(endpoint)

    async def open(self, endpoint: EndpointEntry) -> ServerConnection:
        """Open a new connection, without use of idle ones.

        :param endpoint: server to connect to.
        :returns: an open connection, which the caller must release.
        :raises ServerUnreachableError: if the connection fails.
        """
        return await open_connection(endpoint.address)

    def release(
        self,
        endpoint: EndpointEntry,
        connection: ServerConnection,
    ) -> None:
        """Return a connection to the pool, or close it if not reusable.

        :param endpoint: server of the connection.
        :param connection: connection without a request in flight.
        """
        now_s = time.monotonic()
        connection.idle_since_s = now_s
        if connection.is_reusable(now_s):
            self._idle[endpoint.identity].append(connection)
        else:
            connection.close()

    def forget(self, endpoint: EndpointEntry) -> None:
        """Close the idle connections to a server that no longer exists.

        :param endpoint: the server.
        """
        for connection in self._idle.pop(endpoint.identity, ()):
            connection.close()

    async def run(self) -> None:
        """Close expired idle connections periodically until cancelled."""
        while True:
            await asyncio.sleep(IDLE_CHECK_INTERVAL_S)
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
