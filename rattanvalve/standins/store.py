"""Stand-in for the platform's object store, with injectable faults."""

import asyncio
from collections import Counter as CountTable
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from functools import partial

import msgspec
from aiohttp import web

__all__ = ('MAX_OBJECT_BYTES', 'StoreFaults', 'StoreState', 'build_store_app')

MAX_OBJECT_BYTES = 1_000_000
_MAX_WATCH_S = 60.0


class StoreFaults(msgspec.Struct, forbid_unknown_fields=True):
    """Active faults.

    ``is_down`` fails object calls with 503, ``delay_s`` delays them, and
    ``lose_response_count`` is the number of coming writes that take effect but
    whose connection is aborted instead of answered.
    """

    is_down: bool = False
    delay_s: float = 0
    lose_response_count: int = 0


@dataclass(slots=True)
class StoreState:
    """Objects as version and content by key, faults, and call counts by kind.

    ``changed`` is set and replaced when an object or the faults change.
    """

    stored_objects: dict[str, tuple[int, bytes]] = field(default_factory=dict)
    faults: StoreFaults = field(default_factory=StoreFaults)
    calls: CountTable[str] = field(default_factory=CountTable)
    changed: asyncio.Event = field(default_factory=asyncio.Event)


Handler = Callable[[StoreState, web.Request], Awaitable[web.StreamResponse]]


def build_store_app(state: StoreState) -> web.Application:
    """Build the HTTP application of the object store.

    :param state: objects and faults; tests may modify them directly.
    :returns: application with the object API, ``/faults`` and ``/calls``.
    """
    app = web.Application(client_max_size=4 * MAX_OBJECT_BYTES)
    app.router.add_get('/v1/objects/{key:.+}', partial(_get, state))
    app.router.add_put('/v1/objects/{key:.+}', partial(_put, state))
    app.router.add_put('/faults', partial(_set_faults, state))
    app.router.add_get('/calls', partial(_show_calls, state))
    app.router.add_get('/readyz', _ready)
    return app


async def _ready(_request: web.Request) -> web.Response:
    return web.Response(text='ready')


async def _set_faults(state: StoreState, request: web.Request) -> web.Response:
    try:
        state.faults = msgspec.json.decode(
            await request.read(),
            type=StoreFaults,
        )
    except msgspec.DecodeError as error:
        raise web.HTTPBadRequest(text=str(error)) from error
    _wake_watches(state)
    return web.Response(status=204)


async def _show_calls(state: StoreState, _request: web.Request) -> web.Response:
    return web.json_response(dict(state.calls))


async def _get(state: StoreState, request: web.Request) -> web.Response:
    is_watch = 'watch_after' in request.query
    await _begin_call(state, 'watch' if is_watch else 'get')
    key = request.match_info['key']
    if is_watch:
        return await _watch(state, key, request)
    if key not in state.stored_objects:
        raise web.HTTPNotFound
    return _object_response(*state.stored_objects[key], is_body_sent=True)


async def _watch(
    state: StoreState,
    key: str,
    request: web.Request,
) -> web.Response:
    try:
        after = int(request.query['watch_after'])
        wait_s = float(request.query.get('timeout_s', 30))
    except ValueError as error:
        raise web.HTTPBadRequest(text='malformed watch') from error
    try:
        async with asyncio.timeout(min(wait_s, _MAX_WATCH_S)):
            await _wait_newer(state, key, after)
    except TimeoutError:
        return web.Response(status=304)
    return _object_response(*state.stored_objects[key], is_body_sent=True)


async def _wait_newer(state: StoreState, key: str, after: int) -> None:
    while state.stored_objects.get(key, (0, b''))[0] <= after:
        await state.changed.wait()
        # An outage also ends pending watches, with status 503.
        _raise_if_down(state)


async def _put(state: StoreState, request: web.Request) -> web.Response:
    await _begin_call(state, 'put')
    body = await request.read()
    if len(body) > MAX_OBJECT_BYTES:
        return web.Response(status=413)
    key = request.match_info['key']
    version = state.stored_objects.get(key, (0, b''))[0]
    if not _precondition_holds(request, version):
        return web.Response(status=412)
    state.stored_objects[key] = (version + 1, body)
    _wake_watches(state)
    if state.faults.lose_response_count:
        state.faults.lose_response_count -= 1
        state.calls['lost_response'] += 1
        # The write is applied, but the client sees a closed connection.
        request.transport.abort()
    return _object_response(version + 1, b'', is_body_sent=False)


def _precondition_holds(request: web.Request, version: int) -> bool:
    if request.headers.get('If-None-Match') == '*':
        return version == 0
    expected = request.headers.get('If-Match')
    if expected is None:
        raise web.HTTPPreconditionRequired
    return version > 0 and expected == f'"{version}"'


def _object_response(
    version: int, body: bytes, *, is_body_sent: bool
) -> web.Response:
    return web.Response(
        body=body if is_body_sent else b'',
        headers={'ETag': f'"{version}"'},
    )


async def _begin_call(state: StoreState, kind: str) -> None:
    state.calls[kind] += 1
    _raise_if_down(state)
    if state.faults.delay_s:
        await asyncio.sleep(state.faults.delay_s)
        _raise_if_down(state)


def _raise_if_down(state: StoreState) -> None:
    if state.faults.is_down:
        raise web.HTTPServiceUnavailable


def _wake_watches(state: StoreState) -> None:
    state.changed.set()
    state.changed = asyncio.Event()
