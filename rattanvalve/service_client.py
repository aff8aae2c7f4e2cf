"""Requests of an endpoint process to a plain service."""

import asyncio

import aiohttp
from yarl import URL

from rattanvalve.messages import Run, Usage
from rattanvalve.server_session import (
    EXCHANGE_ERRORS,
    Exchange,
    Sink,
    build_headers,
    exchange,
)

__all__ = ('ServiceClient',)

CHECK_TIMEOUT_S = 2


class ServiceClient:
    """Client of one plain service.

    :param base_url: URL of the service, without a path.
    :param session: session by :func:`rattanvalve.server_session.open_session`.
    """

    keeps_cache = False
    can_pause = False

    def __init__(self, base_url: str, session: aiohttp.ClientSession) -> None:
        self._base_url = base_url.rstrip('/')
        self._session = session

    def observe_epoch(self, epoch: int) -> None:
        """Do nothing, as a plain service takes no fencing tokens.

        :param epoch: epoch of a view.
        """

    async def run(
        self,
        run: Run,
        sink: Sink,
        token: int,
    ) -> tuple[str, Usage]:
        """Pass a request to the service, once.

        :param run: request with its ticket.
        :param sink: receives the response.
        :param token: fencing token; plain services have none.
        :returns: outcome, and a usage of zero.
        """
        own = {'X-Request-Id': run.ticket.number, 'Accept-Encoding': 'identity'}
        request = Exchange(
            method=run.method,
            url=URL(f'{self._base_url}{run.path}', encoded=True),
            headers=build_headers(run, own),
            body=run.body,
        )
        return await exchange(self._session, request, sink), Usage()

    async def is_healthy(self) -> bool:
        """Ask the service whether it is healthy.

        :returns: whether ``GET /healthz`` gives status 200 in time.
        """
        try:
            async with asyncio.timeout(CHECK_TIMEOUT_S):
                return await self._check()
        except EXCHANGE_ERRORS:
            return False

    async def release(self, cache_key: str) -> bool:
        """Do nothing, as a plain service keeps no cache.

        :param cache_key: cache key.
        :returns: ``True``.
        """
        return True

    async def release_all(self) -> bool:
        """Do nothing, as a plain service keeps no cache.

        :returns: ``True``.
        """
        return True

    async def _check(self) -> bool:
        url = f'{self._base_url}/healthz'
        async with self._session.get(url) as response:
            return response.status == 200
