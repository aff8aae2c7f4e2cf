"""Resident size of the product while many streams are open."""

import asyncio

import aiohttp

from rattanvalve.capacity.child import resident_bytes
from rattanvalve.speed.load import LONG_TOKENS, BurstKind, Target, run_burst

__all__ = ('OPEN_HEADER', 'open_rows')

OPEN_HEADER = ('open streams', 'body KB', 'process', 'KB for each')
_KILOBYTE = 1000
_SAMPLE_S = 0.02
#: Memory that earlier streams needed is used again, so sizes grow; the queue
#: of a workspace takes 256 requests.
_SIZES = ((64, 2_000), (256, 2_000), (24, 1_000_000), (24, 3_000_000))


async def open_rows(
    session: aiohttp.ClientSession,
    target: Target,
) -> list[tuple[str, ...]]:
    """Open more and larger streams and note the growth of each process.

    :param session: HTTP session without a limit of connections.
    :param target: the product, freshly started.
    :returns: number, size of a body, process, kilobytes for each stream.
    """
    rows = []
    first = _sizes(target)
    for count, body_bytes in _SIZES:
        kind = BurstKind(
            name='open',
            request_count=count,
            at_once_count=count,
            max_tokens=LONG_TOKENS,
            prompt_bytes=body_bytes,
            is_stream=True,
        )
        largest = await _largest_sizes(session, target, kind)
        rows.extend(
            (
                str(count),
                f'{body_bytes / _KILOBYTE:,.0f}',
                role,
                f'{(size - first[role]) / count / _KILOBYTE:,.0f}',
            )
            for role, size in largest.items()
        )
    return rows


async def _largest_sizes(
    session: aiohttp.ClientSession,
    target: Target,
    kind: BurstKind,
) -> dict[str, int]:
    largest = _sizes(target)
    burst = asyncio.ensure_future(run_burst(session, target, kind))
    while not burst.done():
        for role, size in _sizes(target).items():
            largest[role] = max(largest[role], size)
        await asyncio.wait((burst,), timeout=_SAMPLE_S)
    burst.result()
    return largest


def _sizes(target: Target) -> dict[str, int]:
    return {role: resident_bytes(pid) for role, pid in target.pids.items()}
