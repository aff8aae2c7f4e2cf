"""Derives documents from the objects of the platform's store."""

import asyncio
import math
import random
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from rattanvalve.counters import Counter, Metrics
from rattanvalve.errors import (
    ConfigurationError,
    HistoryCompactedError,
    StoreError,
)
from rattanvalve.logs import LogPart, part_logger
from rattanvalve.messages import Document
from rattanvalve.platform.malformed import MALFORMED_JSON
from rattanvalve.platform.objects import (
    CALL_TIMEOUT_S,
    Changes,
    ObjectStore,
    StoredEntry,
)
from rattanvalve.sharedstate.documents import DocumentBoard, DocumentKind
from rattanvalve.sharedstate.staleness import (
    WATCH_WAIT_SHARE_MIN,
    StalenessBudget,
)

__all__ = (
    'DocumentBuilder',
    'FollowedKind',
    'ObjectFollower',
    'offer_document',
)

#: Longest and shortest interval at which a process that gets documents from
#: peers checks their age.
CONFIRMATION_CHECK_MAX_S = 0.25
CONFIRMATION_CHECK_MIN_S = 0.02
#: Shortest wait of a watch.
WATCH_WAIT_MIN_S = 0.05
#: How long a starting process waits for its peers before it calls the store;
#: otherwise all processes would call it at once after a power loss.
STARTUP_WAIT_S = 1.0
RETRY_FIRST_S = 0.1
#: Number of failures after which the time for an answer grows no more.
GRACE_DOUBLINGS_MAX = 2
RETRY_MAX_S = 0.5
#: Maximum retry delay of a process that is no watcher, as a share of the bound.
#: It is longer, as calls beyond those of the watchers only add load while the
#: store is down.
FALLBACK_RETRY_SHARE = 0.5
_UNREADABLE = (ConfigurationError, *MALFORMED_JSON)

_log = part_logger(LogPart.CONFIG)

DocumentBuilder = Callable[[Iterable[StoredEntry], int], Document | None]


@dataclass(frozen=True, slots=True)
class FollowedKind:
    """A kind of objects and the document that is derived from them.

    ``build_document`` builds the document from all objects and the revision
    of the store. It returns ``None`` if there is no document yet, and raises
    ``ConfigurationError`` if there is one that cannot be read.
    """

    object_kind: str
    document_kind: DocumentKind
    build_document: DocumentBuilder


