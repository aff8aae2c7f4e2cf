"""Asynchronous administration API client of the demo and the load tool."""

import asyncio
import copy
from collections.abc import Callable
from typing import Any

import aiohttp

from rattanvalve.errors import RattanvalveError

__all__ = ('AdminClient', 'AdminError')

_MAX_ATTEMPTS = 20
_RETRY_PAUSE_S = 0.2
_TIMEOUT_S = 5.0
_CONFLICT_STATUSES = frozenset((409, 412))
_RETRIED_STATUSES = frozenset((429, 502, 503, 504))
_MIN_ERROR_STATUS = 400


class AdminError(RattanvalveError):
    """A change was refused, or no entry process responded."""


class _EditConflictError(RattanvalveError):
    """The document changed after it was read; the edit can be retried."""


class AdminClient:
    """Sends each change to the first entry process that responds.

    The entry processes are tried in turn, with a pause between attempts; a
    status that permits a retry counts as no response.

    :param session: HTTP session.
    :param urls: base URLs of the administration API of the entry processes.
    :param key: operator key.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        urls: list[str],
        key: str,
    ) -> None:
        self._session = session
        self._urls = urls
        self._headers = {'Authorization': f'Bearer {key}'}

    async def grant(self, name: str, workspace: str) -> str:
        """Create a key for a workspace.

        :param name: name of the key.
        :param workspace: workspace that the key belongs to.
        :returns: the secret key, which no later request returns.
        :raises AdminError: if the change is refused or no entry process
            responds.
        """
        body = {'name': name, 'workspace': workspace}
        content, _ = await self._send('POST', '/v1/keys', body)
        return content['key']

    async def withdraw(self, name: str) -> None:
        """Withdraw a key.

        :param name: name of the key.
        :raises AdminError: if the change is refused or no entry process
            responds.
        """
        await self._send('DELETE', f'/v1/keys/{name}')

    async def drain(self, endpoint: str) -> None:
        """Drain an endpoint: it gets no new requests.

        :param endpoint: name of the endpoint.
        :raises AdminError: if the change is refused or no entry process
            responds.
        """
        await self._send('PUT', f'/v1/drains/{endpoint}')

    async def edit_config(self, edit: Callable[[dict], None]) -> None:
        """Change the configuration document by conditional update.

        :param edit: modifies a copy of the document in place; it is called
            again on the new document after a conflict with another operator.
        :raises AdminError: if the change is refused, every attempt
            conflicts or no entry process responds.
        """
        for _ in range(_MAX_ATTEMPTS):
            content, etag = await self._send('GET', '/v1/config')
            config = copy.deepcopy(content['config'])
            edit(config)
            try:
                await self._send('PUT', '/v1/config', config, etag)
            except _EditConflictError:
                continue
            return
        raise AdminError('PUT /v1/config: conflicts with other changes')

    async def _send(
        self,
        method: str,
        path: str,
        body: Any = None,
        etag: str = '',
    ) -> tuple[dict, str]:
        detail = ''
        for index in range(_MAX_ATTEMPTS):
            url = self._urls[index % len(self._urls)]
            try:
                return await self._send_once(method, f'{url}{path}', body, etag)
            except (aiohttp.ClientError, TimeoutError, OSError) as error:
                detail = type(error).__name__
            await asyncio.sleep(_RETRY_PAUSE_S)
        raise AdminError(f'{method} {path}: {detail}')

    async def _send_once(
        self,
        method: str,
        url: str,
        body: Any,
        etag: str,
    ) -> tuple[dict, str]:
        condition = {'If-Match': etag} if etag else {}
        async with self._session.request(
            method,
            url,
            json=body,
            headers=self._headers | condition,
            timeout=aiohttp.ClientTimeout(total=_TIMEOUT_S),
        ) as response:
            if etag and response.status in _CONFLICT_STATUSES:
                raise _EditConflictError(url)
            if response.status in _RETRIED_STATUSES:
                response.raise_for_status()
            text = await response.text()
            if response.status >= _MIN_ERROR_STATUS:
                raise AdminError(f'{method} {url}: {response.status} {text}')
            is_json = response.content_type == 'application/json'
            content = await response.json() if is_json and text else {}
            return content, response.headers.get('ETag', '')
