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
from rattanvalve.sharedstate.exposition import MetricsPage, serve_metrics
from rattanvalve.sharedstate.members import MembersView, StoreMember
from rattanvalve.sharedstate.object_follower import offer_document
from rattanvalve.sharedstate.request_crashes import CrashTable
from rattanvalve.sharedstate.shared_state import SharedState
from rattanvalve.sharedstate.tasks import run_tasks
from rattanvalve.turnstore.crashfile import CrashFile
from rattanvalve.turnstore.disklog import DiskLog
from rattanvalve.turnstore.documentfiles import DocumentFiles
from rattanvalve.turnstore.durablefiles import replace_file
from rattanvalve.turnstore.endpointrates import EndpointRates
from rattanvalve.turnstore.membership import Membership
from rattanvalve.turnstore.placement import RecordPlacement
from rattanvalve.turnstore.rateshares import RateShares
from rattanvalve.turnstore.replication import Replicator, is_caught_up
from rattanvalve.turnstore.service import TurnService
from rattanvalve.turnstore.turnlog import TurnLog

__all__ = ('TurnStoreProcess',)

SWEEP_INTERVAL_S = 5.0
#: Marker file: this store has once caught up with all records it must have.
_COMPLETE_MARKER_NAME = 'complete'

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
        self._turn_log = TurnLog(DiskLog(node.data_folder / 'turns'))
        self._shares = RateShares(node.name)
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
        self._complete_marker = node.data_folder / _COMPLETE_MARKER_NAME
        self._is_complete = self._complete_marker.exists()
        # Assumed until the first list of members arrives.
        self._is_former_member = True
        placement = RecordPlacement(self._view, node.lost_disks_max)
        self._service = TurnService(
            self._turn_log,
            self._shares,
            self._endpoint_rates,
            self._crashes,
            lambda: self._is_complete,
            placement,
        )
        self._replicator = Replicator(
            node.name,
            self._turn_log,
            self._pool,
            self._view,
            placement,
            self._update_completeness,
        )
        self._state.board.subscribe(DocumentKind.RULES, self._configure_shares)
        self._state.board.subscribe(DocumentKind.MEMBERS, self._handle_members)

    async def run(self) -> None:
        """Serve until cancelled."""
        if self._node.is_first_start and not self._is_complete:
            # On a first start all disks are empty, so no record can be missing.
            self._mark_complete()
        for document in self._document_files.load():
            offer_document(
                self._state.board,
                document,
                'disk',
                self._state.metrics,
            )
        self._crash_file.load(time.time(), time.monotonic())
        handlers = self._service.handlers() | peer_handlers(self._state)
        server = PeerServer(self._peer_secret, handlers, self._state.metrics)
        await server.start(self._node.peer_address)
        page = MetricsPage(self._state.metrics, self._state.board)
        metrics_server = await serve_metrics(page, self._node)
        _log.info(
            'turn store started',
            extra={
                'records': len(self._turn_log.index),
                'is_complete': self._is_complete,
            },
        )
        try:
            await run_tasks(self._node.store, self._tasks)
        finally:
            await server.stop()
            metrics_server.close()
            self._pool.close()
            self._turn_log.close()

    def _tasks(self, store: ObjectStore) -> list:
        own = StoreMember(
            name=self._node.name,
            address=self._node.peer_address,
            zone=self._node.zone,
        )
        members, others = turn_store_followers(
            self._state,
            store,
            lambda: membership.needs_member_objects(),
        )
        membership = Membership(
            own,
            store,
            members,
            lambda: self._node.name in self._state.retired_names,
            self._view,
            lambda: self._replicator.pulled,
            self._service.pulled_versions,
        )
        kinds = tuple(DocumentKind)
        return [
            members.run,
            *(follower.run for follower in others),
            membership.run,
            create_exchange(self._state, self._pool, kinds).run,
            create_monitor(self._state, kinds).run,
            self._replicator.run,
            self._document_files.run,
            self._crash_file.run,
            self._sweep,
        ]

    def _view(self) -> MembersView:
        return MembersView(self._state.members_version, self._state.members)

    def _configure_shares(self, body: bytes) -> None:
        self._shares.configure(
            self._state.rules,
            self._state.members,
            time.monotonic(),
        )

    def _handle_members(self, body: bytes) -> None:
        if not self._state.members_version:
            names = {member.name for member in self._state.members}
            self._is_former_member = self._node.name in names
        self._configure_shares(body)
        self._endpoint_rates.configure(self._state.members)

    async def _update_completeness(self) -> None:
        if self._is_complete:
            return
        has_caught_up = is_caught_up(
            self._node.name,
            self._is_former_member,
            self._view(),
            self._replicator.pulled,
            self._node.lost_disks_max,
        )
        if has_caught_up:
            self._mark_complete()

    def _mark_complete(self) -> None:
        replace_file(self._complete_marker, b'')
        self._is_complete = True
        _log.info(
            'turn store complete',
            extra={'records': len(self._turn_log.index)},
        )

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            self._turn_log.sweep(time.time())
            self._endpoint_rates.expire(time.monotonic())
            self._crashes.expire(time.monotonic())
