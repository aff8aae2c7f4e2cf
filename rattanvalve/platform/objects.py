"""Client of the platform's object store."""

import asyncio
from contextlib import suppress
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any

import aiohttp
import msgspec

from rattanvalve.errors import (
    HistoryCompactedError,
    StoreConflictError,
    StoreError,
)
from rattanvalve.logs import LogPart, part_logger
from rattanvalve.platform.json_bounds import (
    DEPTH_MAX,
    cut_deep_values,
    is_too_deep,
)
from rattanvalve.platform.json_repair import replace_unreadable
from rattanvalve.platform.malformed import MALFORMED_JSON

__all__ = (
    'CALL_TIMEOUT_S',
    'Changes',
    'ObjectStore',
    'StoredEntry',
    'decode_entry',
)

CALL_TIMEOUT_S = 1.5
#: The store answers a watch when the wait ends; this covers the round trip.
WATCH_GRACE_S = 1.0
#: Far larger than a page of a list or the changes of one watch.
RESPONSE_BYTES_MAX = 16 * 1024 * 1024
_CALL_ERRORS = (aiohttp.ClientError, OSError, TimeoutError)
_NO_SPEC = msgspec.Raw(b'null')
#: Levels that are kept of an answer that cannot be decoded. An entry that is
#: cut is still nested too deeply, as in an answer that can be decoded.
CUT_DEPTH = DEPTH_MAX + 8

_log = part_logger(LogPart.CONFIG)


@dataclass(frozen=True, slots=True)
class StoredEntry:
    """An object: its name, the revision of its last change and its content."""

    name: str
    revision: int
    spec: bytes


@dataclass(frozen=True, slots=True)
class Changes:
    """Written objects, removed names and the revision that includes them."""

    written: tuple[StoredEntry, ...]
    removed: tuple[str, ...]
    revision: int


class _Metadata(msgspec.Struct):
    name: str
    revision: int = 0


class _Name(msgspec.Struct):
    name: str


class _Named(msgspec.Struct):
    metadata: _Name


class _Object(msgspec.Struct):
    metadata: _Metadata
    spec: msgspec.Raw = _NO_SPEC


class _Page(msgspec.Struct, rename='camel'):
    items: list[msgspec.Raw]
    store_revision: int
    has_more: bool = False


class _Event(msgspec.Struct):
    # Both field names are part of the store's protocol.
    object: msgspec.Raw
    removed: bool = False


class _Events(msgspec.Struct, rename='camel'):
    events: list[_Event]
    store_revision: int


