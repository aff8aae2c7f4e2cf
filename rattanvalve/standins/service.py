"""Stand-in for a plain service that answers every method and path."""

import asyncio
import time
from dataclasses import dataclass, field
from functools import partial

from aiohttp import web

from rattanvalve.standins.journal import JournalWriter, make_journal_line
from rattanvalve.standins.limits import StatedRate

__all__ = ('ServiceState', 'build_service_app')

_MAX_BODY_BYTES = 16 * 1024 * 1024


@dataclass(slots=True)
class ServiceState:
    """Configuration and counters of a plain service.

    ``delay_s`` is the duration of a request in seconds. Every
    ``fail_every_count``-th request runs and then fails with status 500; 0
    disables failures. ``limit_per_s`` is the request rate that the service
    states in its responses.
    """

    name: str = 'service'
    delay_s: float = 0
    fail_every_count: int = 0
    capacity_count: int = 16
    running_count: int = 0
    started_count: int = 0
    limit_per_s: float | None = None
    rate: StatedRate = field(init=False, default_factory=StatedRate)

    def __post_init__(self) -> None:
        self.rate.state(self.limit_per_s, time.monotonic())


def build_service_app(
    state: ServiceState, journal: JournalWriter
) -> web.Application:
    """Build the HTTP application of a plain service.

    :param state: configuration and counters.
    :param journal: appends a line to the journal.
    :returns: application; ``/v1/load``, ``/readyz`` and ``/healthz`` are
        answered by the stand-in itself and are not journaled.
    """
    app = web.Application(client_max_size=_MAX_BODY_BYTES)
    app.router.add_get('/v1/load', partial(_show_load, state))
    app.router.add_get('/readyz', _ready)
    app.router.add_get('/healthz', _ready)
    app.router.add_route('*', '/{path:.*}', partial(_run, state, journal))
    return app


async def _ready(_request: web.Request) -> web.Response:
    return web.Response(text='ready')


async def _show_load(
    state: ServiceState,
    _request: web.Request,
) -> web.Response:
    return web.json_response(
        {
            'running_count': state.running_count,
            'queued_count': 0,
            'capacity_count': state.capacity_count,
            'cached_tokens': 0,
        },
    )


async def _run(
    state: ServiceState,
    journal: JournalWriter,
    request: web.Request,
) -> web.Response:
    body = await request.read()
    state.started_count += 1
    number = state.started_count
    state.running_count += 1
    state.rate.record_arrival(time.monotonic())
    journal(make_journal_line('start', request, body))
    try:
        await asyncio.sleep(state.delay_s)
    except asyncio.CancelledError:
        journal(make_journal_line('cancel', request, body))
        raise
    finally:
        state.running_count -= 1
    journal(make_journal_line('end', request, body))
    if state.fail_every_count and number % state.fail_every_count == 0:
        return web.json_response(
            {'error': 'internal failure'},
            status=500,
            headers=state.rate.headers(),
        )
    return web.json_response(
        _receipt(state, number, request, body), headers=state.rate.headers()
    )


def _receipt(
    state: ServiceState,
    number: int,
    request: web.Request,
    body: bytes,
) -> dict:
    return {
        'server': state.name,
        'run_number': number,
        'request_id': request.headers.get('X-Request-Id', ''),
        'method': request.method,
        'path': request.path_qs,
        'body': body.decode(errors='replace'),
    }
