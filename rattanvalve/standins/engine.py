"""Stand-in for a model engine: HTTP API over a continuous batch."""

import asyncio
import time
from collections import deque
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import asdict, dataclass
from functools import partial

from aiohttp import web

from rattanvalve.standins import chat
from rattanvalve.standins.batch import Batch, EngineCosts, Job
from rattanvalve.standins.cache import EventFeed, PrefixCache, default_cache_key
from rattanvalve.standins.journal import (
    JournalLine,
    JournalWriter,
    make_journal_line,
)

__all__ = ('Engine', 'EngineBehaviour', 'build_engine_app')

_MAX_BODY_BYTES = 16 * 1024 * 1024
_LOAD_HISTORY_COUNT = 4096


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineBehaviour:
    """Engine parameters other than costs: cache size, fencing and report lags.

    Times are in seconds; 0 disables a lag, a delay or gaps.
    """

    cache_capacity_tokens: int = 100_000
    checks_fencing: bool = False
    load_lag_s: float = 0
    event_delay_s: float = 0
    event_gap_every_count: int = 0


class Engine:
    """State of one engine.

    :param costs: cost parameters of the batch.
    :param behaviour: other parameters.
    :param journal: appends a line to the journal.
    """

    def __init__(
        self,
        costs: EngineCosts,
        behaviour: EngineBehaviour,
        journal: JournalWriter,
    ) -> None:
        self.behaviour = behaviour
        self.journal = journal
        self.feed = EventFeed(
            behaviour.event_delay_s,
            behaviour.event_gap_every_count,
        )
        self.cache = PrefixCache(
            behaviour.cache_capacity_tokens,
            self.feed,
            self._journal_release,
        )
        self.batch = Batch(costs, self.cache)
        self.newest_token = 0
        self.wakeup = asyncio.Event()
        self._loads: deque[tuple[float, dict]] = deque(
            maxlen=_LOAD_HISTORY_COUNT,
        )

    def accept_fencing_token(self, raw: str) -> bool:
        """Check a fencing token and record it if it is the newest.

        :param raw: value of ``X-Fencing-Token``; empty for none.
        :returns: ``False`` if the engine checks fencing and has accepted a
            newer token.
        """
        token = int(raw) if raw.isdigit() else 0
        if not self.behaviour.checks_fencing:
            return True
        if token < self.newest_token:
            return False
        self.newest_token = token
        return True

    def record_load(self, now_s: float) -> None:
        """Record the current load for later reports.

        :param now_s: monotonic time in seconds.
        """
        self._loads.append(
            (
                now_s,
                {
                    'running_count': self.batch.running_count,
                    'queued_count': self.batch.queued_count,
                    'capacity_count': self.batch.capacity_count,
                    'cached_tokens': self.cache.held_tokens,
                },
            ),
        )

    def reported_load(self, now_s: float) -> dict:
        """Return the newest load that is at least ``load_lag_s`` old.

        :param now_s: monotonic time in seconds.
        :returns: fields of ``GET /v1/load``; an idle engine if no recorded load
            is old enough.
        """
        for recorded_s, load in reversed(self._loads):
            if recorded_s + self.behaviour.load_lag_s <= now_s:
                return load
        return {
            'running_count': 0,
            'queued_count': 0,
            'capacity_count': self.batch.capacity_count,
            'cached_tokens': 0,
        }

    async def run_steps(self) -> None:
        """Run batch steps until cancelled, sleeping for the cost of each."""
        while True:
            if not self.batch.has_work():
                self.wakeup.clear()
                await self.wakeup.wait()
            cost_s = self.batch.step(time.monotonic())
            self.record_load(time.monotonic())
            await asyncio.sleep(cost_s)

    def _journal_release(self, cache_key: str, reason: str) -> None:
        self.journal(
            JournalLine(event='release', cache_key=cache_key, body=reason),
        )


Handler = Callable[[Engine, web.Request], Awaitable[web.StreamResponse]]


