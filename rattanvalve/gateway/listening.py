"""HTTP servers, their guards and listening sockets of a gateway."""

import asyncio
import socket
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from http import HTTPStatus

from aiohttp import web

from rattanvalve.addresses import LISTEN_BACKLOG, Address
from rattanvalve.counters import Metrics
from rattanvalve.gateway.caller_connection import CallerServer
from rattanvalve.gateway.caller_limits import (
    derive_limits,
    head_bytes_max,
    usable_descriptors,
)
from rattanvalve.gateway.caller_memory import CallerMemory
from rattanvalve.gateway.caller_socket import open_listener
from rattanvalve.gateway.connection_guard import ConnectionGuard
from rattanvalve.http_errors import malformed_http_counter
from rattanvalve.sharedstate.shared_state import SharedState

__all__ = (
    'CallerGuards',
    'ListeningSocket',
    'caller_server',
    'create_guards',
    'listen',
    'readiness_server',
)

#: Longer than any idle timeout that the rules set for callers.
KEEPALIVE_TIMEOUT_S = 75.0
MAX_LINE_BYTES = 16_384
#: Largest number of fields of a head; the size limit alone would allow one for
#: each byte. aiohttp refuses more than 128 by default.
MAX_FIELDS = 4096
#: Bytes of a body that aiohttp reads ahead of the handler; twice as many pause
#: the connection. The default is 256 KiB for each connection.
READ_AHEAD_BYTES = 16 * 1024
#: Time in which the rest of a refused request is read and dropped, so that its
#: caller can read the refusal.
LINGER_S = 1.0

#: Options of both listeners.
_OPTIONS = {
    'keepalive_timeout': KEEPALIVE_TIMEOUT_S,
    'max_line_size': MAX_LINE_BYTES,
    'max_field_size': MAX_LINE_BYTES,
    'max_headers': MAX_FIELDS,
    'read_bufsize': READ_AHEAD_BYTES,
    'lingering_time': LINGER_S,
}

ListeningSocket = socket.socket
_Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


@dataclass(frozen=True, slots=True)
class CallerGuards:
    """Guards of the listeners for callers and for readiness probes.

    ``memory`` is their budget of bytes.
    """

    memory: CallerMemory
    callers: ConnectionGuard
    probes: ConnectionGuard


def create_guards(state: SharedState) -> CallerGuards:
    """Create the guards of a gateway; both share one budget of bytes.

    :param state: settings, rules and counters of the process.
    :returns: guards without connections.
    """
    node = state.node
    limits = derive_limits(
        node.memory_mb, usable_descriptors(node.descriptors_max)
    )
    memory = CallerMemory(limits.held_bytes_max, state.metrics)

    def create(connections_max: int) -> ConnectionGuard:
        return ConnectionGuard(
            connections_max,
            memory,
            state.metrics,
            lambda: state.rules.limits,
            lambda: head_bytes_max(state.rules.limits, MAX_LINE_BYTES),
        )

    return CallerGuards(
        memory=memory,
        callers=create(limits.connections_max),
        probes=create(limits.probes_max),
    )


def caller_server(
    handle: _Handler, metrics: Metrics, guard: ConnectionGuard
) -> web.Server:
    """Create the HTTP server for callers.

    :param handle: serves one request; cancelled when the caller disconnects.
    :param metrics: counts requests that the HTTP parser rejects.
    :param guard: bounds of the connections.
    :returns: the server, a factory of one protocol per connection.
    """
    return CallerServer(
        handle,
        guard,
        handler_cancellation=True,
        access_log_class=malformed_http_counter(metrics),
        auto_decompress=False,
        **_OPTIONS,
    )


def readiness_server(
    is_ready: Callable[[], bool], guard: ConnectionGuard
) -> web.Server:
    """Create the HTTP server for readiness probes of the load balancer.

    It answers any request with status 200 or 503.

    :param is_ready: returns whether this process accepts callers.
    :param guard: bounds of the connections.
    :returns: the server, a factory of one protocol per connection.
    """

    async def answer(request: web.BaseRequest) -> web.Response:
        if is_ready():
            return web.Response()
        return web.Response(status=HTTPStatus.SERVICE_UNAVAILABLE)

    return CallerServer(answer, guard, access_log=None, **_OPTIONS)


async def listen(
    server: web.Server,
    address: Address,
    listening: ListeningSocket | None = None,
) -> asyncio.Server:
    """Accept connections at an address.

    :param server: factory of one protocol per connection.
    :param address: local address to bind.
    :param listening: socket that already listens there, if any.
    :returns: the listener; the caller closes it, and with it the socket.
    :raises OSError: if the address cannot be bound.
    """
    return await asyncio.get_running_loop().create_server(
        server,
        sock=listening or open_listener(address),
        backlog=LISTEN_BACKLOG,
    )
