"""Periodic exchange of documents between processes (anti-entropy)."""

import asyncio
import math
import random
import time
from collections.abc import Awaitable, Callable, Sequence
from functools import partial
from typing import Any

from rattanvalve.channels import Address
from rattanvalve.counters import Counter, Metrics
from rattanvalve.errors import PeerError
from rattanvalve.messages import Ack, Document, Pull
from rattanvalve.peers import PeerPool
from rattanvalve.sharedstate.documents import DocumentBoard, DocumentKind
from rattanvalve.sharedstate.object_follower import offer_document
from rattanvalve.sharedstate.reachability import ReachTable
from rattanvalve.sharedstate.staleness import (
    EXCHANGE_INTERVAL_MAX_S,
    EXCHANGE_JITTER,
)

__all__ = (
    'EXCHANGED_KINDS',
    'PeerExchange',
    'document_handlers',
    'exchange_kind',
)

#: Age sent for a document that was never confirmed.
UNCONFIRMED_AGE_MS = 1_000_000_000
#: Interval at which a process compares its documents with a few peers.
EXCHANGE_INTERVAL_S = 0.4
#: Number of turn stores up to which the interval is constant. Above it, the
#: interval grows in proportion up to its maximum, as the number of processes
#: that call the turn stores grows with them.
EXCHANGE_BASE_MEMBERS = 9
EXCHANGE_PEERS = 2
#: Factor of the shortest random interval.
EXCHANGE_JITTER_MIN = 0.8
EXCHANGED_KINDS = (
    DocumentKind.RULES,
    DocumentKind.SERVERS,
    DocumentKind.MEMBERS,
)
EXCHANGE_TIMEOUT_S = 0.5
#: Interval at which a process that reaches too few peers probes the others.
PROBE_INTERVAL_S = 0.15
PROBE_TIMEOUT_S = 0.25
PROBE_PEERS = 12


class PeerExchange:
    """Synchronizes documents with a few peers at a time, in both directions.

    :param pool: connections to peers.
    :param peers: returns the addresses of the peers.
    :param board: documents of this process.
    :param metrics: counters.
    :param reach: records which peers answer.
    :param watchers: returns the peers that watch the store; each round
        includes one of them, so that changes spread quickly.
    :param kinds: kinds of documents to exchange.
    """

    #: Longest mean interval between two exchanges in seconds.
    interval_max_s = EXCHANGE_INTERVAL_MAX_S

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
        """Exchange documents and probe peers until cancelled."""
        await asyncio.gather(
            self._exchange_periodically(), self._probe_periodically()
        )

    async def _exchange_periodically(self) -> None:
        while True:
            pause_s = self._interval_s() * random.uniform(
                EXCHANGE_JITTER_MIN, EXCHANGE_JITTER
            )
            await asyncio.gather(
                asyncio.sleep(pause_s),
                *map(self._exchange, self._choose_peers()),
            )

    def _interval_s(self) -> float:
        """Return the exchange interval, a short one until it can serve."""
        needed = (DocumentKind.RULES, DocumentKind.MEMBERS)
        if not all(self._board.newest(kind).version for kind in needed):
            return PROBE_INTERVAL_S
        growth = max(len(self._peers()) / EXCHANGE_BASE_MEMBERS, 1)
        return min(EXCHANGE_INTERVAL_S * growth, self.interval_max_s)

    async def _probe_periodically(self) -> None:
        """Find peers quickly after a start or a loss of most of them."""
        while True:
            await asyncio.gather(*map(self._probe, self._choose_probed_peers()))
            await asyncio.sleep(PROBE_INTERVAL_S * random.uniform(0.8, 1.2))

    def _choose_probed_peers(self) -> Sequence[Address]:
        """Choose unreachable peers; none if most peers are reachable."""
        peers = self._peers()
        unreachable = self._reach.unreachable(peers, time.monotonic())
        if 2 * len(unreachable) < len(peers):
            return ()
        return random.sample(unreachable, min(len(unreachable), PROBE_PEERS))

    async def _probe(self, peer: Address) -> None:
        """Probe a peer by exchanging the smallest document."""
        exchange = self._exchange_kind(peer, DocumentKind.MEMBERS)
        await self._record_reachability(
            peer, asyncio.wait_for(exchange, PROBE_TIMEOUT_S)
        )

    def _choose_peers(self) -> Sequence[Address]:
        watchers = self._watchers()
        watcher = random.sample(watchers, min(len(watchers), 1))
        others = [peer for peer in self._peers() if peer not in watcher]
        count = min(len(others), EXCHANGE_PEERS - len(watcher))
        return [*watcher, *random.sample(others, count)]

    async def _exchange(self, peer: Address) -> None:
        if not await self._record_reachability(peer, self._exchange_all(peer)):
            # Not retried here, as other peers are called as well.
            self._metrics.count(Counter.EXCHANGE_FAILED)

    async def _record_reachability(
        self, peer: Address, exchange: Awaitable
    ) -> bool:
        """Await an exchange and record whether the peer answered.

        :returns: whether the peer answered in time.
        """
        try:
            await exchange
        except (PeerError, TimeoutError):
            self._reach.record_failure(peer, time.monotonic())
            return False
        self._reach.record_answer(peer, time.monotonic())
        return True

    async def _exchange_all(self, peer: Address) -> None:
        for kind in self._kinds:
            await self._exchange_kind(peer, kind)

    async def _exchange_kind(self, peer: Address, kind: DocumentKind) -> None:
        await exchange_kind(
            partial(self._pool.call, peer),
            self._board,
            self._metrics,
            peer.host,
            kind,
            is_member=True,
        )


