"""Client of the platform's object API: conditional writes with read-back."""

import asyncio
import random
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from http import HTTPStatus

import aiohttp
import msgspec

from rattanvalve.counters import Counter, Metrics
from rattanvalve.errors import StoreConflictError, StoreError
from rattanvalve.logs import LogPart, part_logger

__all__ = ('StoreClient', 'StoredObject')

CALL_TIMEOUT_S = 2.0
#: Seconds added to the timeout of a watch for the network round trip, as the
#: store answers an unchanged watch only after that timeout.
WATCH_GRACE_S = 5.0
BACKOFF_FIRST_S = 0.5
BACKOFF_MAX_S = 10.0
READ_BACK_COUNT = 4
READ_BACK_DELAY_S = 0.2

_log = part_logger(LogPart.STORE)
#: Errors of an HTTP call after which it is unknown whether it took effect.
_CALL_ERRORS = (aiohttp.ClientError, OSError, TimeoutError)


@dataclass(frozen=True, slots=True)
class StoredObject:
    """Body of a stored object and its version, as given by the ETag."""

    version: int
    body: bytes


@dataclass(frozen=True, slots=True)
class _Answer:
    status: int
    etag: str
    body: bytes


class _ChangeId(msgspec.Struct):
    """Field of a stored JSON document that identifies its last change."""

    change_id: str = ''


class StoreClient:
    """Client for reads, conditional writes and watches of the object API.

    After a failure, calls fail immediately until an exponential backoff with
    jitter has passed. The jitter spreads the calls of a fleet when the store
    recovers.

    :param base_url: address of the store, such as ``http://127.0.0.1:8500``.
    :param session: HTTP session; the caller closes it.
    :param metrics: counters of failures and read-backs.
    :param clock: returns monotonic seconds.
    :param sleep: waits for a number of seconds.
    """

    def __init__(
        self,
        base_url: str,
        session: aiohttp.ClientSession,
        metrics: Metrics,
        clock: Callable[[], float] = time.monotonic,
        sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
    ) -> None:
        self._base_url = base_url.rstrip('/')
        self._session = session
        self._metrics = metrics
        self._clock = clock
        self._sleep = sleep
        self._failure_count = 0
        self._retry_at_s: float = 0

    async def get(self, key: str) -> StoredObject | None:
        """Read an object.

        :param key: object key.
        :returns: the object, or ``None`` if there is none.
        :raises StoreError: if the store does not answer, or during backoff.
        """
        self._check_backoff()
        return await self._fetch(key)

    async def put(
        self,
        key: str,
        body: bytes,
        expected_version: int,
        change_id: str,
    ) -> int:
        """Write an object if its version is the expected one.

        :param key: object key.
        :param body: JSON document whose field ``change_id`` is ``change_id``.
        :param expected_version: version to replace; 0 creates the object.
        :param change_id: unique id of this write; after a lost response it
            shows whether the write took effect.
        :returns: the new version.
        :raises StoreConflictError: if the object has another version.
        :raises StoreError: if it is unknown whether the write took effect.
        """
        self._check_backoff()
        condition = (
            {'If-Match': f'"{expected_version}"'}
            if expected_version
            else {'If-None-Match': '*'}
        )
        try:
            answer = await self._call('PUT', key, headers=condition, data=body)
        except StoreError:
            return await self._read_back(key, expected_version, change_id)
        if answer.status == HTTPStatus.PRECONDITION_FAILED:
            # The HTTP client retries a PUT if an idle connection was broken.
            # The retry of a write that took effect gets this status.
            return await self._read_back(key, expected_version, change_id)
        return _version_of(answer)

    async def watch(
        self,
        key: str,
        version: int,
        timeout_s: float,
    ) -> StoredObject | None:
        """Wait for a newer version of an object.

        :param key: object key.
        :param version: last known version; 0 for none.
        :param timeout_s: seconds that the store waits for a change.
        :returns: the newer object, or ``None`` if there was no change.
        :raises StoreError: if the store does not answer.
        """
        self._check_backoff()
        query = {'watch_after': str(version), 'timeout_s': str(timeout_s)}
        answer = await self._call(
            'GET',
            key,
            params=query,
            timeout_s=timeout_s + WATCH_GRACE_S,
        )
        return _object_of(answer)

    def _check_backoff(self) -> None:
        if self._failure_count and self._clock() < self._retry_at_s:
            raise StoreError('store failed a moment ago, not called again yet')

    async def _fetch(self, key: str) -> StoredObject | None:
        return _object_of(await self._call('GET', key))

    async def _call(
        self,
        method: str,
        key: str,
        timeout_s: float = CALL_TIMEOUT_S,
        **options,
    ) -> _Answer:
        url = f'{self._base_url}/v1/objects/{key}'
        try:
            async with (
                asyncio.timeout(timeout_s),
                self._session.request(method, url, **options) as response,
            ):
                answer = _Answer(
                    response.status,
                    response.headers.get('ETag', ''),
                    await response.read(),
                )
        except _CALL_ERRORS as error:
            raise self._record_failure(f'{method} {key}: {error!r}') from error
        if answer.status not in _EXPECTED_STATUSES:
            raise self._record_failure(
                f'{method} {key}: status {answer.status}'
            )
        self._failure_count = 0
        return answer

    def _record_failure(self, text: str) -> StoreError:
        """Count a failure, start the backoff and return the error to raise."""
        self._metrics.count(Counter.STORE_ERROR)
        delay_s = min(BACKOFF_MAX_S, BACKOFF_FIRST_S * 2**self._failure_count)
        # The exponent is bounded, as it would grow during a long outage.
        self._failure_count = min(self._failure_count + 1, 10)
        self._retry_at_s = self._clock() + delay_s * random.uniform(0.5, 1)
        _log.warning('call failed: %s', text)
        return StoreError(text)

    async def _read_back(
        self,
        key: str,
        expected_version: int,
        change_id: str,
    ) -> int:
        """Check by a read whether a write without a response took effect.

        Returns the version if it did, else raises a store error.
        """
        stored = await self._read_after_failure(key)
        version = stored.version if stored else 0
        if stored and _change_id_of(stored.body) == change_id:
            self._metrics.count(Counter.STORE_READ_BACK)
            return version
        if version != expected_version:
            raise StoreConflictError(
                f'{key} has version {version}, expected {expected_version}',
            )
        raise StoreError(f'{key} is not written')

    async def _read_after_failure(self, key: str) -> StoredObject | None:
        for _ in range(READ_BACK_COUNT - 1):
            try:
                return await self._fetch(key)
            except StoreError:
                await self._sleep(READ_BACK_DELAY_S * random.uniform(1, 2))
        return await self._fetch(key)


_EXPECTED_STATUSES = frozenset(
    (
        HTTPStatus.OK,
        HTTPStatus.NOT_MODIFIED,
        HTTPStatus.NOT_FOUND,
        HTTPStatus.PRECONDITION_FAILED,
    ),
)


def _object_of(answer: _Answer) -> StoredObject | None:
    if answer.status != HTTPStatus.OK:
        return None
    return StoredObject(_version_of(answer), answer.body)


def _version_of(answer: _Answer) -> int:
    try:
        return int(answer.etag.strip('"'))
    except ValueError as error:
        raise StoreError(f'malformed ETag {answer.etag!r}') from error


def _change_id_of(body: bytes) -> str:
    try:
        return msgspec.json.decode(body, type=_ChangeId).change_id
    except msgspec.DecodeError:
        return ''
