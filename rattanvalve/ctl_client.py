"""Blocking administration API client of ``rattanvalvectl``."""

import asyncio
import ssl
from dataclasses import dataclass, field
from typing import Any

import aiohttp
from result import Err, Ok, Result

__all__ = ('AdminFailure', 'AdminRequest', 'send')

TIMEOUT_S = 30.0


@dataclass(frozen=True, slots=True, kw_only=True)
class AdminRequest:
    """A request to the administration API; ``body`` is sent as JSON."""

    method: str
    path: str
    params: dict[str, str] = field(default_factory=dict)
    headers: dict[str, str] = field(default_factory=dict)
    body: Any = None


@dataclass(frozen=True, slots=True)
class AdminFailure:
    """Why a request failed.

    ``code`` is a result code, or 0 if there was no valid response.
    ``generation`` is the newest one after a conflict, otherwise 0.
    """

    code: int
    text: str
    generation: int = 0


def send(
    base_url: str,
    key: str,
    request: AdminRequest,
    ca_path: str | None = None,
) -> Result[dict[str, Any], AdminFailure]:
    """Send a request and wait up to ``TIMEOUT_S`` seconds for its response.

    :param base_url: base URL of the administration API.
    :param key: operator key.
    :param request: request to send.
    :param ca_path: PEM file of trusted certificate authorities; ``None``
        trusts those of the system.
    :returns: the JSON body of the response, or the reason of the failure.
    """
    try:
        tls = ssl.create_default_context(cafile=ca_path)
        return asyncio.run(_send(base_url, key, request, tls))
    except (aiohttp.ClientError, OSError, ValueError) as error:
        return Err(AdminFailure(0, f'no response from {base_url}: {error}'))


async def _send(
    base_url: str,
    key: str,
    request: AdminRequest,
    tls: ssl.SSLContext,
) -> Result[dict[str, Any], AdminFailure]:
    async with (
        aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=TIMEOUT_S),
        ) as session,
        session.request(
            request.method,
            base_url.rstrip('/') + request.path,
            params=request.params,
            headers={'Authorization': f'Bearer {key}', **request.headers},
            json=request.body,
            ssl=tls,
        ) as response,
    ):
        body = await response.json()
    if not isinstance(body, dict):
        return Err(AdminFailure(0, f'{base_url} sent no JSON object'))
    error = body.get('error')
    if error is None:
        return Ok(body)
    if not isinstance(error, dict):
        return Err(AdminFailure(0, f'{base_url} sent an unknown error'))
    return Err(
        AdminFailure(
            error.get('code', 0),
            error.get('message', ''),
            error.get('generation', 0),
        ),
    )
