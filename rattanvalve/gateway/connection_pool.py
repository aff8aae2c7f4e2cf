"""Pool of idle connections to servers, by server identity."""

import asyncio
import time
from collections.abc import Hashable
from dataclasses import dataclass, field

from rattanvalve.counters import Counter, Metrics
from rattanvalve.gateway.read_turns import ReadTurns
from rattanvalve.gateway.server_connection import (
    ServerConnection,
    open_connection,
)
from rattanvalve.sharedstate.endpoints import EndpointEntry

__all__ = ('ConnectionPool',)

#: Interval at which expired idle connections are closed.
IDLE_CHECK_INTERVAL_S = 1.0
#: Time without a connection after which a server is dropped from the table. It
#: only distinguishes reasons of new connections.
UNUSED_SERVER_TTL_S = 60.0


@dataclass(slots=True)
class _ServerConnections:
    """Connections to one server; the most recently used one is last."""

    name: str
    idle: list[ServerConnection] = field(default_factory=list)
    used_count: int = 0
    last_used_s: float = float('-inf')

    def reason_to_open(self) -> Counter:
        """Return why a request needs a new connection."""
        if self.idle:
            # Each of them has refused a request with this id.
            return Counter.CONNECTION_OPENED_REFUSED
        if self.used_count:
            return Counter.CONNECTION_OPENED_BUSY
        return Counter.CONNECTION_OPENED_EXPIRED

    def is_forgettable(self, now_s: float) -> bool:
        """Return whether there has been no connection for a long time."""
        has_connections = bool(self.idle) or self.used_count > 0
        return not has_connections and (
            now_s - self.last_used_s > UNUSED_SERVER_TTL_S
        )


class ConnectionPool:
    """Reusable connections; the most recently used one is taken first.

    :param metrics: counters of this process.
    :param keeps_refused: whether an idle connection stays open when a request
        passes it over, because it refused that request before.
    """

    def __init__(
        self, metrics: Metrics | None = None, *, keeps_refused: bool = False
    ) -> None:
        self._metrics = metrics or Metrics()
        self._keeps_refused = keeps_refused
        self._servers: dict[Hashable, _ServerConnections] = {}
        self._turns = ReadTurns()

    async def acquire(
        self, endpoint: EndpointEntry, request_id: str
    ) -> ServerConnection:
        """Take an idle connection out of the pool or open a new one.

        :param endpoint: server to connect to.
        :param request_id: id of the request that will be sent.
        :returns: an open connection, which the caller must release.
        :raises ServerUnreachableError: if a new connection fails.
        """
        connection = self.take_idle(endpoint, request_id, time.monotonic())
        if connection is not None:
            return connection
        return await self._open(endpoint, self.reason_to_open(endpoint))

    def take_idle(
        self, endpoint: EndpointEntry, request_id: str, now_s: float
    ) -> ServerConnection | None:
        """Take an idle connection out of the pool.

        :param endpoint: server of the connection.
        :param request_id: id of the request that will be sent.
        :param now_s: monotonic time in seconds.
        :returns: an open connection, which the caller must release; ``None``
            if none can be reused.
        """
        server = self._servers.get(endpoint.identity)
        if server is None:
            return None
        passed_over = []
        taken = None
        while server.idle and taken is None:
            connection = server.idle.pop()
            is_reusable = connection.is_reusable(now_s)
            if is_reusable and not connection.has_refused(request_id):
                taken = connection
            elif is_reusable and self._keeps_refused:
                passed_over.append(connection)
            else:
                connection.close()
        server.idle.extend(reversed(passed_over))
        if taken is not None:
            self.record_use(endpoint, taken, Counter.CONNECTION_REUSED)
        return taken

    def reason_to_open(self, endpoint: EndpointEntry) -> Counter:
        """Return why a request needs a new connection.

        :param endpoint: server without a connection that the request can use.
        :returns: counter of the reason.
        """
        server = self._servers.get(endpoint.identity)
        if server is None:
            return Counter.CONNECTION_OPENED_FIRST
        return server.reason_to_open()

    def record_use(
        self,
        endpoint: EndpointEntry,
        connection: ServerConnection,
        origin: Counter,
    ) -> None:
        """Record that a request uses a connection.

        :param endpoint: server of the connection.
        :param connection: connection outside the pool.
        :param origin: counter of its reuse, or why it was opened.
        """
        connection.origin = origin
        self._metrics.count(origin)
        self._server(endpoint).used_count += 1

    async def open(self, endpoint: EndpointEntry) -> ServerConnection:
        """Open a new connection, without use of idle ones.

        :param endpoint: server to connect to.
        :returns: an open connection, which the caller must release.
        :raises ServerUnreachableError: if the connection fails.
        """
        return await self._open(endpoint, Counter.CONNECTION_OPENED_CHECK)

    def release(
        self,
        endpoint: EndpointEntry,
        connection: ServerConnection,
    ) -> None:
        """Return a connection to the pool, or close it if not reusable.

        :param endpoint: server of the connection.
        :param connection: connection without a request in flight.
        """
        self.put_back(endpoint, connection, time.monotonic())

    def put_back(
        self,
        endpoint: EndpointEntry,
        connection: ServerConnection,
        now_s: float,
    ) -> None:
        """Return a connection to the pool, or close it if not reusable.

        :param endpoint: server of the connection.
        :param connection: connection without a request in flight.
        :param now_s: monotonic time in seconds.
        """
        connection.idle_since_s = now_s
        server = self._server(endpoint)
        server.used_count = max(server.used_count - 1, 0)
        server.last_used_s = now_s
        if connection.is_reusable(now_s):
            server.idle.append(connection)
        else:
            connection.close()

    def connected_names(self, now_s: float) -> frozenset[str]:
        """List the servers to which a request needs no new connection.

        :param now_s: monotonic time in seconds.
        :returns: names of the servers with a reusable idle connection.
        """
        return frozenset(
            server.name
            for server in self._servers.values()
            if any(
                connection.is_reusable(now_s)
                for connection in reversed(server.idle)
            )
        )

    def used_counts(self) -> dict[str, int]:
        """Count the connections that requests use.

        :returns: number of connections by name of the server.
        """
        return {
            server.name: server.used_count
            for server in self._servers.values()
            if server.used_count
        }

    def forget(self, endpoint: EndpointEntry) -> None:
        """Close the idle connections to a server that no longer exists.

        :param endpoint: the server.
        """
        server = self._servers.pop(endpoint.identity, None)
        if server is not None:
            for connection in server.idle:
                connection.close()

    async def run(self) -> None:
        """Close expired idle connections periodically until cancelled."""
        while True:
            await asyncio.sleep(IDLE_CHECK_INTERVAL_S)
            self._close_expired(time.monotonic())

    def _close_expired(self, now_s: float) -> None:
        for identity, server in tuple(self._servers.items()):
            kept = []
            for connection in server.idle:
                if connection.is_reusable(now_s):
                    kept.append(connection)
                else:
                    connection.close()
            server.idle = kept
            if server.is_forgettable(now_s):
                self._servers.pop(identity)

    async def _open(
        self, endpoint: EndpointEntry, reason: Counter
    ) -> ServerConnection:
        connection = await open_connection(endpoint.address, self._turns)
        self.record_use(endpoint, connection, reason)
        return connection

    def _server(self, endpoint: EndpointEntry) -> _ServerConnections:
        return self._servers.setdefault(
            endpoint.identity, _ServerConnections(endpoint.name)
        )
