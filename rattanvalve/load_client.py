"""HTTP client of the load tool: one call with sensible retries."""

import asyncio
import json
import time
from dataclasses import dataclass, field
from random import Random

import aiohttp

from rattanvalve.client_records import Attempt, CallRecord
from rattanvalve.resultcodes import ResultCode

__all__ = ('CallRequest', 'LoadClient', 'Targets')

MAX_ATTEMPTS = 12
_FIRST_BACKOFF_S = 0.1
_LONGEST_BACKOFF_S = 2.0
_RETRIED_STATUSES = frozenset((0, 429, 500, 502, 503, 504))
_SUCCESS_STATUS = 200
#: Repeating these cannot help: it is final that the outcome is unknown.
_FINAL_CODES = frozenset((ResultCode.OUTCOME_UNKNOWN,))
#: Failures of the connection, and bodies that do not follow the protocol.
_BROKEN_RESPONSE = (
    aiohttp.ClientError,
    TimeoutError,
    OSError,
    ValueError,
    LookupError,
)
_DONE = b'[DONE]'
_DATA_PREFIX = b'data:'


@dataclass(frozen=True, slots=True)
class Targets:
    """Base URLs to send to, in place of a load balancer.

    ``chat`` lists base URLs of chat completions; ``services`` lists base URLs
    of each plain service.
    """

    chat: tuple[str, ...]
    services: dict[str, tuple[str, ...]]


@dataclass(frozen=True, slots=True)
class CallRequest:
    """A request that is sent unchanged in every attempt."""

    urls: tuple[str, ...]
    body: dict
    headers: dict[str, str] = field(default_factory=dict)


class LoadClient:
    """Sends calls and writes down what came back.

    :param session: HTTP session.
    :param rng: source of backoff jitter and of the first target.
    :param delay_s: one-way delay to the targets that is added to each
        request and to each response.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        rng: Random,
        delay_s: float = 0,
    ) -> None:
        self._session = session
        self._rng = rng
        self._delay_s = delay_s

    async def call(self, request: CallRequest, record: CallRecord) -> None:
        """Send a call until it is answered or a retry is pointless.

        :param request: what to send.
        :param record: receives the attempts and the response.
        """
        offset = self._rng.randrange(len(request.urls))
        for index in range(MAX_ATTEMPTS):
            # Each retry goes through another entry process.
            url = request.urls[(offset + index) % len(request.urls)]
            attempt = Attempt(started_s=time.monotonic(), url=url)
            record.attempts.append(attempt)
            await self._attempt(request, record, attempt)
            if record.is_answered or not _may_retry(attempt):
                return
            await asyncio.sleep(self._wait_s(attempt, index))

    async def _attempt(
        self,
        request: CallRequest,
        record: CallRecord,
        attempt: Attempt,
    ) -> None:
        await asyncio.sleep(self._delay_s)
        try:
            async with self._session.post(
                attempt.url,
                json=request.body,
                headers=request.headers,
            ) as response:
                _note_head(attempt, response)
                if response.status == _SUCCESS_STATUS:
                    await _READERS[record.kind](response, record, attempt)
                else:
                    _note_error(attempt, await response.read())
        except _BROKEN_RESPONSE as error:
            attempt.error = type(error).__name__
            # The response is incomplete, so its status tells nothing.
            attempt.status = 0
        finally:
            await asyncio.sleep(self._delay_s)
            attempt.ended_s = time.monotonic()
            if record.first_token_s > attempt.started_s:
                record.first_token_s += self._delay_s

    def _wait_s(self, attempt: Attempt, index: int) -> float:
        backoff_s = min(_FIRST_BACKOFF_S * 2**index, _LONGEST_BACKOFF_S)
        jitter_s = backoff_s * self._rng.random()
        return attempt.retry_after_s + jitter_s


def _may_retry(attempt: Attempt) -> bool:
    if attempt.code == ResultCode.PROGRAM_BUSY:
        return True
    if attempt.code in _FINAL_CODES:
        return False
    return attempt.status in _RETRIED_STATUSES


def _note_head(attempt: Attempt, response: aiohttp.ClientResponse) -> None:
    attempt.status = response.status
    attempt.outcome = response.headers.get('Rattanvalve-Outcome', '')
    try:
        attempt.retry_after_s = float(response.headers.get('Retry-After', 0))
    except ValueError:
        attempt.error = 'malformed Retry-After'


def _note_error(attempt: Attempt, body: bytes) -> None:
    try:
        content = json.loads(body)
    except ValueError:
        return
    detail = content.get('error') if isinstance(content, dict) else None
    if isinstance(detail, dict):
        code = str(detail.get('code') or '')
        attempt.code = int(code) if code.isdigit() else 0
        attempt.error = str(detail.get('message', ''))


async def _read_chat(
    response: aiohttp.ClientResponse,
    record: CallRecord,
    attempt: Attempt,
) -> None:
    # The text of an earlier, broken attempt is not part of this response.
    record.text = ''
    record.finish_reason = ''
    record.token_times_s.clear()
    if response.content_type == 'text/event-stream':
        await _read_stream(response, record, attempt)
        return
    content = await response.json()
    choice = content['choices'][0]
    record.text = choice['message']['content']
    record.finish_reason = choice['finish_reason']
    _note_usage(record, content.get('usage'))
    record.is_answered = True


async def _read_stream(
    response: aiohttp.ClientResponse,
    record: CallRecord,
    attempt: Attempt,
) -> None:
    async for line in response.content:
        if not line.startswith(_DATA_PREFIX):
            continue
        payload = line.removeprefix(_DATA_PREFIX).strip()
        if payload == _DONE:
            record.is_answered = True
            return
        event = json.loads(payload)
        if 'error' in event:
            break
        _note_event(record, event)
    else:
        attempt.error = 'stream ended early'
        attempt.status = 0
        return
    _note_error(attempt, payload)
    attempt.status = 0


def _note_event(record: CallRecord, event: dict) -> None:
    _note_usage(record, event.get('usage'))
    for choice in event.get('choices', ()):
        text = choice.get('delta', {}).get('content') or ''
        if text and not record.text:
            record.first_token_s = time.monotonic()
        if text:
            record.token_times_s.append(time.monotonic())
        record.text += text
        record.finish_reason = choice.get('finish_reason') or ''


def _note_usage(record: CallRecord, usage: dict | None) -> None:
    if usage:
        details = usage.get('prompt_tokens_details') or {}
        record.prompt_tokens = usage.get('prompt_tokens', 0)
        record.cached_tokens = details.get('cached_tokens', 0)
        record.output_tokens = usage.get('completion_tokens', 0)


async def _read_order(
    response: aiohttp.ClientResponse,
    record: CallRecord,
    attempt: Attempt,
) -> None:
    receipt = await response.json()
    record.text = str(receipt.get('body', ''))
    record.is_answered = True


_READERS = {'chat': _read_chat, 'order': _read_order}
