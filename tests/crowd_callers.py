"""Callers that send requests and read whatever they get.

As a program, many callers, so that their work does not delay the
requests of the test: ``python -m tests.crowd_callers URL COUNT``.
"""

import asyncio
import sys

import aiohttp
import uvloop

from tests.platform_fleet import KEY

__all__ = ('post',)

BODY_BYTES = 2000
TIMEOUT_S = 3.0
START_INTERVAL_S = 0.005


async def post(url, request_id, body=b'', fields=None):
    """Send a request; return its status, or 0 without a whole response."""
    timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
    headers = {
        'Host': 'farm.example',
        'Request-Id': request_id,
        'X-Api-Key': KEY,
    }
    async with aiohttp.ClientSession(timeout=timeout) as session:
        try:
            async with session.post(
                url, headers=headers | (fields or {}), data=body
            ) as answer:
                # Long responses are not collected.
                while not answer.content.at_eof():
                    await answer.content.readany()
                return answer.status
        except (aiohttp.ClientError, TimeoutError):
            return 0


async def post_all(url, count):
    """Send requests at once; return when all have ended."""
    names = (f'crowd-{number}' for number in range(count))
    await asyncio.gather(
        *(post(url, name, bytes(BODY_BYTES)) for name in names)
    )


if __name__ == '__main__':
    uvloop.run(post_all(sys.argv[1], int(sys.argv[2])))
