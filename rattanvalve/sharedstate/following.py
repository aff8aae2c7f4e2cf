"""Follows objects of the platform's store as documents."""

import asyncio
import random
import time
from collections.abc import Callable, Iterable

import msgspec

from rattanvalve.counters import Counter, Metrics
from rattanvalve.errors import (
    ConfigurationError,
    HistoryGoneError,
    StoreError,
)
from rattanvalve.logs import LogPart, part_logger
from rattanvalve.messages import Document
from rattanvalve.platform.objects import Changes, ObjectStore, StoredEntry
from rattanvalve.sharedstate.documents import DocumentBoard

__all__ = ('Assemble', 'ObjectFollower', 'offer_document')

#: Wait of one watch, drawn anew each time, so that of several processes one
#: soon notices that its connection has gone silent.
WATCH_WAIT_MIN_MS = 2000
WATCH_WAIT_MAX_MS = 3500
#: A process that learns from peers calls the store itself if what the peers
#: know was confirmed longer ago. Longer than a watch with its grace.
FRESH_LIMIT_S = 5.0
FRESH_CHECK_INTERVAL_S = 0.25
#: How long a process that starts waits for the peers before it calls the
#: store: after a loss of power all would call it at once.
FIRST_WAIT_S = 1.0
RETRY_FIRST_S = 0.1
RETRY_MAX_S = 0.5
#: The same for a process that usually learns from peers: while the store is
#: down, its calls would only add to those of the turn stores.
SPARE_RETRY_MAX_S = 2.0
_log = part_logger(LogPart.CONFIG)

Assemble = Callable[[Iterable[StoredEntry], int], Document | None]


class ObjectFollower:
    """Keeps one document in line with the objects of one kind.

    :param store: client of the store.
    :param kind: kind of objects.
    :param document_kind: kind of the document.
    :param assemble: builds the document from all objects and the revision of
        the store; ``None`` if there is no document yet.
    :param board: where the document is offered.
    :param metrics: counters.
    :param is_watcher: whether this process watches the store; others call
        it only while the peers have not confirmed the document.
    """

    def __init__(
        self,
        store: ObjectStore,
        kind: str,
        document_kind: str,
        assemble: Assemble,
        board: DocumentBoard,
        metrics: Metrics,
        is_watcher: Callable[[], bool],
    ) -> None:
        self.entries: dict[str, StoredEntry] = {}
        self._is_watcher = is_watcher
        self._store = store
        self._kind = kind
        self._document_kind = document_kind
        self._assemble = assemble
        self._board = board
        self._metrics = metrics
        self._revision = 0
        self._is_reached = False
        self._has_called = False

    async def run(self) -> None:
        """Follow the objects until cancelled."""
        delay_s = RETRY_FIRST_S
        while True:
            await self._wait_needed()
            self._has_called = True
            try:
                await self._advance()
            except HistoryGoneError:
                # The history is gone, so all objects are read anew.
                self._revision = 0
            except StoreError as error:
                self._note_lost(error)
                await asyncio.sleep(delay_s * random.uniform(0.5, 1))
                delay_s = min(self._retry_max_s(), delay_s * 2)
            else:
                delay_s = RETRY_FIRST_S

    def is_reached(self) -> bool:
        """Return whether the objects are followed and known.

        :returns: whether the store answered the last call a moment ago.
        """
        return self._is_reached

    def _retry_max_s(self) -> float:
        return RETRY_MAX_S if self._is_watcher() else SPARE_RETRY_MAX_S

    async def _wait_needed(self) -> None:
        started_s = time.monotonic()
        while self._is_waiting(started_s) and not self._is_watcher():
            # What is read after a pause begins with a list.
            self._revision = 0
            self._is_reached = False
            await asyncio.sleep(FRESH_CHECK_INTERVAL_S)

    def _is_waiting(self, started_s: float) -> bool:
        """Tell whether the peers confirm the document, or may do so soon."""
        now_s = time.monotonic()
        age_s = self._board.age_s(self._document_kind, now_s)
        is_first = not self._has_called and now_s - started_s < FIRST_WAIT_S
        return is_first or age_s < FRESH_LIMIT_S

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
        self._note_reached(changes)
        self._apply(changes)
        self._board.confirm(self._document_kind, time.monotonic())

    def _apply(self, changes: Changes) -> None:
        for name in changes.removed:
            self.entries.pop(name, None)
        for entry in changes.written:
            self.entries[entry.name] = entry
        is_first = not self._revision
        self._revision = max(self._revision, changes.revision)
        if not (changes.written or changes.removed or is_first):
            return
        document = self._assemble(self.entries.values(), changes.revision)
        if document is None:
            return
        offer_document(self._board, document, 'store', self._metrics)

    def _note_reached(self, changes: Changes) -> None:
        if not self._is_reached:
            self._is_reached = True
            _log.info(
                'store reached',
                extra={'kind': self._kind, 'revision': changes.revision},
            )

    def _note_lost(self, error: StoreError) -> None:
        self._metrics.count(Counter.STORE_ERROR)
        self._board.doubt(self._document_kind)
        if self._is_reached:
            self._is_reached = False
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
    """Offer a document to the board and log what comes of it.

    :param board: where documents are kept.
    :param document: the document.
    :param source: where it came from, for the log.
    :param metrics: counters.
    """
    known = board.newest(document.kind).version
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
                'former_version': known,
                'source': source,
            },
        )
