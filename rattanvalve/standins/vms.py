"""Stand-in for the platform's list of live and leaving VMs, with a lag."""

import time
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import Literal

import msgspec
from aiohttp import web

__all__ = ('VmList', 'VmState', 'build_vms_app')


class VmState(msgspec.Struct, forbid_unknown_fields=True):
    """State of one VM as the platform sees it."""

    state: Literal['live', 'leaving']


@dataclass(slots=True)
class VmList:
    """Changes of VM states, shown ``lag_s`` seconds after they were made."""

    lag_s: float = 0
    changes: list[tuple[float, str, str]] = field(default_factory=list)

    def change(self, name: str, state: str, now_s: float) -> None:
        """Record the new state of a VM.

        :param name: VM name.
        :param state: ``live`` or ``leaving``.
        :param now_s: monotonic time in seconds.
        """
        self.changes.append((now_s, name, state))

    def visible(self, now_s: float) -> dict[str, str]:
        """Give the states that the list shows.

        :param now_s: monotonic time in seconds.
        :returns: state by VM name.
        """
        return {
            name: state
            for changed_s, name, state in self.changes
            if changed_s + self.lag_s <= now_s
        }


def build_vms_app(
    vms: VmList,
    clock: Callable[[], float] = time.monotonic,
) -> web.Application:
    """Build the HTTP application of the VM list.

    :param vms: list to serve.
    :param clock: source of monotonic seconds.
    :returns: application with ``/v1/vms``.
    """
    app = web.Application()
    app.router.add_get('/v1/vms', partial(_show, vms, clock))
    app.router.add_put('/v1/vms/{name}', partial(_change, vms, clock))
    app.router.add_get('/readyz', _ready)
    return app


async def _ready(_request: web.Request) -> web.Response:
    return web.Response(text='ready')


async def _show(
    vms: VmList,
    clock: Callable[[], float],
    _request: web.Request,
) -> web.Response:
    return web.json_response(
        {
            'vms': [
                {'name': name, 'state': state}
                for name, state in vms.visible(clock()).items()
            ],
        },
    )


async def _change(
    vms: VmList,
    clock: Callable[[], float],
    request: web.Request,
) -> web.Response:
    try:
        wanted = msgspec.json.decode(await request.read(), type=VmState)
    except msgspec.DecodeError as error:
        raise web.HTTPBadRequest(text=str(error)) from error
    vms.change(request.match_info['name'], wanted.state, clock())
    return web.Response(status=204)
