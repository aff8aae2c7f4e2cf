"""Measures the resident size of the product while many streams are open."""

import asyncio

import aiohttp

from rattanvalve.capacity.child import resident_bytes
from rattanvalve.speed.load import (
    LONG_RESPONSE_TOKENS,
    BurstKind,
    Target,
    run_burst,
)

__all__ = ('OPEN_HEADER', 'open_rows')

OPEN_HEADER = ('open streams', 'body KB', 'process', 'KB for each')
_KILOBYTE = 1000
_SAMPLE_S = 0.02
#: Number of streams and body bytes of each measurement. Memory freed by earlier
#: streams is reused, so later measurements need more of it; 256 is the limit
#: of a workspace queue.
_MEASUREMENTS = ((64, 2_000), (256, 2_000), (24, 1_000_000), (24, 3_000_000))


async def open_rows(
    session: aiohttp.ClientSession,
    target: Target,
) -> list[tuple[str, ...]]:
    """Open increasing numbers and sizes of streams and measure memory growth.

    :param session: HTTP session without a connection limit.
    :param target: the product, without earlier load.
    :returns: number of streams, kilobytes of a body, role of the process, and
        growth in kilobytes per stream.
    """
    rows = []
    first = _sizes(target)
    for count, body_bytes in _MEASUREMENTS:
        kind = BurstKind(
            name='open',
            request_count=count,
            concurrency=count,
            max_tokens=LONG_RESPONSE_TOKENS,
            prompt_bytes=body_bytes,
            is_stream=True,
        )
        peak = await _peak_sizes(session, target, kind)
        rows.extend(
            (
                str(count),
                f'{body_bytes / _KILOBYTE:,.0f}',
                role,
                f'{(size - first[role]) / count / _KILOBYTE:,.0f}',
            )
            for role, size in peak.items()
        )
    return rows


async def _peak_sizes(
    session: aiohttp.ClientSession,
    target: Target,
    kind: BurstKind,
) -> dict[str, int]:
    peak = _sizes(target)
    burst = asyncio.ensure_future(run_burst(session, target, kind))
    while not burst.done():
        for role, size in _sizes(target).items():
            peak[role] = max(peak[role], size)
        await asyncio.wait((burst,), timeout=_SAMPLE_S)
    burst.result()
    return peak


def _sizes(target: Target) -> dict[str, int]:
    return {role: resident_bytes(pid) for role, pid in target.pids.items()}