def build_engine_app(engine: Engine) -> web.Application:
    """Build the HTTP application of an engine.

    The server must run it with ``handler_cancellation=True``, so that closing
    the connection cancels a request.

    :param engine: state of the engine.
    :returns: application; it runs the batch from startup to cleanup.
    """
    app = web.Application(client_max_size=_MAX_BODY_BYTES)
    for method, path, handle in _ROUTES:
        app.router.add_route(method, path, partial(handle, engine))
    app.cleanup_ctx.append(partial(_run_batch, engine))
    return app


async def _run_batch(
    engine: Engine,
    _app: web.Application,
) -> AsyncIterator[None]:
    task = asyncio.create_task(engine.run_steps())
    yield
    task.cancel()


async def _chat(engine: Engine, request: web.Request) -> web.StreamResponse:
    _check_fencing_token(engine, request)
    body = await request.read()
    chat_request = chat.parse_chat(body)
    tokens: asyncio.Queue[str | None] = asyncio.Queue()
    priority = request.headers.get('X-Priority', '')
    job = Job(
        request_id=request.headers.get('X-Request-Id', ''),
        cache_key=request.headers.get('X-Cache-Key', '')
        or default_cache_key(chat_request.messages),
        messages=chat_request.messages,
        tokens=chat.remaining_tokens(chat_request),
        emit=tokens.put_nowait,
        on_removed=partial(_journal_end, engine, request, body),
        priority=int(priority) if priority.isdigit() else 0,
    )
    engine.journal(make_journal_line('start', request, body))
    engine.batch.submit(job)
    engine.record_load(time.monotonic())
    engine.wakeup.set()
    try:
        return await chat.respond(request, chat_request, job, tokens)
    finally:
        engine.batch.cancel(job, time.monotonic())


def _journal_end(
    engine: Engine,
    request: web.Request,
    body: bytes,
    is_complete: bool,
) -> None:
    event = 'end' if is_complete else 'cancel'
    engine.journal(make_journal_line(event, request, body))


async def _set_paused(
    engine: Engine,
    request: web.Request,
    *,
    is_paused: bool,
) -> web.Response:
    _check_fencing_token(engine, request)
    request_id = request.match_info['request_id']
    if not engine.batch.set_paused(request_id, is_paused=is_paused):
        raise web.HTTPNotFound
    engine.wakeup.set()
    return web.Response(status=204)


async def _release(engine: Engine, request: web.Request) -> web.Response:
    _check_fencing_token(engine, request)
    cache_key = request.match_info.get('cache_key')
    if cache_key is None:
        engine.cache.release_all(time.monotonic())
    else:
        engine.cache.release(cache_key, time.monotonic())
    engine.record_load(time.monotonic())
    return web.Response(status=204)


async def _show_events(engine: Engine, request: web.Request) -> web.Response:
    after = request.query.get('after', '0')
    events = engine.feed.events_after(
        int(after) if after.isdigit() else 0,
        time.monotonic(),
    )
    return web.json_response({'events': [asdict(event) for event in events]})


async def _show_load(engine: Engine, _request: web.Request) -> web.Response:
    return web.json_response(engine.reported_load(time.monotonic()))


async def _show_cache(engine: Engine, _request: web.Request) -> web.Response:
    return web.json_response({'cache_keys': engine.cache.keys()})


async def _ready(_engine: Engine, _request: web.Request) -> web.Response:
    return web.Response(text='ready')


def _check_fencing_token(engine: Engine, request: web.Request) -> None:
    if not engine.accept_fencing_token(
        request.headers.get('X-Fencing-Token', '')
    ):
        raise web.HTTPConflict(text='old fencing token')


_ROUTES: tuple[tuple[str, str, Handler], ...] = (
    ('POST', '/v1/chat/completions', _chat),
    (
        'POST',
        '/v1/requests/{request_id:.+}/pause',
        partial(_set_paused, is_paused=True),
    ),
    (
        'POST',
        '/v1/requests/{request_id:.+}/resume',
        partial(_set_paused, is_paused=False),
    ),
    ('GET', '/v1/cache/events', _show_events),
    ('DELETE', '/v1/cache/{cache_key:.+}', _release),
    ('DELETE', '/v1/cache', _release),
    ('GET', '/v1/cache', _show_cache),
    ('GET', '/v1/load', _show_load),
    ('GET', '/readyz', _ready),
    ('GET', '/healthz', _ready),
)
