"""Stand-in for the platform's list of VM states, which lags behind changes."""

import time
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import Literal

import msgspec
from aiohttp import web

__all__ = ('VmList', 'VmState', 'build_vms_app')


class VmState(msgspec.Struct, forbid_unknown_fields=True):
    """Body of ``PUT /v1/vms/{name}``; ``leaving`` VMs are about to stop."""

    state: Literal['live', 'leaving']


@dataclass(slots=True)
class VmList:
    """Changes of VM states; each becomes visible after ``lag_s`` seconds."""

    lag_s: float = 0
    changes: list[tuple[float, str, str]] = field(default_factory=list)

    def change(self, name: str, state: str, now_s: float) -> None:
        """Record the new state of a VM.

        :param name: VM name.
        :param state: ``live`` or ``leaving``.
        :param now_s: monotonic time in seconds.
        """
        self.changes.append((now_s, name, state))

    def visible_states(self, now_s: float) -> dict[str, str]:
        """Return the state of each VM, without changes newer than the lag.

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
    :returns: application that lists and changes VM states at ``/v1/vms``.
    """
    app = web.Application()
    app.router.add_get('/v1/vms', partial(_list_vms, vms, clock))
    app.router.add_put('/v1/vms/{name}', partial(_change_vm, vms, clock))
    app.router.add_get('/readyz', _ready)
    return app


async def _ready(_request: web.Request) -> web.Response:
    return web.Response(text='ready')


async def _list_vms(
    vms: VmList,
    clock: Callable[[], float],
    _request: web.Request,
) -> web.Response:
    return web.json_response(
        {
            'vms': [
                {'name': name, 'state': state}
                for name, state in vms.visible_states(clock()).items()
            ],
        },
    )


async def _change_vm(
    vms: VmList,
    clock: Callable[[], float],
    request: web.Request,
) -> web.Response:
    try:
        update = msgspec.json.decode(await request.read(), type=VmState)
    except msgspec.DecodeError as error:
        raise web.HTTPBadRequest(text=str(error)) from error
    vms.change(request.match_info['name'], update.state, clock())
    return web.Response(status=204)
