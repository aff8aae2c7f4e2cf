"""Exchange of documents between the processes."""

import asyncio
import random
import time
from collections.abc import Awaitable, Callable, Sequence

from rattanvalve.channels import Address
from rattanvalve.counters import Counter, Metrics
from rattanvalve.errors import PeerError
from rattanvalve.messages import Ack, Document, Pull
from rattanvalve.peers import PeerPool
from rattanvalve.sharedstate.documents import DocumentBoard, DocumentKind
from rattanvalve.sharedstate.following import offer_document
from rattanvalve.sharedstate.reach import ReachTable

__all__ = ('EXCHANGED_KINDS', 'PeerExchange', 'document_handlers')

#: Stands for a document that was never confirmed.
AGE_MAX_MS = 1_000_000_000
#: How often a process compares its documents with those of some peers.
EXCHANGE_INTERVAL_S = 0.4
#: Turn stores up to which that interval holds; it grows in proportion beyond
#: to its limit, as the fleet that asks them grows with them.
EXCHANGE_MEMBERS = 9
EXCHANGE_INTERVAL_MAX_S = 1.0
EXCHANGE_PEERS = 2
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


class PeerExchange:
    """Compares documents with a few peers at a time, both ways.

    :param pool: connections to peers.
    :param peers: gives the addresses of the peers.
    :param board: documents of this process.
    :param metrics: counters.
    :param reach: notes which peers answer.
    :param watchers: gives the peers that watch the store; one of them is
        asked each time, so that changes are soon known.
    :param kinds: kinds of documents.
    """

    def __init__(
        self,
        pool: PeerPool,
        peers: Callable[[], Sequence[Address]],
        board: DocumentBoard,
        metrics: Metrics,
        reach: ReachTable,
        watchers: Callable[[], Sequence[Address]] = tuple,
        kinds: Sequence[DocumentKind] = EXCHANGED_KINDS,
    ) -> None:
        self._watchers = watchers
        self._kinds = kinds
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
        if not self._board.newest(DocumentKind.RULES).version:
            return SEARCH_INTERVAL_S
        growth = max(len(self._peers()) / EXCHANGE_MEMBERS, 1)
        return min(EXCHANGE_INTERVAL_S * growth, EXCHANGE_INTERVAL_MAX_S)

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
        watchers = self._watchers()
        watcher = random.sample(watchers, min(len(watchers), 1))
        others = [peer for peer in self._peers() if peer not in watcher]
        count = min(len(others), EXCHANGE_PEERS - len(watcher))
        return [*watcher, *random.sample(others, count)]

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
        for kind in self._kinds:
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
