"""Bursts of requests to one base URL, and what processes spent on them."""

import asyncio
import itertools
import time
from dataclasses import dataclass, field

import aiohttp

from rattanvalve.process_usage import usage_of
from rattanvalve.standins.text import expected_tokens

__all__ = ('Burst', 'BurstKind', 'Target', 'run_burst')

_EVENT_START = b'data: {'
_WORD = 'word '
#: Most responses of the stand-in have fewer tokens, so prompts are chosen.
LONG_TOKENS = 44


@dataclass(frozen=True, slots=True, kw_only=True)
class BurstKind:
    """Requests of one burst.

    ``at_once_count`` requests are open at any time; ``prompt_bytes`` is the
    length of the only message.
    """

    name: str
    request_count: int
    at_once_count: int = 1
    max_tokens: int = 1
    prompt_bytes: int = 2000
    is_stream: bool = False

    def body(self, index: int) -> dict:
        """Build the body of a request.

        :param index: makes the prompt distinct.
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
        """Choose a prompt to which the stand-in gives a long response."""
        filler = _WORD * (self.prompt_bytes // len(_WORD))
        wanted_count = min(self.max_tokens, LONG_TOKENS)
        for variant in itertools.count():
            content = f'{index} {variant} {filler}'
            messages = [{'role': 'user', 'content': content}]
            found = expected_tokens(messages, wanted_count)
            if len(found) == wanted_count:
                return messages
        raise AssertionError('unreachable')


@dataclass(frozen=True, slots=True)
class Target:
    """Where to send, and the processes on the way by role."""

    name: str
    url: str
    key: str
    pids: dict[str, int]


@dataclass(slots=True)
class Burst:
    """What one burst gave.

    ``processor_s`` is the processor time by role, ``first_s`` the times to
    the first byte of a body and ``latencies_s`` those to its end.
    """

    elapsed_s: float = 0
    event_count: int = 0
    received_count: int = 0
    latencies_s: list[float] = field(default_factory=list)
    first_s: list[float] = field(default_factory=list)
    processor_s: dict[str, float] = field(default_factory=dict)


async def run_burst(
    session: aiohttp.ClientSession,
    target: Target,
    kind: BurstKind,
) -> Burst:
    """Send a burst and wait for all responses.

    :param session: HTTP session.
    :param target: where to send.
    :param kind: what to send.
    :returns: times and counts.
    :raises aiohttp.ClientError: if a request fails.
    """
    burst = Burst()
    numbers = iter(range(kind.request_count))
    before = _processor_s(target)
    began_s = time.monotonic()
    async with asyncio.TaskGroup() as group:
        for _ in range(kind.at_once_count):
            group.create_task(_send_all(session, target, kind, numbers, burst))
    burst.elapsed_s = time.monotonic() - began_s
    # The report of the last run follows its response.
    await asyncio.sleep(0.02)
    burst.processor_s = {
        role: spent_s - before[role]
        for role, spent_s in _processor_s(target).items()
    }
    return burst


def _processor_s(target: Target) -> dict[str, float]:
    return {
        role: usage_of(pid).processor_s for role, pid in target.pids.items()
    }


async def _send_all(
    session: aiohttp.ClientSession,
    target: Target,
    kind: BurstKind,
    numbers,
    burst: Burst,
) -> None:
    for index in numbers:
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
                burst.first_s.append(time.monotonic() - began_s)
            parts.append(part)
    burst.latencies_s.append(time.monotonic() - began_s)
    burst.received_count += len(parts)
    burst.event_count += b''.join(parts).count(_EVENT_START)
