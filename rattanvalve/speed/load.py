"""Sends bursts of requests to one base URL and measures processor time."""

import asyncio
import itertools
import time
from dataclasses import dataclass, field

import aiohttp

from rattanvalve.process_usage import read_usage
from rattanvalve.standins.text import expected_tokens

__all__ = ('Burst', 'BurstKind', 'Target', 'run_burst')

_EVENT_START = b'data: {'
_WORD = 'word '
#: Tokens of a long response. Most responses of the stand-in are shorter, so
#: prompts are chosen that lead to one of this length.
LONG_RESPONSE_TOKENS = 44


@dataclass(frozen=True, slots=True, kw_only=True)
class BurstKind:
    """Parameters of the requests of one burst.

    ``concurrency`` is the number of requests in flight; ``prompt_bytes`` is
    the approximate length of the only message.
    """

    name: str
    request_count: int
    concurrency: int = 1
    max_tokens: int = 1
    prompt_bytes: int = 2000
    is_stream: bool = False

    def body(self, index: int) -> dict:
        """Build the body of a request.

        :param index: number that makes the prompt unique.
        :returns: chat-completions request.
        """
        messages = self._messages(index)
        return {
            'model': 'small',
            'messages': messages,
            'max_tokens': self.max_tokens,
            'stream': self.is_stream,
        }

    def _messages(self, index: int) -> list[dict]:
        """Find a prompt whose response is as long as the burst needs."""
        filler = _WORD * (self.prompt_bytes // len(_WORD))
        needed_count = min(self.max_tokens, LONG_RESPONSE_TOKENS)
        for variant in itertools.count():
            content = f'{index} {variant} {filler}'
            messages = [{'role': 'user', 'content': content}]
            tokens = expected_tokens(messages, needed_count)
            if len(tokens) == needed_count:
                return messages
        raise AssertionError('unreachable')


@dataclass(frozen=True, slots=True)
class Target:
    """Base URL to send to, its key, and the measured processes by role."""

    name: str
    url: str
    key: str
    pids: dict[str, int]


@dataclass(slots=True)
class Burst:
    """Measurements of one burst.

    ``processor_s`` is the processor time by role, ``first_byte_s`` holds the
    times to the first byte of each body and ``latencies_s`` those to its end.
    ``received_count`` is the number of parts read from the sockets.
    """

    elapsed_s: float = 0
    event_count: int = 0
    received_count: int = 0
    latencies_s: list[float] = field(default_factory=list)
    first_byte_s: list[float] = field(default_factory=list)
    processor_s: dict[str, float] = field(default_factory=dict)


async def run_burst(
    session: aiohttp.ClientSession,
    target: Target,
    kind: BurstKind,
) -> Burst:
    """Send a burst and wait for all responses.

    :param session: HTTP session.
    :param target: base URL and measured processes.
    :param kind: parameters of the requests.
    :returns: times in seconds, and counts.
    :raises aiohttp.ClientError: if a request fails.
    """
    burst = Burst()
    indexes = iter(range(kind.request_count))
    before = _processor_s(target)
    began_s = time.monotonic()
    async with asyncio.TaskGroup() as group:
        for _ in range(kind.concurrency):
            group.create_task(
                _send_requests(session, target, kind, indexes, burst)
            )
    burst.elapsed_s = time.monotonic() - began_s
    # The last run is reported after its response; include that cost.
    await asyncio.sleep(0.02)
    burst.processor_s = {
        role: spent_s - before[role]
        for role, spent_s in _processor_s(target).items()
    }
    return burst


def _processor_s(target: Target) -> dict[str, float]:
    return {
        role: read_usage(pid).processor_s for role, pid in target.pids.items()
    }


async def _send_requests(
    session: aiohttp.ClientSession,
    target: Target,
    kind: BurstKind,
    indexes,
    burst: Burst,
) -> None:
    for index in indexes:
        await _send(session, target, kind.body(index), burst)


async def _send(
    session: aiohttp.ClientSession,
    target: Target,
    body: dict,
    burst: Burst,
) -> None:
    headers = {'Authorization': f'Bearer {target.key}'} if target.key else {}
    began_s = time.monotonic()
    parts = []
    async with session.post(
        f'{target.url}/v1/chat/completions',
        json=body,
        headers=headers,
    ) as response:
        response.raise_for_status()
        async for part in response.content.iter_any():
            if not parts:
                burst.first_byte_s.append(time.monotonic() - began_s)
            parts.append(part)
    burst.latencies_s.append(time.monotonic() - began_s)
    burst.received_count += len(parts)
    burst.event_count += b''.join(parts).count(_EVENT_START)
