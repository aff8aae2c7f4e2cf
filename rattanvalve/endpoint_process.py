"""Builds, starts and stops the components of an endpoint process."""

import asyncio
import secrets
import time

import aiomisc

from rattanvalve.announcer import Announcer, AnnouncerParts
from rattanvalve.blackboard import Blackboard
from rattanvalve.cache_keeper import CacheKeeper
from rattanvalve.channels import Address
from rattanvalve.confirmations import LEASE_S, Confirmation
from rattanvalve.counters import Metrics
from rattanvalve.endpoint_parts import EndpointParts
from rattanvalve.endpoint_service import EndpointService
from rattanvalve.engine_client import EngineClient
from rattanvalve.finish_reports import FinishReports
from rattanvalve.logs import LogPart, part_logger
from rattanvalve.messages import Announce, Member
from rattanvalve.peer_server import PeerServer
from rattanvalve.peers import PeerPool
from rattanvalve.records import RecordStore
from rattanvalve.reloading import (
    SettingsReloader,
    SettingsSource,
    peer_secrets_from_settings,
)
from rattanvalve.runqueue import RunQueue
from rattanvalve.server_rate import ServerRate
from rattanvalve.server_session import open_session
from rattanvalve.service_client import ServiceClient
from rattanvalve.settings import EndpointSettings
from rattanvalve.views import ROLE_ENDPOINT, decode_view, owner_of

__all__ = ('EndpointProcess', 'shutdown_timeout_s')

HEALTH_INTERVAL_S = 1.0
_SHUTDOWN_MARGIN_S = 10
#: Longest wait at a stop for peers to close their connections, in seconds.
_UNUSED_TIMEOUT_S = 3.0
_INCARNATION_BYTES = 8

_log = part_logger(LogPart.PROCESS)


def shutdown_timeout_s(settings: EndpointSettings) -> float:
    """Return the time limit of a shutdown.

    :param settings: settings of the process.
    :returns: seconds; longer than the limits of all shutdown steps together.
    """
    return (
        4 * settings.drain_grace_s
        + 2 * settings.stop_timeout_s
        + (_SHUTDOWN_MARGIN_S)
    )


class EndpointProcess(aiomisc.Service):
    """Lifecycle of an endpoint process.

    :param settings: settings of the process.
    :param source: source from which the secrets are reloaded.
    """

    def __init__(
        self,
        settings: EndpointSettings,
        source: SettingsSource,
    ) -> None:
        super().__init__()
        self._source = source
        self._settings = settings
        self._secrets = peer_secrets_from_settings(settings)
        self._incarnation = secrets.token_hex(_INCARNATION_BYTES)
        self._tasks: list[asyncio.Task] = []

    async def start(self) -> None:
        """Listen for peers and start the announcements and health checks."""
        settings = self._settings
        self._pool = PeerPool(self._secrets)
        self._session = open_session(settings.capacity_count)
        self._parts = self._build_parts()
        self._service = EndpointService(self._parts)
        self._server = PeerServer(
            self._secrets,
            self._service.handlers(),
            self._parts.metrics,
        )
        listen = settings.peer_listen
        address = await self._server.start(Address(listen.host, listen.port))
        self._announcer = self._build_announcer(address)
        for coroutine in (
            self._service.maintain(),
            self._parts.keeper.run(),
            self._announcer.run(),
            self._watch_health(),
            self._reloading().run(settings),
        ):
            self._tasks.append(asyncio.ensure_future(coroutine))
        _log.info('listening on %s:%s', address.host, address.port)

    async def stop(self, exception: Exception | None = None) -> None:
        """Announce that the process is leaving, drain its work and close.

        :param exception: error that ended the entrypoint, if any.
        """
        settings = self._settings
        _log.info('leaving')
        self._announcer.leave()
        await self._service.drain(
            settings.drain_grace_s,
            settings.stop_timeout_s,
        )
        # Program caches are not kept after this process ends.
        if self._parts.client.keeps_cache:
            await self._parts.client.release_all()
        await self._wait_unused()
        for task in self._tasks:
            task.cancel()
        await self._server.stop()
        self._pool.close()
        await self._session.close()
        _log.info('stopped')

    async def _wait_unused(self) -> None:
        """Wait until no peer can have a request on its way to this process.

        A request that crosses the close of its connection has an unknown
        outcome, even though nothing ran.
        """
        self._server.stop_listening()
        # Entries close their idle connections before they acknowledge this.
        await self._announcer.announce_now()
        if not await self._server.wait_unused(_UNUSED_TIMEOUT_S):
            _log.warning('connections of peers are still open at the end')

    def _build_parts(self) -> EndpointParts:
        settings = self._settings
        board = Blackboard()
        client = self._build_client()
        metrics = Metrics(
            settings.statsd.host,
            settings.statsd.port,
            ROLE_ENDPOINT,
        )
        rate = ServerRate(metrics)
        return EndpointParts(
            records=RecordStore(settings.name, self._incarnation, owner_of),
            queue=RunQueue(
                settings.capacity_count,
                settings.max_queue_per_workspace_count,
                settings.queue_policy,
                rate,
            ),
            rate=rate,
            client=client,
            keeper=CacheKeeper(client, metrics),
            reports=FinishReports(self._pool, board, owner_of),
            board=board,
            confirmation=Confirmation(),
            lease_s=LEASE_S,
            metrics=metrics,
        )

    def _build_client(self) -> EngineClient | ServiceClient:
        settings = self._settings
        if settings.kind == 'plain':
            return ServiceClient(settings.server_url, self._session)
        return EngineClient(
            settings.server_url,
            self._session,
            settings.checks_fencing,
        )

    def _build_announcer(self, address: Address) -> Announcer:
        settings = self._settings
        # The address that peers connect to may differ from the listening one.
        advertised = settings.peer_address or address
        member = Member(
            name=settings.name,
            role=ROLE_ENDPOINT,
            host=advertised.host,
            port=advertised.port,
            zone=settings.zone,
            service_name=settings.service,
            incarnation=self._incarnation,
        )
        parts = AnnouncerParts(
            pool=self._pool,
            board=self._parts.board,
            confirmation=self._parts.confirmation,
            seed_peers=tuple(
                Address(peer.host, peer.port) for peer in settings.seed_peers
            ),
            load=self._build_load_report,
            adopt_view=self._service.adopt_view,
            decode_view=decode_view,
            set_queue_policy=self._parts.queue.set_policy,
            clock=time.monotonic,
        )
        return Announcer(member, parts)

    def _build_load_report(self) -> Announce:
        return Announce(
            running_count=self._parts.queue.running_count,
            queued_count=self._parts.queue.queued_count,
            capacity_count=self._settings.capacity_count,
        )

    def _reloading(self) -> SettingsReloader:
        return SettingsReloader(
            self._source,
            lambda settings: self._secrets.replace_with(
                peer_secrets_from_settings(settings)
            ),
            self._parts.metrics,
        )

    async def _watch_health(self) -> None:
        """Check the server; it is ready once its old caches are released."""
        while True:
            is_healthy_now = await self._parts.client.is_healthy()
            is_ready = is_healthy_now and self._parts.keeper.is_clean
            self._announcer.observe_health(is_ready)
            await asyncio.sleep(HEALTH_INTERVAL_S)
