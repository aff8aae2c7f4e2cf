"""Helpers that serve stand-ins on loopback and send requests to them."""

import asyncio
import io
import json

import aiohttp

from rattanvalve.standins.batch import EngineCosts
from rattanvalve.standins.engine import (
    Engine,
    EngineBehaviour,
    build_engine_app,
)
from rattanvalve.standins.journal import journal_writer
from rattanvalve.standins.main import serve

TIMEOUT_S = 30
FAST_COSTS = EngineCosts(
    step_base_s=0,
    step_per_request_s=0,
    prefill_per_token_s=0,
)


def start(context, app):
    """Serve an application; returns its base URL."""
    runner = context.run(serve(app, '127.0.0.1', 0))
    context.closers.append(runner.cleanup)
    return f'http://127.0.0.1:{runner.addresses[0][1]}'


def start_engine(context, costs=FAST_COSTS, **behaviour):
    """Serve an engine that writes its journal to memory; returns its URL."""
    journal = io.StringIO()

    async def make():
        return Engine(
            costs,
            EngineBehaviour(**behaviour),
            journal_writer('engine', journal),
        )

    context.engine = context.run(make())
    context.engine_journal = journal
    return start(context, build_engine_app(context.engine))


def journal_events(journal):
    """Parse a journal in memory; returns pairs of event and cache key."""
    lines = map(json.loads, journal.getvalue().splitlines())
    return [(line['event'], line['cache_key']) for line in lines]


def send(context, method, url, **options):
    """Send a request; returns status, headers and body."""

    async def run():
        timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.request(method, url, **options) as response,
        ):
            return response.status, response.headers, await response.read()

    return context.run(run())


async def poll(condition):
    """Wait until a condition holds, for at most ``TIMEOUT_S`` seconds."""
    async with asyncio.timeout(TIMEOUT_S):
        # The state under test has no event to wait for.
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(0)


def wait_for(context, condition):
    """Run the event loop until a condition holds."""
    context.run(poll(condition))