class ObjectFollower:
    """Updates one document from the objects of one kind.

    :param store: client of the store.
    :param followed: kind of the objects and their document.
    :param board: board to which the document is offered.
    :param metrics: counters.
    :param budget: times that keep the document within the bound on its age.
    :param is_watcher: returns whether this process watches the store; others
        call the store only while peers do not confirm the document.
    """

    def __init__(
        self,
        store: ObjectStore,
        followed: FollowedKind,
        board: DocumentBoard,
        metrics: Metrics,
        budget: StalenessBudget,
        is_watcher: Callable[[], bool],
    ) -> None:
        self._budget = budget
        self.entries: dict[str, StoredEntry] = {}
        self._is_watcher = is_watcher
        self._store = store
        self._kind = followed.object_kind
        self._document_kind = followed.document_kind
        self._build_document = followed.build_document
        self._board = board
        self._metrics = metrics
        self._revision = 0
        self._is_synchronized = False
        self._has_called_store = False
        #: Whether the newest document could not be decoded.
        self._is_refused = False
        #: Number of failed calls since the last one that succeeded.
        self._failure_count = 0

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
                self._failure_count = 0

    def is_synchronized(self) -> bool:
        """Return whether the entries reflect the store.

        :returns: whether the last call of the store succeeded and following
            is not paused.
        """
        return self._is_synchronized

    def _retry_max_s(self) -> float:
        if self._is_watcher():
            return RETRY_MAX_S
        return self._budget.bound_s * FALLBACK_RETRY_SHARE

    async def _wait_until_needed(self) -> None:
        started_s = time.monotonic()
        while not self._is_watcher():
            now_s = time.monotonic()
            ageing_s = self._budget.call_age_s - self._age_s(now_s)
            is_starting = (
                not self._has_called_store
                and now_s - started_s < STARTUP_WAIT_S
            )
            if ageing_s <= 0 and not is_starting:
                return
            # After a pause the objects are listed again.
            self._revision = 0
            self._is_synchronized = False
            pause_s = min(ageing_s, CONFIRMATION_CHECK_MAX_S)
            await asyncio.sleep(max(pause_s, CONFIRMATION_CHECK_MIN_S))

    def _age_s(self, now_s: float) -> float:
        return self._board.confirmation_age_s(self._document_kind, now_s)

    async def _advance(self) -> None:
        if self._revision:
            await self._watch()
        else:
            await self._list()

    async def _list(self) -> None:
        called_s = time.monotonic()
        changes = await self._store.list_objects(
            self._kind, min(self._grace_s(), CALL_TIMEOUT_S)
        )
        self.entries.clear()
        self._mark_synchronized(changes)
        self._apply(changes, called_s)

    async def _watch(self) -> None:
        called_s = time.monotonic()
        wait_ms = self._watch_wait_ms(called_s)
        changes = await self._store.watch(
            self._kind, self._revision, wait_ms, self._grace_s()
        )
        self._mark_synchronized(changes)
        is_empty = not (changes.written or changes.removed)
        if is_empty and time.monotonic() - called_s >= wait_ms / 1000:
            # The store answered at the end of the wait.
            called_s += wait_ms / 1000
        self._apply(changes, called_s)

    def _watch_wait_ms(self, now_s: float) -> int:
        """Choose the wait of a watch, a short one after one with changes.

        The store answered that one at an unknown time since its call, so the
        confirmation is as old as that call.
        """
        longest_s = self._budget.watch_wait_s * random.uniform(
            WATCH_WAIT_SHARE_MIN, 1
        )
        if not self._is_refused:
            longest_s -= self._age_s(now_s)
        wait_s = max(longest_s, WATCH_WAIT_MIN_S)
        return math.ceil(wait_s * 1000)

    def _grace_s(self) -> float:
        """Return the time for an answer, longer after each failure.

        A store that is slow is still followed, later than its bound.
        """
        factor = 2 ** min(self._failure_count, GRACE_DOUBLINGS_MAX)
        return self._budget.call_timeout_s * factor

    def _apply(self, changes: Changes, confirmed_s: float) -> None:
        for name in changes.removed:
            self.entries.pop(name, None)
        for entry in changes.written:
            self.entries[entry.name] = entry
        is_full_list = not self._revision
        self._revision = max(self._revision, changes.revision)
        if changes.written or changes.removed or is_full_list:
            self._is_refused = not self._offer(changes.revision)
        if not self._is_refused:
            self._board.confirm(self._document_kind, confirmed_s)

    def _offer(self, revision: int) -> bool:
        """Offer the document of the current entries.

        :returns: whether the board has it, or there is none.
        """
        try:
            document = self._build_document(self.entries.values(), revision)
        except ConfigurationError as error:
            _log_refused(self._document_kind, error)
            return False
        return document is None or offer_document(
            self._board, document, 'store', self._metrics
        )

    def _mark_synchronized(self, changes: Changes) -> None:
        if not self._is_synchronized:
            self._is_synchronized = True
            _log.info(
                'store reached',
                extra={'kind': self._kind, 'revision': changes.revision},
            )

    def _mark_unreachable(self, error: StoreError) -> None:
        self._metrics.count(Counter.STORE_ERROR)
        self._failure_count += 1
        self._board.record_failure(self._document_kind, time.monotonic())
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
) -> bool:
    """Offer a document to the board and log the result.

    A document that cannot be decoded is logged and dropped.

    :param board: documents of this process.
    :param document: document to offer.
    :param source: origin of the document, for the log.
    :param metrics: counters.
    :returns: whether the board has this document or a newer one.
    """
    known_version = board.newest(document.kind).version
    try:
        is_adopted = board.offer(document)
    except _UNREADABLE as error:
        _log_refused(document.kind, error)
        return False
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
    return True


def _log_refused(kind: str, error: Exception) -> None:
    _log.warning(
        'document refused', extra={'kind': str(kind), 'error': str(error)}
    )
