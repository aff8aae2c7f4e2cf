"""Sends a steady load for minutes and samples resident sizes."""

import asyncio
import time
from collections.abc import Iterator

import aiohttp

from rattanvalve.capacity.child import resident_bytes
from rattanvalve.speed.load import (
    LONG_RESPONSE_TOKENS,
    BurstKind,
    Target,
    run_burst,
)

__all__ = ('run_steady',)

_MEGABYTE = 1_000_000
_SAMPLE_S = 30.0
#: Four streams a second, slightly more than the rate of an endpoint process at
#: target size (3.74 requests/s).
_BURST = BurstKind(
    name='steady',
    request_count=4,
    concurrency=4,
    max_tokens=LONG_RESPONSE_TOKENS,
    is_stream=True,
)
_BURST_S = 1.0


async def run_steady(
    session: aiohttp.ClientSession,
    target: Target,
    duration_s: float,
) -> list[tuple[str, ...]]:
    """Send a steady load and sample resident sizes.

    :param session: HTTP session.
    :param target: the product.
    :param duration_s: duration of the load in seconds.
    :returns: rows of elapsed seconds, requests sent and megabytes of each
        process.
    """
    rows: list[tuple[str, ...]] = []
    began_s = time.monotonic()
    sent_count = 0
    for due_s in _send_times(began_s, duration_s):
        await asyncio.sleep(max(0, due_s - time.monotonic()))
        if due_s - began_s >= len(rows) * _SAMPLE_S:
            rows.append(_row(due_s - began_s, sent_count, target))
        await run_burst(session, target, _BURST)
        sent_count += _BURST.request_count
    rows.append(_row(duration_s, sent_count, target))
    return rows


def _send_times(began_s: float, duration_s: float) -> Iterator[float]:
    for number in range(int(duration_s / _BURST_S)):
        yield began_s + number * _BURST_S


def _row(passed_s: float, sent_count: int, target: Target) -> tuple[str, ...]:
    sizes = (
        f'{resident_bytes(pid) / _MEGABYTE:.1f}' for pid in target.pids.values()
    )
    return (f'{passed_s:.0f}', str(sent_count), *sizes)
