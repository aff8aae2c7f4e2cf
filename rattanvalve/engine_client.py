"""HTTP client for the requests and commands sent to a model engine."""

import asyncio
from functools import partial
from urllib.parse import quote

import aiohttp
from yarl import URL

from rattanvalve.cacheholds import cache_key_of
from rattanvalve.engine_usage import UsageReader, engine_body
from rattanvalve.errors import BodyError, FencedError
from rattanvalve.fencing import FencingGate
from rattanvalve.logs import LogPart, part_logger
from rattanvalve.messages import Head, Run, Usage
from rattanvalve.server_session import (
    EXCHANGE_ERRORS,
    Exchange,
    Sink,
    build_headers,
    exchange,
)

__all__ = ('EngineClient',)

#: Timeout of a command or a load report, in seconds.
COMMAND_TIMEOUT_S = 2
_FENCED_STATUS = 409
_FIRST_ERROR_STATUS = 400
_NOT_FOUND_STATUS = 404
_SUCCESS_STATUSES = range(200, 300)

_log = part_logger(LogPart.ENGINE)


class EngineClient:
    """Client of one model engine, which caches contexts and can pause runs.

    :param base_url: URL of the engine, without a path.
    :param session: session by :func:`rattanvalve.server_session.open_session`.
    :param checks_fencing: whether the engine itself refuses older tokens;
        otherwise this client refuses them.
    """

    keeps_cache = True
    can_pause = True

    def __init__(
        self,
        base_url: str,
        session: aiohttp.ClientSession,
        checks_fencing: bool,
    ) -> None:
        self.gate = FencingGate()
        self._base_url = base_url.rstrip('/')
        self._session = session
        self._checks_fencing = checks_fencing

    def observe_epoch(self, epoch: int) -> None:
        """Use the epoch as fencing token of later commands.

        A restarted process has no token before its first run, but its engine
        refuses tokens older than those of the previous process.

        :param epoch: epoch of a view; an older one is ignored.
        """
        self.gate.check(epoch)

    async def run(
        self,
        run: Run,
        sink: Sink,
        token: int,
    ) -> tuple[str, Usage]:
        """Run a chat completion, without retries.

        :param run: request with its ticket; cancelling the task closes the
            connection, which cancels the request at the engine.
        :param sink: receives the response.
        :param token: fencing token: the newest known epoch.
        :returns: outcome and usage.
        :raises BodyError: if the body is not a JSON object; not run.
        :raises FencedError: if the fencing token is outdated; not run.
        """
        body = engine_body(run)
        if body is None:
            raise BodyError('the body is not a JSON object')
        if self.gate.check(token) is not None and not self._checks_fencing:
            raise FencedError(run.ticket.number)
        reader = UsageReader(run.is_stream)
        request = Exchange(
            method=run.method,
            url=URL(f'{self._base_url}{run.path}', encoded=True),
            headers=build_headers(run, _engine_headers(run, token)),
            body=body,
        )
        observing_sink = Sink(
            start=partial(_start, self._checks_fencing, sink),
            append=partial(_append, reader, sink),
        )
        outcome = await exchange(self._session, request, observing_sink)
        return outcome, reader.usage()

    async def is_healthy(self) -> bool:
        """Check the health of the engine by its load report.

        :returns: whether ``GET /v1/load`` returns 200 within the timeout.
        """
        return await self._command('GET', '/v1/load') == 200

    async def release(self, cache_key: str) -> bool:
        """Release the cache of a program at the engine.

        :param cache_key: key by :func:`rattanvalve.cacheholds.cache_key_of`.
        :returns: whether the engine has released it or does not hold it.
        """
        path = f'/v1/cache/{quote(cache_key)}'
        return _is_released(await self._command('DELETE', path))

    async def release_all(self) -> bool:
        """Release every cache at the engine.

        :returns: whether the engine has released all caches.
        """
        return _is_released(await self._command('DELETE', '/v1/cache'))

    async def pause(self, number: str) -> bool | None:
        """Pause a running request.

        :param number: ticket number of the request.
        :returns: whether the engine has paused it; ``None`` if no response
            arrived, so that the request may be paused.
        """
        path = f'/v1/requests/{quote(number, safe="")}/pause'
        status = await self._command('POST', path)
        return status in _SUCCESS_STATUSES if status else None

    async def resume(self, number: str) -> bool:
        """Resume a paused request.

        :param number: ticket number of the request.
        :returns: whether the engine has confirmed the resumption.
        """
        path = f'/v1/requests/{quote(number, safe="")}/resume'
        return await self._command('POST', path) in _SUCCESS_STATUSES

    async def _command(self, method: str, path: str) -> int:
        """Send a command with the newest token; return 0 if no status came."""
        headers = {'X-Fencing-Token': str(self.gate.newest_token)}
        url = URL(f'{self._base_url}{path}', encoded=True)
        try:
            async with asyncio.timeout(COMMAND_TIMEOUT_S):
                return await self._request_status(method, url, headers)
        except EXCHANGE_ERRORS as error:
            _log.warning('%s %s failed: %r', method, path, error)
        return 0

    async def _request_status(
        self,
        method: str,
        url: URL,
        headers: dict[str, str],
    ) -> int:
        async with self._session.request(
            method,
            url,
            headers=headers,
        ) as response:
            return response.status


def _engine_headers(run: Run, token: int) -> dict[str, str]:
    ticket = run.ticket
    return {
        'Content-Type': 'application/json',
        'Accept-Encoding': 'identity',
        'X-Request-Id': ticket.number,
        'X-Priority': str(ticket.priority),
        'X-Fencing-Token': str(token),
        'X-Cache-Key': cache_key_of(ticket.workspace, ticket.program_id),
    }


async def _start(checks_fencing: bool, sink: Sink, head: Head) -> None:
    if checks_fencing and head.http_status == _FENCED_STATUS:
        raise FencedError('refused by the engine')
    await sink.start(head)


async def _append(reader: UsageReader, sink: Sink, content: bytes) -> None:
    reader.feed(content)
    await sink.append(content)


def _is_released(status: int) -> bool:
    # Status 404 means that the engine holds no such cache.
    return 0 < status < _FIRST_ERROR_STATUS or status == _NOT_FOUND_STATUS
