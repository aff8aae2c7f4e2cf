"""Follows objects of the platform's store, and asks peers when it is away."""

import asyncio
import random
import time
from collections.abc import Awaitable, Callable, Iterable, Sequence

import msgspec

from rattanvalve.channels import Address
from rattanvalve.counters import Counter, Metrics
from rattanvalve.errors import (
    ConfigurationError,
    HistoryGoneError,
    PeerError,
    StoreError,
)
from rattanvalve.logs import LogPart, part_logger
from rattanvalve.messages import Ack, Document, Pull
from rattanvalve.peers import PeerPool
from rattanvalve.platform.objects import Changes, ObjectStore, StoredEntry
from rattanvalve.sharedstate.documents import DocumentBoard, DocumentKind
from rattanvalve.sharedstate.reach import ReachTable

__all__ = (
    'EXCHANGED_KINDS',
    'Assemble',
    'ObjectFollower',
    'PeerExchange',
    'document_handlers',
    'offer_document',
)

#: Wait of one watch, drawn anew each time, so that of several processes one
#: soon notices that its connection has gone silent.
WATCH_WAIT_MIN_MS = 2000
WATCH_WAIT_MAX_MS = 3500
#: A process that learns from peers calls the store itself if what the peers
#: know was confirmed longer ago. Longer than a watch with its grace.
FRESH_LIMIT_S = 5.0
FRESH_CHECK_INTERVAL_S = 0.25
#: Stands for a document that was never confirmed.
AGE_MAX_MS = 1_000_000_000
RETRY_FIRST_S = 0.1
RETRY_MAX_S = 0.5
#: The same for a process that usually learns from peers: while the store is
#: down, its calls would only add to those of the turn stores.
SPARE_RETRY_MAX_S = 2.0
#: How often a process compares its documents with those of some peers.
EXCHANGE_INTERVAL_S = 0.4
EXCHANGE_PEERS = 3
EXCHANGED_KINDS = (
    DocumentKind.RULES,
    DocumentKind.SERVERS,
    DocumentKind.MEMBERS,
)
EXCHANGE_TIMEOUT_S = 0.5
#: How often a process that reaches too few peers tries the others.
SEARCH_INTERVAL_S = 0.15
SEARCH_TIMEOUT_S = 0.25
SEARCH_PEERS = 12

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
    :param is_spare: whether the store is only called while the peers have
        not confirmed the document.
    """

    def __init__(
        self,
        store: ObjectStore,
        kind: str,
        document_kind: str,
        assemble: Assemble,
        board: DocumentBoard,
        metrics: Metrics,
        *,
        is_spare: bool = False,
    ) -> None:
        self.entries: dict[str, StoredEntry] = {}
        self._is_spare = is_spare
        self._store = store
        self._kind = kind
        self._document_kind = document_kind
        self._assemble = assemble
        self._board = board
        self._metrics = metrics
        self._revision = 0
        self._is_reached = False

    async def run(self) -> None:
        """Follow the objects until cancelled."""
        delay_s = RETRY_FIRST_S
        while True:
            await self._wait_needed()
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
        """Return whether the store answered the last call.

        :returns: whether it did.
        """
        return self._is_reached

    def _retry_max_s(self) -> float:
        return SPARE_RETRY_MAX_S if self._is_spare else RETRY_MAX_S

    async def _wait_needed(self) -> None:
        while self._is_spare and self._is_fresh():
            # What is read after a pause begins with a list.
            self._revision = 0
            await asyncio.sleep(FRESH_CHECK_INTERVAL_S)

    def _is_fresh(self) -> bool:
        age_s = self._board.age_s(self._document_kind, time.monotonic())
        return age_s < FRESH_LIMIT_S

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


class PeerExchange:
    """Compares documents with a few random peers at a time, both ways.

    :param pool: connections to peers.
    :param peers: gives the addresses of the peers.
    :param board: documents of this process.
    :param metrics: counters.
    :param reach: notes which peers answer.
    """

    def __init__(
        self,
        pool: PeerPool,
        peers: Callable[[], Sequence[Address]],
        board: DocumentBoard,
        metrics: Metrics,
        reach: ReachTable,
    ) -> None:
        self._reach = reach
        self._pool = pool
        self._peers = peers
        self._board = board
        self._metrics = metrics

    async def run(self) -> None:
        """Exchange until cancelled."""
        await asyncio.gather(self._exchange_often(), self._search_often())

    async def _exchange_often(self) -> None:
        while True:
            pause_s = self._interval_s() * random.uniform(0.8, 1.2)
            await asyncio.gather(
                asyncio.sleep(pause_s),
                *map(self._exchange, self._chosen()),
            )

    def _interval_s(self) -> float:
        """Exchange more often as long as there are no rules to work by."""
        has_rules = bool(self._board.newest(DocumentKind.RULES).version)
        return EXCHANGE_INTERVAL_S if has_rules else SEARCH_INTERVAL_S

    async def _search_often(self) -> None:
        """Look for peers soon after a start or a loss of most of them."""
        while True:
            await asyncio.gather(*map(self._probe, self._missing()))
            await asyncio.sleep(SEARCH_INTERVAL_S * random.uniform(0.8, 1.2))

    def _missing(self) -> Sequence[Address]:
        """Choose unreached peers, unless most peers are reached."""
        peers = self._peers()
        unreached = self._reach.unreached(peers, time.monotonic())
        if 2 * len(unreached) < len(peers):
            return ()
        return random.sample(unreached, min(len(unreached), SEARCH_PEERS))

    async def _probe(self, peer: Address) -> None:
        """Exchange the smallest document."""
        exchange = self._exchange_kind(peer, DocumentKind.MEMBERS)
        await self._observed(peer, asyncio.wait_for(exchange, SEARCH_TIMEOUT_S))

    def _chosen(self) -> Sequence[Address]:
        peers = self._peers()
        return random.sample(peers, min(len(peers), EXCHANGE_PEERS))

    async def _exchange(self, peer: Address) -> None:
        if not await self._observed(peer, self._exchange_all(peer)):
            # Other peers are asked as well.
            self._metrics.count(Counter.EXCHANGE_FAILED)

    async def _observed(self, peer: Address, exchange: Awaitable) -> bool:
        """Note whether a peer answered."""
        try:
            await exchange
        except (PeerError, TimeoutError):
            self._reach.note_failure(peer, time.monotonic())
            return False
        self._reach.note_answer(peer, time.monotonic())
        return True

    async def _exchange_all(self, peer: Address) -> None:
        for kind in EXCHANGED_KINDS:
            await self._exchange_kind(peer, kind)

    async def _exchange_kind(self, peer: Address, kind: DocumentKind) -> None:
        ours = self._board.newest(kind)
        theirs = await self._pool.call(
            peer,
            Pull(kind=kind, newer_than=ours.version),
            EXCHANGE_TIMEOUT_S,
        )
        if not isinstance(theirs, Document):
            raise PeerError('no document in the answer to a pull')
        now_s = time.monotonic()
        if theirs.version < ours.version:
            await self._pool.call(peer, ours, EXCHANGE_TIMEOUT_S)
            return
        if theirs.version > ours.version:
            offer_document(self._board, theirs, peer.host, self._metrics)
        self._board.confirm(kind, now_s - theirs.age_ms / 1000)


def document_handlers(board: DocumentBoard, metrics: Metrics) -> dict:
    """Give the handlers with which a process takes part in the exchange.

    :param board: documents of this process.
    :param metrics: counters.
    :returns: handlers by class of message.
    """

    async def pull(message: Pull, send) -> None:
        newest = board.newest(message.kind)
        age_ms = board.age_s(message.kind, time.monotonic()) * 1000
        is_newer = newest.version > message.newer_than
        await send(
            Document(
                kind=message.kind,
                version=newest.version,
                body=newest.body if is_newer else b'',
                age_ms=int(min(age_ms, AGE_MAX_MS)),
            ),
        )

    async def take(message: Document, send) -> None:
        offer_document(board, message, 'peer', metrics)
        await send(Ack())

    return {Pull: pull, Document: take}
