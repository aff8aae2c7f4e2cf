"""Gateways that call the store for the others while turn stores do not.

Without them each of hundreds of gateways would call the store by itself once
no turn store confirms the documents.
"""

import asyncio
import random
import time
from collections.abc import Callable, Sequence
from functools import partial

from rattanvalve.channels import Address
from rattanvalve.counters import Counter, Metrics
from rattanvalve.errors import PeerError
from rattanvalve.peers import PeerPool
from rattanvalve.rendezvous import rank
from rattanvalve.sharedstate.documents import DocumentBoard, DocumentKind
from rattanvalve.sharedstate.exchange import EXCHANGED_KINDS, exchange_kind
from rattanvalve.sharedstate.staleness import StalenessBounds

__all__ = ('BACKUP_WATCHER_COUNT', 'BackupWatchers', 'GatewayExchange')

#: More than one, as the store may turn some VMs away.
BACKUP_WATCHER_COUNT = 3
#: Time for which a gateway that did not answer is passed over.
FAILED_TTL_S = 3.0
EXCHANGE_INTERVAL_S = 0.15
_KEY = 'backup watchers'


class BackupWatchers:
    """Chooses the backup watchers among the known gateways.

    :param own_address: address at which this gateway receives frames.
    :param known: returns the addresses of the other gateways.
    """

    def __init__(
        self,
        own_address: Address,
        known: Callable[[], Sequence[Address]],
    ) -> None:
        self._own_address = own_address
        self._known = known
        self._failed_until_s: dict[Address, float] = {}

    def is_backup(self, now_s: float) -> bool:
        """Return whether this gateway is a backup watcher.

        Gateways may briefly choose differently, which only adds calls.

        :param now_s: monotonic time in seconds.
        :returns: whether it ranks among the first of those that answer.
        """
        return self._own_address in self._first(now_s)

    def choose_peers(self, now_s: float) -> list[Address]:
        """Choose gateways to ask for documents.

        :param now_s: monotonic time in seconds.
        :returns: one backup watcher, and one more gateway, as any of them may
            have reached the store.
        """
        backups = [
            address
            for address in self._first(now_s)
            if address != self._own_address
        ]
        chosen = random.sample(backups, min(len(backups), 1))
        others = [
            address
            for address in self._answering(now_s)
            if address not in chosen
        ]
        return [*chosen, *random.sample(others, min(len(others), 1))]

    def record_failure(self, address: Address, now_s: float) -> None:
        """Pass over a gateway that did not answer for a while.

        :param address: address of the gateway.
        :param now_s: monotonic time in seconds.
        """
        self._failed_until_s[address] = now_s + FAILED_TTL_S

    def _first(self, now_s: float) -> list[Address]:
        by_host = {
            address.host: address
            for address in (*self._answering(now_s), self._own_address)
        }
        return [
            by_host[host] for host in rank(_KEY, by_host)[:BACKUP_WATCHER_COUNT]
        ]

    def _answering(self, now_s: float) -> list[Address]:
        return [
            address
            for address in self._known()
            if self._failed_until_s.get(address, now_s) <= now_s
        ]


class GatewayExchange:
    """Gets documents from other gateways while turn stores confirm none.

    :param backups: chooses the gateways.
    :param pool: connections to peers.
    :param board: documents of this process.
    :param bounds: bounds on the age of documents.
    :param metrics: counters.
    """

    def __init__(
        self,
        backups: BackupWatchers,
        pool: PeerPool,
        board: DocumentBoard,
        bounds: StalenessBounds,
        metrics: Metrics,
    ) -> None:
        self._backups = backups
        self._pool = pool
        self._board = board
        self._bounds = bounds
        self._metrics = metrics

    async def run(self) -> None:
        """Exchange the documents that get old until cancelled."""
        while True:
            now_s = time.monotonic()
            kinds = self._ageing_kinds(now_s)
            peers = self._backups.choose_peers(now_s) if kinds else ()
            await asyncio.gather(
                *(self._exchange(peer, kinds) for peer in peers)
            )
            await asyncio.sleep(EXCHANGE_INTERVAL_S * random.uniform(0.8, 1.2))

    def _ageing_kinds(self, now_s: float) -> list[DocumentKind]:
        return [
            kind
            for kind in EXCHANGED_KINDS
            if self._board.confirmation_age_s(kind, now_s)
            >= self._bounds.budget(kind).backup_age_s
        ]

    async def _exchange(
        self, peer: Address, kinds: Sequence[DocumentKind]
    ) -> None:
        try:
            for kind in kinds:
                await exchange_kind(
                    partial(self._pool.call, peer),
                    self._board,
                    self._metrics,
                    peer.host,
                    kind,
                )
        except PeerError:
            # Another gateway is asked in the next round.
            self._metrics.count(Counter.EXCHANGE_FAILED)
            self._backups.record_failure(peer, time.monotonic())
