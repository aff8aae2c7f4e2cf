"""HTTP exchange with the server beside an endpoint process."""

import re
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import aiohttp
from yarl import URL

from rattanvalve import outcomes
from rattanvalve.logs import LogPart, part_logger
from rattanvalve.messages import Head, Header, Run

__all__ = (
    'EXCHANGE_ERRORS',
    'Exchange',
    'Sink',
    'build_headers',
    'exchange',
    'is_valid_target',
    'open_session',
)

CONNECT_TIMEOUT_S = 3
_READ_BUFFER_BYTES = 64 * 1024
#: The only headers of a caller that a server sees.
_PASSED_REQUEST_HEADERS = frozenset(
    ('accept', 'accept-language', 'content-type'),
)
#: Headers of one connection, and the length, which the ingress sets anew.
_DROPPED_RESPONSE_HEADERS = frozenset(
    (
        'connection',
        'content-length',
        'keep-alive',
        'proxy-authenticate',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    ),
)

#: Visible ASCII without a fragment; a control character would start a new
#: line of the request.
_TARGET = re.compile('/[!-"$-~]*')
_ID = re.compile('[!-~]*')
_TEXT = re.compile('[^\x00-\x1f\x7f]*')

_log = part_logger(LogPart.ENDPOINT)


class _BrokenExchangeError(Exception):
    """The connection broke; not a client error, so aiohttp does not retry."""


#: What a broken or refused exchange raises.
EXCHANGE_ERRORS = (
    _BrokenExchangeError,
    aiohttp.ClientError,
    OSError,
    TimeoutError,
)


@dataclass(frozen=True, slots=True)
class Sink:
    """Where the parts of a response go."""

    start: Callable[[Head], Awaitable[None]]
    append: Callable[[bytes], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class Exchange:
    """A request to the server."""

    method: str
    url: URL
    headers: dict[str, str]
    body: bytes


async def _forbid_retry(request, handler):
    # aiohttp repeats idempotent methods after a broken connection. A PUT or
    # DELETE of a caller may be non-repeatable all the same.
    try:
        return await handler(request)
    except aiohttp.ClientConnectorError:
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise _BrokenExchangeError(str(error)) from error


def open_session(capacity_count: int) -> aiohttp.ClientSession:
    """Open the HTTP session of an endpoint process.

    Cookies are not kept, as they would pass from one workspace to another.

    :param capacity_count: runs at once; a few connections are added for
        health checks and cache releases.
    :returns: session; close it at the end.
    """
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=capacity_count + 4),
        cookie_jar=aiohttp.DummyCookieJar(),
        timeout=aiohttp.ClientTimeout(
            total=None,
            sock_connect=CONNECT_TIMEOUT_S,
        ),
        skip_auto_headers=('User-Agent', 'Accept-Encoding'),
        auto_decompress=False,
        read_bufsize=_READ_BUFFER_BYTES,
        middlewares=(_forbid_retry,),
    )


def build_headers(run: Run, own: dict[str, str]) -> dict[str, str]:
    """Build the headers of a request anew.

    :param run: request of a caller; only a few of its headers are passed.
    :param own: headers of this process, which win.
    :returns: headers to send.
    """
    passed = {
        header.name.title(): header.content
        for header in run.headers
        if header.name.lower() in _PASSED_REQUEST_HEADERS
    }
    return passed | own


def is_valid_target(run: Run) -> bool:
    """Check that method, path and headers form one request line each.

    :param run: request of a caller.
    :returns: whether the request may be sent to a server.
    """
    checks = (
        run.method.isascii() and run.method.isalpha(),
        _TARGET.fullmatch(run.path),
        # The program id is part of the cache key, which is sent as a header.
        _ID.fullmatch(run.ticket.program_id),
        all(_TEXT.fullmatch(header.content) for header in run.headers),
    )
    return all(checks)


async def exchange(
    session: aiohttp.ClientSession,
    request: Exchange,
    sink: Sink,
) -> str:
    """Send a request once and pass its response on.

    :param session: session by :func:`open_session`.
    :param request: what to send.
    :param sink: receives status, headers and body as they arrive.
    :returns: ``answered``; ``not_run`` if no connection was made; ``unknown``
        if the connection broke after the request may have been seen.
    """
    try:
        return await _exchange(session, request, sink)
    except aiohttp.ClientConnectorError as refused:
        _log.warning('server not reachable: %s', refused)
        return outcomes.NOT_RUN
    except EXCHANGE_ERRORS as error:
        _log.warning('connection to the server broke: %r', error)
        return outcomes.UNKNOWN


async def _exchange(
    session: aiohttp.ClientSession,
    request: Exchange,
    sink: Sink,
) -> str:
    async with session.request(
        request.method,
        request.url,
        headers=request.headers,
        data=request.body or None,
        allow_redirects=False,
    ) as response:
        headers = tuple(
            Header(name=name, content=content)
            for name, content in response.headers.items()
            if name.lower() not in _DROPPED_RESPONSE_HEADERS
        )
        await sink.start(Head(http_status=response.status, headers=headers))
        async for content in response.content.iter_any():
            await sink.append(content)
    return outcomes.ANSWERED
