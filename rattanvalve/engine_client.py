"""Requests and commands of an endpoint process to a model engine."""

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

#: Time for a command or a load report, in seconds.
COMMAND_TIMEOUT_S = 2
_FENCED_STATUS = 409
_HTTP_ERROR_FROM = 400
_NOT_FOUND = 404
_SUCCESSES = range(200, 300)

_log = part_logger(LogPart.ENGINE)


class EngineClient:
    """Client of one model engine.

    :param base_url: URL of the engine, without a path.
    :param session: session by :func:`rattanvalve.server_session.open_session`.
    :param checks_fencing: whether the engine itself refuses older tokens;
        otherwise this client checks them.
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
        """Send later commands under a newer token.

        A restarted process has run nothing yet, but its engine refuses
        commands with a token older than those of the earlier process.

        :param epoch: epoch of a view; an older one is ignored.
        """
        self.gate.check(epoch)

    async def run(
        self,
        run: Run,
        sink: Sink,
        token: int,
    ) -> tuple[str, Usage]:
        """Run a chat completion, once.

        :param run: request with its ticket; closing the task cancels the
            request at the engine.
        :param sink: receives the response.
        :param token: fencing token, the newest epoch known.
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
        observed = Sink(
            start=partial(_start, self._checks_fencing, sink),
            append=partial(_append, reader, sink),
        )
        outcome = await exchange(self._session, request, observed)
        return outcome, reader.usage()

    async def is_healthy(self) -> bool:
        """Ask the engine for its load.

        :returns: whether ``GET /v1/load`` gives status 200 in time.
        """
        return await self._command('GET', '/v1/load') == 200

    async def release(self, cache_key: str) -> bool:
        """Make the engine release the cache of a program.

        :param cache_key: key by :func:`rattanvalve.cacheholds.cache_key_of`.
        :returns: whether the engine has released it.
        """
        path = f'/v1/cache/{quote(cache_key)}'
        return _is_done(await self._command('DELETE', path))

    async def release_all(self) -> bool:
        """Make the engine release every cache.

        :returns: whether the engine has released all.
        """
        return _is_done(await self._command('DELETE', '/v1/cache'))

    async def pause(self, number: str) -> bool | None:
        """Pause a running request.

        :param number: its ticket number.
        :returns: whether the engine has paused it; ``None`` if its answer
            did not arrive.
        """
        path = f'/v1/requests/{quote(number, safe="")}/pause'
        status = await self._command('POST', path)
        return status in _SUCCESSES if status else None

    async def resume(self, number: str) -> bool:
        """Resume a paused request.

        :param number: its ticket number.
        :returns: whether the engine runs it again.
        """
        path = f'/v1/requests/{quote(number, safe="")}/resume'
        return await self._command('POST', path) in _SUCCESSES

    async def _command(self, method: str, path: str) -> int:
        """Send a command under the newest token; status 0 if it failed."""
        headers = {'X-Fencing-Token': str(self.gate.newest_token)}
        url = URL(f'{self._base_url}{path}', encoded=True)
        try:
            async with asyncio.timeout(COMMAND_TIMEOUT_S):
                return await self._status_of(method, url, headers)
        except EXCHANGE_ERRORS as error:
            _log.warning('%s %s failed: %r', method, path, error)
        return 0

    async def _status_of(
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


def _is_done(status: int) -> bool:
    # A cache that the engine does not know is released.
    return 0 < status < _HTTP_ERROR_FROM or status == _NOT_FOUND
