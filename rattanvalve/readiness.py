"""Waits until the processes of a fleet accept requests."""

import asyncio
import json
import time
from collections.abc import Callable, Iterable

import aiohttp

from rattanvalve.child_processes import ChildError, Children
from rattanvalve.fleet_settings import Address, FleetPlan

__all__ = ('wait_endpoints', 'wait_ready')

_READY_TIMEOUT_S = 30.0
_POLL_S = 0.05
_SUCCESS_STATUS = 200
_REQUEST_ERRORS = (aiohttp.ClientError, OSError, TimeoutError)


async def wait_ready(
    children: Children,
    session: aiohttp.ClientSession,
    addresses: Iterable[Address],
) -> None:
    """Wait until processes answer ``GET /readyz`` with status 200.

    :param children: running processes; the wait fails if one of them exits.
    :param session: HTTP session.
    :param addresses: addresses of the processes to wait for.
    :raises ChildError: if a process exits or is not ready in time.
    """
    for address in addresses:
        await _wait_until(children, session, f'{address.url}/readyz')


async def wait_endpoints(
    children: Children,
    session: aiohttp.ClientSession,
    plan: FleetPlan,
    admin_key: str,
) -> None:
    """Wait until every entry process can send work to all endpoints.

    An announced endpoint gets no work until the view lists it, so the status
    of each entry process must show its state as ``ready``.

    :param children: running processes; the wait fails if one of them exits.
    :param session: HTTP session.
    :param plan: names and addresses of the processes.
    :param admin_key: operator's key.
    :raises ChildError: if a process exits or an entry process does not list
        all endpoints as ready in time.
    """
    names = {endpoint.name for endpoint in plan.endpoints}

    def is_ready(text: str) -> bool:
        status = json.loads(text)
        ready = {
            row['endpoint']
            for row in status['endpoints']
            if row['state'] == 'ready'
        }
        return names <= ready and status['act_mode'] == 'full'

    headers = {'Authorization': f'Bearer {admin_key}'}
    for entry in plan.entries:
        url = f'{entry.admin.url}/v1/status'
        await _wait_until(children, session, url, headers, is_ready)


async def _wait_until(
    children: Children,
    session: aiohttp.ClientSession,
    url: str,
    headers: dict[str, str] | None = None,
    is_ready: Callable[[str], bool] = bool,
) -> None:
    deadline_s = time.monotonic() + _READY_TIMEOUT_S
    while time.monotonic() < deadline_s:
        children.check_alive()
        text = await _get_text(session, url, headers or {})
        if text is not None and is_ready(text):
            return
        await asyncio.sleep(_POLL_S)
    raise ChildError(f'{url} was not ready within {_READY_TIMEOUT_S:g} s')


async def _get_text(
    session: aiohttp.ClientSession,
    url: str,
    headers: dict[str, str],
) -> str | None:
    try:
        async with session.get(url, headers=headers) as response:
            text = await response.text()
            return text if response.status == _SUCCESS_STATUS else None
    except _REQUEST_ERRORS:
        return None