async def exchange_kind(
    call: Callable[[Any, float], Awaitable[Any]],
    board: DocumentBoard,
    metrics: Metrics,
    peer_host: str,
    kind: DocumentKind,
    *,
    is_member: bool = False,
) -> None:
    """Synchronize one document with a peer, in both directions.

    :param call: sends a message to the peer and returns its answer, within a
        timeout in seconds.
    :param board: documents of this process.
    :param metrics: counters.
    :param peer_host: host of the peer, for the log.
    :param kind: kind of document.
    :param is_member: whether the peer is a turn store.
    :raises PeerError: if the peer does not answer.
    """
    ours = board.newest(kind)
    called_s = time.monotonic()
    theirs = await call(
        Pull(kind=kind, newer_than=ours.version), EXCHANGE_TIMEOUT_S
    )
    if not isinstance(theirs, Document):
        raise PeerError('no document in the answer to a pull')
    if theirs.version < ours.version:
        await call(ours, EXCHANGE_TIMEOUT_S)
        return
    if offer_document(board, theirs, peer_host, metrics):
        # The answer may have been under way since the call began.
        confirmed_s = called_s - theirs.age_ms / 1000
        board.confirm(kind, confirmed_s, is_from_member=is_member)


def document_handlers(board: DocumentBoard, metrics: Metrics) -> dict:
    """Create the handlers that answer the exchanges of peers.

    :param board: documents of this process.
    :param metrics: counters.
    :returns: handlers by message class.
    """

    async def answer_pull(message: Pull, send) -> None:
        newest = board.newest(message.kind)
        age_ms = board.confirmation_age_s(message.kind, time.monotonic()) * 1000
        is_newer = newest.version > message.newer_than
        await send(
            Document(
                kind=message.kind,
                version=newest.version,
                body=newest.body if is_newer else b'',
                age_ms=math.ceil(min(age_ms, UNCONFIRMED_AGE_MS)),
            ),
        )

    async def accept_document(message: Document, send) -> None:
        offer_document(board, message, 'peer', metrics)
        await send(Ack())

    return {Pull: answer_pull, Document: accept_document}
