"""Assembly, start and graceful stop of a gateway process."""

import asyncio
import time
from contextlib import AsyncExitStack, suppress

from aiohttp import web

from rattanvalve.errors import SettingsError
from rattanvalve.gateway.attempts import Attempts
from rattanvalve.gateway.balancing.assembly import (
    build_chooser,
    build_explainer,
)
from rattanvalve.gateway.endpoint_tables import EndpointTables
from rattanvalve.gateway.forwarding import Forwarder
from rattanvalve.gateway.ingress import Ingress
from rattanvalve.gateway.listening import (
    ListeningSocket,
    caller_server,
    create_guards,
    listen,
    readiness_server,
)
from rattanvalve.gateway.member_calls import MemberCalls
from rattanvalve.gateway.observation_exchange import ObservationExchange
from rattanvalve.gateway.relays import RelayService
from rattanvalve.gateway.turn_cache import create_cache
from rattanvalve.gateway.turn_client import TurnClient
from rattanvalve.gateway.turns import TurnManager
from rattanvalve.logs import LogPart, part_logger
from rattanvalve.peer_server import PeerServer
from rattanvalve.peers import PeerPool
from rattanvalve.platform.nodefile import NodeSettings
from rattanvalve.platform.objects import ObjectStore
from rattanvalve.platform.servers import decode_servers
from rattanvalve.sharedstate.document_tasks import (
    gateway_tasks,
    peer_handlers,
)
from rattanvalve.sharedstate.documents import DocumentKind
from rattanvalve.sharedstate.exposition import MetricsPage, serve_metrics
from rattanvalve.sharedstate.shared_state import SharedState
from rattanvalve.sharedstate.tasks import run_tasks

__all__ = ('GatewayProcess',)

#: Time in which the load balancer still sends new connections after the
#: readiness probe fails.
UNREADY_GRACE_S = 3.0
#: Largest share of the stop grace period that this wait uses.
UNREADY_GRACE_SHARE = 0.4
#: Part of the stop grace period that is reserved for closing.
CLOSE_GRACE_S = 0.5
STOP_CHECK_INTERVAL_S = 0.05

_log = part_logger(LogPart.PROCESS)


