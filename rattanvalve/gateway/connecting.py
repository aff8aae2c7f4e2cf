"""Connects to the endpoint that was chosen for a request."""

import time

from rattanvalve.clocks import boot_time_s
from rattanvalve.counters import Counter
from rattanvalve.errors import ServerRefusedError, ServerUnreachableError
from rattanvalve.gateway.attempt_errors import (
    AttemptFailedError,
    GrantExpiredError,
)
from rattanvalve.gateway.attempt_health import avoid
from rattanvalve.gateway.calls import Call
from rattanvalve.gateway.endpoint_choice import ChosenEndpoint
from rattanvalve.gateway.endpoint_tables import EndpointTables
from rattanvalve.gateway.server_connection import ServerConnection
from rattanvalve.sharedstate.endpoints import EndpointEntry

__all__ = ('Connector',)

#: Seconds for which placement avoids an endpoint after a failed connect.
UNREACHABLE_AVOID_S = 1.0


class Connector:
    """Acquires connections and records endpoints that cannot be reached.

    :param tables: loads and connections of the endpoints.
    """

    def __init__(self, tables: EndpointTables) -> None:
        self._loads = tables.loads
        self._pool = tables.pool
        self._metrics = tables.metrics

    async def connect(
        self, call: Call, chosen: ChosenEndpoint
    ) -> ServerConnection:
        """Acquire a connection and check that all grants are still valid.

        :param call: the request.
        :param chosen: endpoint that receives the request.
        :returns: an open connection, which the caller must release.
        :raises AttemptFailedError: if there is no connection, or if the token
            for the endpoint expired.
        :raises GrantExpiredError: if the rate grant of the request expired.
        """
        endpoint = chosen.endpoint
        connection = await self._acquire(call, endpoint)
        try:
            _check_grants(call, chosen)
        except (GrantExpiredError, AttemptFailedError):
            self._pool.release(endpoint, connection)
            raise
        return connection

    async def _acquire(
        self, call: Call, endpoint: EndpointEntry
    ) -> ServerConnection:
        """Acquire a connection; try twice if the endpoint is only busy."""
        connection = await self._try(call, endpoint)
        connection = connection or await self._try(call, endpoint)
        if connection is None:
            raise AttemptFailedError('not accepted', may_have_run=False)
        return connection

    async def _try(
        self, call: Call, endpoint: EndpointEntry
    ) -> ServerConnection | None:
        """Take an idle connection or open one.

        The kernel of an endpoint drops connections that do not fit into the
        queue of its listener. An endpoint that answers other requests
        meanwhile is not unreachable, and other requests must not avoid it.

        :returns: ``None`` if the endpoint accepts no more connections.
        """
        started_s = time.monotonic()
        load = self._loads.get(endpoint)
        try:
            return await self._pool.acquire(endpoint, call.request_id)
        except ServerUnreachableError as error:
            is_refused = isinstance(error, ServerRefusedError)
            if is_refused or not load.health.has_answered_since(started_s):
                load.health.record_failure(time.monotonic())
                avoid(endpoint, load, UNREACHABLE_AVOID_S)
                raise AttemptFailedError(
                    'unreachable', may_have_run=False
                ) from error
            self._metrics.count(Counter.CONNECTION_NOT_ACCEPTED)
            return None


def _check_grants(call: Call, chosen: ChosenEndpoint) -> None:
    now_s = boot_time_s()
    if now_s > call.grant_expires_s:
        raise GrantExpiredError
    if now_s > chosen.grant_expires_s:
        raise AttemptFailedError('token expired', may_have_run=False)
