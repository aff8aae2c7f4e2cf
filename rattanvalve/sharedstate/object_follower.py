"""Derives documents from the objects of the platform's store."""

import asyncio
import random
import time
from collections.abc import Callable, Iterable

import msgspec

from rattanvalve.counters import Counter, Metrics
from rattanvalve.errors import (
    ConfigurationError,
    HistoryCompactedError,
    StoreError,
)
from rattanvalve.logs import LogPart, part_logger
from rattanvalve.messages import Document
from rattanvalve.platform.objects import Changes, ObjectStore, StoredEntry
from rattanvalve.sharedstate.documents import DocumentBoard

__all__ = ('DocumentBuilder', 'ObjectFollower', 'offer_document')

#: Bounds of the wait of one watch. Each wait is random, so that of several
#: processes one soon detects a connection that no longer responds.
WATCH_WAIT_MIN_MS = 2000
WATCH_WAIT_MAX_MS = 3500
#: A process that gets documents from peers calls the store itself if the last
#: confirmation is older. Longer than a watch including its grace time.
CONFIRMATION_AGE_MAX_S = 5.0
CONFIRMATION_CHECK_INTERVAL_S = 0.25
#: How long a starting process waits for its peers before it calls the store;
#: otherwise all processes would call it at once after a power loss.
STARTUP_WAIT_S = 1.0
RETRY_FIRST_S = 0.1
RETRY_MAX_S = 0.5
#: Maximum retry delay of a process that is no watcher. It is longer, as calls
#: beyond those of the watching turn stores only add load while the store is
#: down.
FALLBACK_RETRY_MAX_S = 2.0
_log = part_logger(LogPart.CONFIG)

DocumentBuilder = Callable[[Iterable[StoredEntry], int], Document | None]


class ObjectFollower:
    """Updates one document from the objects of one kind.

    :param store: client of the store.
    :param kind: kind of the objects.
    :param document_kind: kind of the document.
    :param build_document: builds the document from all objects and the
        revision of the store; returns ``None`` if there is no document yet.
    :param board: board to which the document is offered.
    :param metrics: counters.
    :param is_watcher: returns whether this process watches the store; others
        call the store only while peers do not confirm the document.
    """

    def __init__(
        self,
        store: ObjectStore,
        kind: str,
        document_kind: str,
        build_document: DocumentBuilder,
        board: DocumentBoard,
        metrics: Metrics,
        is_watcher: Callable[[], bool],
    ) -> None:
        self.entries: dict[str, StoredEntry] = {}
        self._is_watcher = is_watcher
        self._store = store
        self._kind = kind
        self._document_kind = document_kind
        self._build_document = build_document
        self._board = board
        self._metrics = metrics
        self._revision = 0
        self._is_synchronized = False
        self._has_called_store = False

    async def run(self) -> None:
        """Follow the objects until cancelled."""
        delay_s = RETRY_FIRST_S
        while True:
            await self._wait_until_needed()
            self._has_called_store = True
            try:
                await self._advance()
            except HistoryCompactedError:
                # The store no longer has the changes since this revision, so
                # all objects are listed again.
                self._revision = 0
            except StoreError as error:
                self._mark_unreachable(error)
                await asyncio.sleep(delay_s * random.uniform(0.5, 1))
                delay_s = min(self._retry_max_s(), delay_s * 2)
            else:
                delay_s = RETRY_FIRST_S

    def is_synchronized(self) -> bool:
        """Return whether the entries reflect the store.

        :returns: whether the last call of the store succeeded and following
            is not paused.
        """
        return self._is_synchronized

    def _retry_max_s(self) -> float:
        return RETRY_MAX_S if self._is_watcher() else FALLBACK_RETRY_MAX_S

    async def _wait_until_needed(self) -> None:
        started_s = time.monotonic()
        while self._can_rely_on_peers(started_s) and not self._is_watcher():
            # After a pause the objects are listed again.
            self._revision = 0
            self._is_synchronized = False
            await asyncio.sleep(CONFIRMATION_CHECK_INTERVAL_S)

    def _can_rely_on_peers(self, started_s: float) -> bool:
        """Check whether peers confirm the document, or may do so soon."""
        now_s = time.monotonic()
        age_s = self._board.confirmation_age_s(self._document_kind, now_s)
        is_starting = (
            not self._has_called_store and now_s - started_s < STARTUP_WAIT_S
        )
        return is_starting or age_s < CONFIRMATION_AGE_MAX_S

    async def _advance(self) -> None:
        if self._revision:
            changes = await self._store.watch(
                self._kind,
                self._revision,
                random.randint(WATCH_WAIT_MIN_MS, WATCH_WAIT_MAX_MS),
            )
        else:
            changes = await self._store.list_objects(self._kind)
            self.entries.clear()
        self._mark_synchronized(changes)
        self._apply(changes)
        self._board.confirm(self._document_kind, time.monotonic())

    def _apply(self, changes: Changes) -> None:
        for name in changes.removed:
            self.entries.pop(name, None)
        for entry in changes.written:
            self.entries[entry.name] = entry
        is_full_list = not self._revision
        self._revision = max(self._revision, changes.revision)
        if not (changes.written or changes.removed or is_full_list):
            return
        document = self._build_document(self.entries.values(), changes.revision)
        if document is None:
            return
        offer_document(self._board, document, 'store', self._metrics)

    def _mark_synchronized(self, changes: Changes) -> None:
        if not self._is_synchronized:
            self._is_synchronized = True
            _log.info(
                'store reached',
                extra={'kind': self._kind, 'revision': changes.revision},
            )

    def _mark_unreachable(self, error: StoreError) -> None:
        self._metrics.count(Counter.STORE_ERROR)
        self._board.invalidate(self._document_kind)
        if self._is_synchronized:
            self._is_synchronized = False
            _log.warning(
                'store lost',
                extra={'kind': self._kind, 'error': str(error)},
            )


def offer_document(
    board: DocumentBoard,
    document: Document,
    source: str,
    metrics: Metrics,
) -> None:
    """Offer a document to the board and log the result.

    A document that cannot be decoded is logged and dropped.

    :param board: documents of this process.
    :param document: document to offer.
    :param source: origin of the document, for the log.
    :param metrics: counters.
    """
    known_version = board.newest(document.kind).version
    try:
        is_adopted = board.offer(document)
    except (ConfigurationError, msgspec.DecodeError) as error:
        _log.warning(
            'document refused',
            extra={'kind': document.kind, 'error': str(error)},
        )
        return
    if is_adopted:
        metrics.count(Counter.CONFIG_ADOPTED)
        _log.info(
            'document adopted',
            extra={
                'kind': str(document.kind),
                'version': document.version,
                'former_version': known_version,
                'source': source,
            },
        )
