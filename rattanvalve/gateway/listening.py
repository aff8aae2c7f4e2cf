"""Listeners of a gateway."""

import asyncio
from collections.abc import Awaitable, Callable
from http import HTTPStatus

from aiohttp import web

from rattanvalve.channels import Address
from rattanvalve.counters import Metrics
from rattanvalve.http_errors import malformed_http_counter

__all__ = ('caller_server', 'listen', 'readiness_server')

#: Longer than any idle limit that the rules set for callers.
KEEPALIVE_TIMEOUT_S = 75.0
MAX_LINE_BYTES = 16_384
LISTEN_BACKLOG = 512

_Handle = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


def caller_server(handle: _Handle, metrics: Metrics) -> web.Server:
    """Make the server of the callers' connections.

    :param handle: answers one request; it is cancelled when the caller leaves.
    :param metrics: counts requests that cannot be read.
    :returns: the server, which makes a protocol for each connection.
    """
    return web.Server(
        handle,
        handler_cancellation=True,
        access_log_class=malformed_http_counter(metrics),
        keepalive_timeout=KEEPALIVE_TIMEOUT_S,
        max_line_size=MAX_LINE_BYTES,
        max_field_size=MAX_LINE_BYTES,
        auto_decompress=False,
    )


def readiness_server(is_ready: Callable[[], bool]) -> web.Server:
    """Make the server that tells the balancer of this process.

    :param is_ready: whether callers may be sent here.
    :returns: the server, which makes a protocol for each connection.
    """

    async def answer(request: web.BaseRequest) -> web.Response:
        if is_ready():
            return web.Response()
        return web.Response(status=HTTPStatus.SERVICE_UNAVAILABLE)

    return web.Server(answer, access_log=None)


async def listen(server: web.Server, address: Address) -> asyncio.Server:
    """Listen for connections.

    :param server: makes a protocol for each connection.
    :param address: where to listen.
    :returns: the listener.
    :raises OSError: if the address cannot be used.
    """
    return await asyncio.get_running_loop().create_server(
        server,
        address.host,
        address.port,
        backlog=LISTEN_BACKLOG,
    )
