"""HTTP client for the requests sent to a plain service."""

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
    """Client of one plain service, which has no caches and no pauses.

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

        :param epoch: epoch of a view; ignored.
        """

    async def run(
        self,
        run: Run,
        sink: Sink,
        token: int,
    ) -> tuple[str, Usage]:
        """Forward a request to the service, without retries.

        :param run: request with its ticket.
        :param sink: receives the response.
        :param token: fencing token; ignored.
        :returns: outcome and a usage of zero tokens.
        """
        process_headers = {
            'X-Request-Id': run.ticket.number,
            'Accept-Encoding': 'identity',
        }
        request = Exchange(
            method=run.method,
            url=URL(f'{self._base_url}{run.path}', encoded=True),
            headers=build_headers(run, process_headers),
            body=run.body,
        )
        return await exchange(self._session, request, sink), Usage()

    async def is_healthy(self) -> bool:
        """Check the health of the service.

        :returns: whether ``GET /healthz`` returns 200 within the timeout.
        """
        try:
            async with asyncio.timeout(CHECK_TIMEOUT_S):
                return await self._request_health()
        except EXCHANGE_ERRORS:
            return False

    async def release(self, cache_key: str) -> bool:
        """Do nothing, as a plain service keeps no cache.

        :param cache_key: cache key; ignored.
        :returns: ``True``.
        """
        return True

    async def release_all(self) -> bool:
        """Do nothing, as a plain service keeps no cache.

        :returns: ``True``.
        """
        return True

    async def _request_health(self) -> bool:
        url = f'{self._base_url}/healthz'
        async with self._session.get(url) as response:
            return response.status == 200
