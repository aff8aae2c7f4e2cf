"""Assembly of a turn store process from its components."""

import asyncio
import time

from rattanvalve.errors import SettingsError
from rattanvalve.logs import LogPart, part_logger
from rattanvalve.peer_server import PeerServer
from rattanvalve.peers import PeerPool
from rattanvalve.platform.nodefile import NodeSettings
from rattanvalve.platform.objects import ObjectStore
from rattanvalve.sharedstate.document_tasks import (
    create_exchange,
    create_monitor,
    peer_handlers,
    turn_store_followers,
)
from rattanvalve.sharedstate.documents import DocumentKind
from rattanvalve.sharedstate.endpoint_loads import LoadReports
from rattanvalve.sharedstate.exposition import MetricsPage, serve_metrics
from rattanvalve.sharedstate.object_follower import offer_document
from rattanvalve.sharedstate.request_crashes import CrashTable
from rattanvalve.sharedstate.shared_state import SharedState
from rattanvalve.sharedstate.tasks import run_tasks
from rattanvalve.turnstore.crashfile import CrashFile
from rattanvalve.turnstore.documentfiles import DocumentFiles
from rattanvalve.turnstore.endpointrates import EndpointRates
from rattanvalve.turnstore.membership import Membership, MembershipFacts
from rattanvalve.turnstore.memberstate import unix_ms
from rattanvalve.turnstore.rateshares import RateShares
from rattanvalve.turnstore.ratetransfers import TransferTask
from rattanvalve.turnstore.replica import Replica
from rattanvalve.turnstore.service import TurnService
from rattanvalve.turnstore.turnrecords import retention_max_ms

__all__ = ('TurnStoreProcess',)

SWEEP_INTERVAL_S = 5.0

_log = part_logger(LogPart.PROCESS)


class TurnStoreProcess:
    """A process that is a member of the turn store.

    :param node: settings of the platform.
    :param peer_secret: secret that authenticates frames between processes.
    :raises SettingsError: if no data folder is configured.
    """

    def __init__(self, node: NodeSettings, peer_secret: bytes) -> None:
        if node.data_folder is None:
            raise SettingsError('a turn store needs a data folder')
        self._node = node
        self._state = SharedState(node)
        self._shares = RateShares(node.name, self._state.metrics)
        self._endpoint_rates = EndpointRates(node.name)
        self._crashes = CrashTable()
        self._pool = PeerPool(peer_secret)
        self._peer_secret = peer_secret
        self._document_files = DocumentFiles(
            node.data_folder / 'documents',
            self._state.board,
        )
        self._crash_file = CrashFile(
            node.data_folder / 'documents' / 'crashes', self._crashes
        )
        self._replica = Replica(node, self._state, self._pool)
        self._service = TurnService(
            self._replica,
            self._shares,
            self._endpoint_rates,
            self._crashes,
            LoadReports() if node.has_contention else None,
        )
        self._state.board.subscribe(DocumentKind.RULES, self._configure_shares)
        self._state.board.subscribe(DocumentKind.MEMBERS, self._handle_members)

    async def run(self) -> None:
        """Serve until cancelled."""
        self.load()
        handlers = self._service.handlers() | peer_handlers(self._state)
        server = PeerServer(self._peer_secret, handlers, self._state.metrics)
        await server.start(self._node.peer_address)
        page = MetricsPage(self._state.metrics, self._state.board)
        metrics_server = await serve_metrics(page, self._node)
        _log.info('turn store started')
        try:
            await run_tasks(self._node.store, self._tasks)
        finally:
            await server.stop()
            metrics_server.close()
            self._pool.close()
            self._replica.turn_log.close()

    def load(self) -> None:
        """Read what earlier runs saved beside the records."""
        self._replica.load()
        for document in self._document_files.load():
            offer_document(
                self._state.board,
                document,
                'disk',
                self._state.metrics,
            )
        self._crash_file.load(time.time(), time.monotonic())

    def _tasks(self, store: ObjectStore) -> list:
        members, others = turn_store_followers(
            self._state,
            store,
            lambda: membership.needs_member_list(),
        )
        membership = Membership(
            self._node,
            store,
            members,
            self._replica.member_state,
            self._replica.view,
            self._membership_facts(),
        )
        kinds = tuple(DocumentKind)
        return [
            members.run,
            *(follower.run for follower in others),
            membership.run,
            create_exchange(self._state, self._pool, kinds).run,
            create_monitor(self._state, kinds).run,
            self._replica.replicator.run,
            TransferTask(
                self._shares, self._pool.call, self._state.metrics
            ).run,
            self._document_files.run,
            self._crash_file.run,
            self._sweep,
        ]

    def _membership_facts(self) -> MembershipFacts:
        return MembershipFacts(
            lambda: self._node.name in self._state.retired_names,
            self._state.watcher_rank,
            lambda: self._replica.replicator.pulled,
            self._complete_names,
            lambda: retention_max_ms(self._state.rules),
        )

    def _complete_names(self, epoch: int) -> frozenset[str]:
        epochs = self._service.complete_epochs | {
            self._node.name: self._replica.authority.complete_epoch
        }
        return frozenset(
            name for name, complete in epochs.items() if complete == epoch
        )

    def _configure_shares(self, body: bytes) -> None:
        self._shares.configure(
            self._state.rules,
            self._state.members,
            time.monotonic(),
        )

    def _handle_members(self, body: bytes) -> None:
        self._configure_shares(body)
        self._endpoint_rates.configure(self._state.members)

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            self._replica.sweep(time.time())
            self._replica.authority.expire_loss(
                unix_ms(), retention_max_ms(self._state.rules)
            )
            self._endpoint_rates.expire(time.monotonic())
            self._crashes.expire(time.monotonic())