class GatewayProcess:
    """Serves callers on one VM.

    :param node: settings of this process.
    :param peer_secret: shared secret that authenticates frames of peers.
    :param caller_socket: socket that already listens for callers; opened when
        the gateway runs if omitted.
    :raises SettingsError: if the address for callers or for readiness probes
        is missing.
    """

    def __init__(
        self,
        node: NodeSettings,
        peer_secret: bytes,
        caller_socket: ListeningSocket | None = None,
    ) -> None:
        if node.callers is None or node.readiness is None:
            raise SettingsError(
                'a gateway needs addresses for callers and for readiness probes'
            )
        self._node = node
        self._state = SharedState(node)
        self._peers = PeerPool(peer_secret)
        self._tables = EndpointTables(
            self._state.metrics, has_contention=node.has_contention
        )
        self._caller_socket = caller_socket
        self._listener: asyncio.Server | None = None
        self._calls = MemberCalls(
            self._peers,
            self._state,
            node.lost_disks_max,
            self._state.reach,
            node.peer_address,
        )
        relay_service = RelayService(
            self._peers,
            self._state.known_members,
            self._calls.reaches_stores,
        )
        self._guards = create_guards(self._state)
        self._peer_server = PeerServer(
            peer_secret,
            relay_service.handlers() | peer_handlers(self._state),
            self._state.metrics,
        )
        cache = create_cache(node.memory_mb)
        client = TurnClient(self._calls, node.zone)
        turns = TurnManager(client, cache)
        self._attempts = Attempts(
            self._state,
            self._tables,
            turns,
        )
        chooser = build_chooser(node, self._tables, self._calls)
        forwarder = Forwarder(
            self._state,
            self._tables,
            chooser,
            self._attempts,
            lambda: 1 + self._calls.relays.known_count(),
        )
        explainer = build_explainer(
            self._state, self._tables, chooser, forwarder
        )
        self._peer_server.add_handlers(explainer.handlers())
        self._exchange = ObservationExchange(
            self._calls,
            self._tables.limits,
            self._tables.crashes,
            self._tables.directory.known,
            self._tables.reports,
        )
        self._page = MetricsPage(self._state.metrics, self._state.board)
        self._ingress = Ingress(
            self._state,
            forwarder,
            turns,
            self._calls,
            self._page,
            self._tables,
            lambda: self._exchange.has_read,
        )
        self._state.board.subscribe(DocumentKind.SERVERS, self._apply_servers)
        self._state.board.subscribe(DocumentKind.RULES, self._apply_rules)

    async def run(self) -> None:
        """Serve until cancelled, then drain requests in flight."""
        background_task = asyncio.create_task(
            run_tasks(self._node.store, self._background_tasks)
        )
        callers = caller_server(
            self._ingress.handle, self._state.metrics, self._guards.callers
        )
        async with AsyncExitStack() as closers:
            closers.push_async_callback(_cancel, background_task)
            closers.callback(self._peers.close)
            await self._start_listeners(callers, closers)
            _log.info('gateway started')
            try:
                # A stop must not cancel the background tasks before the
                # requests in flight end.
                await asyncio.wait((background_task,))
                background_task.result()
            except asyncio.CancelledError:
                await self._drain(callers)
                raise

    async def _start_listeners(
        self,
        callers: web.Server,
        closers: AsyncExitStack,
    ) -> None:
        self._listener = await listen(
            callers, self._node.callers, self._caller_socket
        )
        closers.callback(self._listener.close)
        server = await listen(
            readiness_server(self._is_ready, self._guards.probes),
            self._node.readiness,
        )
        closers.callback(server.close)
        metrics_server = await serve_metrics(self._page, self._node)
        closers.callback(metrics_server.close)
        await self._peer_server.start(self._node.peer_address)
        closers.push_async_callback(self._peer_server.stop)

    async def _drain(self, callers: web.Server) -> None:
        """Drain requests in flight.

        The listener stays open until the load balancer has seen the failed
        readiness probe.
        """
        started_s = time.monotonic()
        self._ingress.is_stopping = True
        _log.info(
            'stopping',
            extra={'open_requests': len(self._ingress.busy)},
        )
        grace_s = self._node.grace_s
        await asyncio.sleep(min(UNREADY_GRACE_S, grace_s * UNREADY_GRACE_SHARE))
        self._listener.close()
        deadline_s = started_s + grace_s - CLOSE_GRACE_S
        self._ingress.cut_s = deadline_s
        while callers.connections and time.monotonic() < deadline_s:
            await self._ingress.busy.close_idle((callers,))
            await asyncio.sleep(STOP_CHECK_INTERVAL_S)
        _log.info(
            'drain ended',
            extra={
                'connections': len(callers.connections),
                'open_requests': len(self._ingress.busy),
                'duration_ms': round((time.monotonic() - started_s) * 1000),
            },
        )

    def _background_tasks(self, store: ObjectStore) -> list:
        document_tasks = gateway_tasks(
            self._state, store, self._peers, self._calls.relays.known
        )
        return [
            *document_tasks,
            self._calls.relays.run,
            self._exchange.run,
            self._tables.pool.run,
            self._guards.memory.run,
            self._guards.callers.run,
            self._guards.probes.run,
        ]

    def _is_ready(self) -> bool:
        is_serving = (
            self._ingress.can_serve_programs() and not self._ingress.is_stopping
        )
        return is_serving and not self._tables.directory.is_empty()

    def _apply_rules(self, body: bytes) -> None:
        # The shared state has already decoded this document.
        now_s = asyncio.get_running_loop().time()
        self._attempts.streams.apply_rules(self._state.rules, now_s)

    def _apply_servers(self, body: bytes) -> None:
        now_s = time.monotonic()
        age_s = self._state.board.confirmation_age_s(
            DocumentKind.SERVERS, now_s
        )
        self._tables.directory.update(
            decode_servers(body),
            now_s,
            is_store_stale=age_s > self._node.staleness.endpoints_s,
        )


async def _cancel(task: asyncio.Task) -> None:
    task.cancel()
    with suppress(asyncio.CancelledError):
        await task
