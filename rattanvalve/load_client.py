"""HTTP client of the load tool; retries with exponential backoff."""

import asyncio
import json
import time
from dataclasses import dataclass, field
from random import Random

import aiohttp

from rattanvalve.client_records import Attempt, CallRecord
from rattanvalve.resultcodes import ResultCode
from rattanvalve.wholenumbers import parse_whole_number

__all__ = ('CallRequest', 'LoadClient', 'Targets')

MAX_ATTEMPTS = 12
_INITIAL_BACKOFF_S = 0.1
_MAX_BACKOFF_S = 2.0
_RETRYABLE_STATUSES = frozenset((0, 429, 500, 502, 503, 504))
_SUCCESS_STATUS = 200
#: Not retried: a retry cannot reveal an outcome that is recorded as unknown.
_NON_RETRYABLE_CODES = frozenset((ResultCode.OUTCOME_UNKNOWN,))
#: Connection errors, and errors in parsing a malformed response body.
_RESPONSE_ERRORS = (
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
    """Base URLs among which the client balances its calls.

    ``chat`` lists the base URLs for chat completions; ``services`` lists the
    base URLs of each plain service by service name.
    """

    chat: tuple[str, ...]
    services: dict[str, tuple[str, ...]]


@dataclass(frozen=True, slots=True)
class CallRequest:
    """HTTP request of a call; every attempt sends the same body and headers."""

    urls: tuple[str, ...]
    body: dict
    headers: dict[str, str] = field(default_factory=dict)


class LoadClient:
    """Sends calls and records their attempts and responses.

    :param session: HTTP session.
    :param rng: random generator for the backoff jitter and for the choice of
        the first target.
    :param delay_s: simulated one-way network delay in seconds, added to each
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
        """Send a call, with retries, until it succeeds or fails finally.

        Stops after a complete response, after an error that is not retryable,
        or after ``MAX_ATTEMPTS`` attempts.

        :param request: request to send.
        :param record: receives the attempts and the response.
        """
        offset = self._rng.randrange(len(request.urls))
        for index in range(MAX_ATTEMPTS):
            # Each attempt uses the next URL, so a retry avoids an entry
            # process that has just failed.
            url = request.urls[(offset + index) % len(request.urls)]
            attempt = Attempt(started_s=time.monotonic(), url=url)
            record.attempts.append(attempt)
            await self._attempt(request, record, attempt)
            if record.is_answered or not _is_retryable(attempt):
                return
            await asyncio.sleep(self._retry_delay_s(attempt, index))

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
                _record_head(attempt, response)
                if response.status == _SUCCESS_STATUS:
                    await _READERS[record.kind](response, record, attempt)
                else:
                    _record_error(attempt, await response.read())
        except _RESPONSE_ERRORS as error:
            attempt.error = type(error).__name__
            # A status of 0 marks an incomplete response, whatever its header
            # said.
            attempt.status = 0
        finally:
            await asyncio.sleep(self._delay_s)
            attempt.ended_s = time.monotonic()
            if record.first_token_s > attempt.started_s:
                record.first_token_s += self._delay_s

    def _retry_delay_s(self, attempt: Attempt, index: int) -> float:
        backoff_s = min(_INITIAL_BACKOFF_S * 2**index, _MAX_BACKOFF_S)
        jitter_s = backoff_s * self._rng.random()
        return attempt.retry_after_s + jitter_s


def _is_retryable(attempt: Attempt) -> bool:
    if attempt.code == ResultCode.PROGRAM_BUSY:
        return True
    if attempt.code in _NON_RETRYABLE_CODES:
        return False
    return attempt.status in _RETRYABLE_STATUSES


def _record_head(attempt: Attempt, response: aiohttp.ClientResponse) -> None:
    attempt.status = response.status
    attempt.outcome = response.headers.get('Rattanvalve-Outcome', '')
    try:
        attempt.retry_after_s = float(response.headers.get('Retry-After', 0))
    except ValueError:
        attempt.error = 'malformed Retry-After'


def _record_error(attempt: Attempt, body: bytes) -> None:
    try:
        content = json.loads(body)
    except ValueError:
        return
    detail = content.get('error') if isinstance(content, dict) else None
    if isinstance(detail, dict):
        code = parse_whole_number(str(detail.get('code') or ''))
        attempt.code = code or 0
        attempt.error = str(detail.get('message', ''))


async def _read_chat(
    response: aiohttp.ClientResponse,
    record: CallRecord,
    attempt: Attempt,
) -> None:
    # Discard the partial text of an earlier attempt that was interrupted.
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
    _record_usage(record, content.get('usage'))
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
        _record_event(record, event)
    else:
        attempt.error = 'stream ended early'
        attempt.status = 0
        return
    _record_error(attempt, payload)
    attempt.status = 0


def _record_event(record: CallRecord, event: dict) -> None:
    _record_usage(record, event.get('usage'))
    for choice in event.get('choices', ()):
        text = choice.get('delta', {}).get('content') or ''
        if text and not record.text:
            record.first_token_s = time.monotonic()
        if text:
            record.token_times_s.append(time.monotonic())
        record.text += text
        record.finish_reason = choice.get('finish_reason') or ''


def _record_usage(record: CallRecord, usage: dict | None) -> None:
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
