"""HTTP session and exchanges with the server of an endpoint process."""

import re
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import aiohttp
from yarl import URL

from rattanvalve import outcomes
from rattanvalve.logs import LogPart, part_logger
from rattanvalve.messages import Head, Header, Run
from rattanvalve.platform.names import SERVER_LIMIT

__all__ = (
    'EXCHANGE_ERRORS',
    'LIMIT_HEADER',
    'Exchange',
    'Sink',
    'build_headers',
    'exchange',
    'is_valid_target',
    'open_session',
)

#: Response header with the requests per second that the server accepts, in
#: lower case.
LIMIT_HEADER = SERVER_LIMIT.lower()
CONNECT_TIMEOUT_S = 3
_READ_BUFFER_BYTES = 64 * 1024
#: The only request headers of a caller that are forwarded to a server.
_FORWARDED_REQUEST_HEADERS = frozenset(
    ('accept', 'accept-language', 'content-type'),
)
#: Hop-by-hop headers, and the length, which the ingress sets itself.
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

#: Visible ASCII without a fragment. A control character could inject a line
#: into the request.
_TARGET_PATTERN = re.compile('/[!-"$-~]*')
_PROGRAM_ID_PATTERN = re.compile('[!-~]*')
_HEADER_PATTERN = re.compile('[^\x00-\x1f\x7f]*')

_log = part_logger(LogPart.ENDPOINT)


class _BrokenExchangeError(Exception):
    """Broken connection; no ``ClientError``, so aiohttp does not retry."""


#: Exceptions of an exchange that was refused, broke or timed out.
EXCHANGE_ERRORS = (
    _BrokenExchangeError,
    aiohttp.ClientError,
    OSError,
    TimeoutError,
)


@dataclass(frozen=True, slots=True)
class Sink:
    """Receiver of a response.

    ``start`` gets status and headers once, ``append`` then each body part.
    """

    start: Callable[[Head], Awaitable[None]]
    append: Callable[[bytes], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class Exchange:
    """HTTP request to the server; an empty body is not sent."""

    method: str
    url: URL
    headers: dict[str, str]
    body: bytes


async def _forbid_retry(request, handler):
    # aiohttp retries idempotent methods after a broken connection, but a PUT or
    # DELETE of a caller may be non-repeatable.
    try:
        return await handler(request)
    except aiohttp.ClientConnectorError:
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise _BrokenExchangeError(str(error)) from error


def open_session(capacity_count: int) -> aiohttp.ClientSession:
    """Open the HTTP session of an endpoint process.

    Cookies are not stored, as they would leak from one workspace to another.

    :param capacity_count: concurrent runs; 4 connections are added for health
        checks and cache releases.
    :returns: session; the caller closes it.
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


def build_headers(run: Run, process_headers: dict[str, str]) -> dict[str, str]:
    """Build the headers of a request to the server.

    :param run: request of a caller; only headers of an allow-list are
        forwarded.
    :param process_headers: headers of this process, which take precedence.
    :returns: headers to send.
    """
    forwarded = {
        header.name.title(): header.content
        for header in run.headers
        if header.name.lower() in _FORWARDED_REQUEST_HEADERS
    }
    return forwarded | process_headers


def is_valid_target(run: Run) -> bool:
    """Check that method, path, ids and headers cannot inject request lines.

    :param run: request of a caller.
    :returns: whether the request may be sent to a server.
    """
    checks = (
        run.method.isascii() and run.method.isalpha(),
        _TARGET_PATTERN.fullmatch(run.path),
        # The cache key contains the program id and is sent as a header.
        _PROGRAM_ID_PATTERN.fullmatch(run.ticket.program_id),
        all(
            _HEADER_PATTERN.fullmatch(header.content) for header in run.headers
        ),
    )
    return all(checks)


async def exchange(
    session: aiohttp.ClientSession,
    request: Exchange,
    sink: Sink,
) -> str:
    """Send a request without retries and forward its response.

    :param session: session by :func:`open_session`.
    :param request: request to send.
    :param sink: receives status, headers and body as they arrive.
    :returns: ``answered``; ``not_run`` if no connection was made; ``unknown``
        if the exchange broke after the server may have read the request.
    """
    try:
        return await _exchange(session, request, sink)
    except aiohttp.ClientConnectorError as refused:
        _log.warning('connection to the server failed: %s', refused)
        return outcomes.NOT_RUN
    except EXCHANGE_ERRORS as error:
        _log.warning('exchange with the server failed: %r', error)
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