class ObjectStore:
    """HTTP client for lists, watches and conditional writes.

    :param base_url: URL of the store, without the path ``/objects``.
    :param session: HTTP session; the caller closes it.
    """

    def __init__(self, base_url: str, session: aiohttp.ClientSession) -> None:
        self._base_url = base_url
        self._session = session

    async def list_objects(
        self, kind: str, timeout_s: float = CALL_TIMEOUT_S
    ) -> Changes:
        """Read all objects of a kind, page by page.

        :param kind: kind of objects.
        :param timeout_s: timeout of the call for each page in seconds.
        :returns: the objects, and the revision from which to watch.
        :raises StoreError: if a call fails or its answer is malformed.
        """
        entries: list[StoredEntry] = []
        after = ''
        revision = 0
        while True:
            query = {'after': after} if after else {}
            body = await self._request('GET', kind, timeout_s, params=query)
            page = _decode(body, _Page)
            # A watch from the first page's revision includes changes that were
            # made while later pages were read.
            revision = revision or page.store_revision
            entries.extend(filter(None, map(decode_entry, page.items)))
            if not page.has_more:
                return Changes(tuple(entries), (), revision)
            last_name = _last_name(page.items)
            # The store defines the order of names; only progress is checked.
            if last_name in {'', after}:
                raise StoreError('a page without a name to continue from')
            after = last_name

    async def watch(
        self,
        kind: str,
        revision: int,
        wait_ms: int,
        grace_s: float = WATCH_GRACE_S,
    ) -> Changes:
        """Wait for changes to objects of a kind.

        :param kind: kind of objects.
        :param revision: revision of the last known state.
        :param wait_ms: longest wait in milliseconds.
        :param grace_s: time for the way of the answer in seconds.
        :returns: the changes since the revision; empty if the wait ends first.
        :raises HistoryCompactedError: if the store no longer has the history
            since the revision.
        :raises StoreError: if the call fails or its answer is malformed.
        """
        query = {'watch': str(revision), 'waitMs': str(wait_ms)}
        timeout_s = wait_ms / 1000 + grace_s
        body = await self._request('GET', kind, timeout_s, params=query)
        answer = _decode(body, _Events)
        written = []
        removed = []
        for event in answer.events:
            entry = decode_entry(event.object)
            if entry is None:
                continue
            if event.removed:
                removed.append(entry.name)
                written = [item for item in written if item.name != entry.name]
            else:
                written.append(entry)
                removed = [name for name in removed if name != entry.name]
        return Changes(tuple(written), tuple(removed), answer.store_revision)

    async def create(self, kind: str, name: str, spec: Any) -> None:
        """Create an object.

        :param kind: kind of objects.
        :param name: name of the object.
        :param spec: content, as JSON values.
        :raises StoreConflictError: if the object exists already.
        :raises StoreError: if it is unknown whether it was created.
        """
        body = {'metadata': {'name': name}, 'spec': spec}
        await self._request('POST', kind, json=body)

    async def replace(self, kind: str, entry: StoredEntry, spec: Any) -> None:
        """Replace an object if its revision is unchanged.

        :param kind: kind of objects.
        :param entry: the object as it was read.
        :param spec: new content, as JSON values.
        :raises StoreConflictError: if the object has changed since.
        :raises StoreError: if it is unknown whether it was replaced.
        """
        metadata = {'name': entry.name, 'revision': entry.revision}
        body = {'metadata': metadata, 'spec': spec}
        await self._request('PUT', f'{kind}/{entry.name}', json=body)

    async def write_status(self, kind: str, name: str, status: Any) -> None:
        """Write the status of an object, whatever its revision.

        :param kind: kind of objects.
        :param name: name of the object.
        :param status: status, as JSON values.
        :raises StoreError: if it is unknown whether it was written.
        """
        body = {'metadata': {'name': name}, 'status': status}
        await self._request('PUT', f'{kind}/{name}/status', json=body)

    async def delete(self, kind: str, entry: StoredEntry) -> None:
        """Delete an object if its revision is unchanged.

        :param kind: kind of objects.
        :param entry: the object as it was read.
        :raises StoreConflictError: if the object has changed since.
        :raises StoreError: if it is unknown whether it was deleted.
        """
        query = {'revision': str(entry.revision)}
        await self._request('DELETE', f'{kind}/{entry.name}', params=query)

    async def _request(
        self,
        method: str,
        path: str,
        timeout_s: float = CALL_TIMEOUT_S,
        **options: Any,
    ) -> bytes:
        url = f'{self._base_url}/objects/{path}'
        try:
            async with (
                asyncio.timeout(timeout_s),
                self._session.request(method, url, **options) as response,
            ):
                status = response.status
                body = await _read_body(response)
        except _CALL_ERRORS as error:
            raise StoreError(f'{method} {path}: {error!r}') from error
        if status >= HTTPStatus.BAD_REQUEST:
            raise _ERROR_BY_STATUS.get(status, StoreError)(
                f'{method} {path}: status {status}',
            )
        return body


async def _read_body(response: aiohttp.ClientResponse) -> bytes:
    parts = []
    length = 0
    async for part in response.content.iter_any():
        length += len(part)
        if length > RESPONSE_BYTES_MAX:
            response.close()
            raise StoreError(f'answer larger than {RESPONSE_BYTES_MAX} bytes')
        parts.append(part)
    return b''.join(parts)


_ERROR_BY_STATUS = {
    HTTPStatus.CONFLICT: StoreConflictError,
    HTTPStatus.GONE: HistoryCompactedError,
}


def _decode(body: bytes, kind: type) -> Any:
    try:
        return msgspec.json.decode(body, type=kind)
    except MALFORMED_JSON as error:
        _log.warning(
            'unreadable values in an answer of the store, read as null',
            extra={'error': str(error)},
        )
    # One entry must not make the others unreadable.
    readable = replace_unreadable(cut_deep_values(body, CUT_DEPTH))
    try:
        return msgspec.json.decode(readable, type=kind)
    except MALFORMED_JSON as error:
        raise StoreError(f'malformed answer: {error}') from error


def decode_entry(raw: bytes) -> StoredEntry | None:
    """Decode an object, with its content as JSON text.

    :param raw: JSON text of the object.
    :returns: the entry; ``None`` if its metadata is unreadable. Content that
        is nested too deeply is read as ``null``.
    """
    try:
        stored = msgspec.json.decode(raw, type=_Object)
    except MALFORMED_JSON:
        # Another writer stored an object without readable metadata.
        return None
    metadata = stored.metadata
    spec = bytes(stored.spec)
    if is_too_deep(spec):
        _log.warning(
            'nested too deeply, read as null', extra={'object': metadata.name}
        )
        spec = _NO_SPEC
    return StoredEntry(metadata.name, metadata.revision, bytes(spec))


def _last_name(items: list[msgspec.Raw]) -> str:
    """Return the last readable name of a page; empty if there is none."""
    for raw in reversed(items):
        with suppress(*MALFORMED_JSON):
            return msgspec.json.decode(raw, type=_Named).metadata.name
    return ''
