"""Wiring of the entry process."""

import asyncio
import secrets

import aiohttp
import aiomisc
from aiohttp import web

from rattanvalve import admin_api, history, views
from rattanvalve.blackboard import Blackboard
from rattanvalve.caller_api import (
    RUNNER_OPTIONS,
    build_caller_app,
)
from rattanvalve.calls import CallLimits
from rattanvalve.config_controller import ConfigController
from rattanvalve.confirmations import Confirmation
from rattanvalve.counters import Metrics
from rattanvalve.ingress import IngressParts, build_ingress
from rattanvalve.load_controller import LoadController
from rattanvalve.loads import EndpointLoads
from rattanvalve.messages import Member, Pull, View
from rattanvalve.owner_service import OwnerService
from rattanvalve.peers import Address, Handler, PeerPool, PeerServer
from rattanvalve.pull_dispatch import pull_handler
from rattanvalve.settings import EntrySettings, Listen
from rattanvalve.shutdown import Shutdown
from rattanvalve.store import StoreClient
from rattanvalve.streams import OpenRequests
from rattanvalve.view_controller import ViewController

__all__ = ('EntryProcess',)

_INCARNATION_BYTES = 4


class EntryProcess(aiomisc.Service):
    """The entry process.

    :param settings: validated settings.
    """

    def __init__(self, settings: EntrySettings) -> None:
        super().__init__()
        self._settings = settings
        self._blackboard = Blackboard()
        self._metrics = Metrics(
            settings.statsd.host,
            settings.statsd.port,
            'entry',
        )
        self._pool = PeerPool(settings.peer_secret.encode())
        self._open_requests = OpenRequests(self._metrics)
        self._handlers: dict[type, Handler] = {}
        self._peer_server = PeerServer(
            settings.peer_secret.encode(),
            self._handlers,
            self._metrics,
        )
        self._tasks: list[asyncio.Task] = []
        self._runners: list[web.AppRunner] = []

    async def start(self) -> None:
        """Listen to peers, join the view, then listen to callers."""
        listen = self._settings.peer_listen
        address = await self._peer_server.start(
            Address(listen.host, listen.port),
        )
        self._session = aiohttp.ClientSession()
        self._make_controllers(self._own_member(address.port))
        self._tasks.extend(
            asyncio.ensure_future(work)
            for work in (
                self._config_controller.run(),
                self._view_controller.run(),
                self._load_controller.run(),
                self._open_requests.watch(self._blackboard),
            )
        )
        await self._listen(self._caller_app(), self._settings.caller_listen)
        await self._listen(self._admin_app(), self._settings.admin_listen)
        self._blackboard.readiness.is_started = True
        self._blackboard.publish()

    async def stop(self, exception: Exception | None = None) -> None:
        """Stop as planned and close everything.

        :param exception: why the service stops.
        """
        await Shutdown(
            blackboard=self._blackboard,
            open_requests=self._open_requests,
            leave=self._leave,
            stop_listening=self._stop_listening,
            grace_s=self._settings.drain_grace_s,
            timeout_s=self._settings.stop_timeout_s,
        ).run()
        for runner in self._runners:
            await runner.cleanup()
        for task in self._tasks:
            task.cancel()
        await self._peer_server.stop()
        self._pool.close()
        await self._session.close()

    def _own_member(self, port: int) -> Member:
        settings = self._settings
        return Member(
            name=settings.name,
            role=views.ROLE_ENTRY,
            host=settings.peer_listen.host,
            port=port,
            zone=settings.zone,
            incarnation=secrets.token_hex(_INCARNATION_BYTES),
        )

    def _make_controllers(self, member: Member) -> None:
        settings = self._settings
        shared = {
            'blackboard': self._blackboard,
            'pool': self._pool,
            'metrics': self._metrics,
        }
        store = StoreClient(settings.store_url, self._session, self._metrics)
        confirmation = Confirmation()
        endpoint_loads = EndpointLoads()
        self._owner_service = OwnerService(
            member=member,
            confirmation=confirmation,
            loads=endpoint_loads,
            **shared,
        )
        self._config_controller = ConfigController(store=store, **shared)
        self._view_controller = ViewController(
            member=member,
            cell=settings.cell,
            store=store,
            seed_peers=settings.seed_peers,
            confirmation=confirmation,
            on_view_changed=self._owner_service.take_over,
            **shared,
        )
        self._load_controller = LoadController(
            loads=endpoint_loads,
            view_controller=self._view_controller,
            **shared,
        )
        self._handlers.update(self._all_handlers())

    def _all_handlers(self) -> dict[type, Handler]:
        config_handlers = self._config_controller.handlers()
        view_handlers = self._view_controller.handlers()
        pulls = {'config': config_handlers[Pull], 'view': view_handlers[Pull]}
        return {
            **self._owner_service.handlers(),
            **self._load_controller.handlers(),
            **config_handlers,
            **view_handlers,
            Pull: pull_handler(pulls),
        }

    def _caller_app(self) -> web.Application:
        settings = self._settings
        parts = IngressParts(
            own_name=settings.name,
            blackboard=self._blackboard,
            metrics=self._metrics,
            pool=self._pool,
            open_requests=self._open_requests,
            local_owner=self._owner_service,
            find_owner=find_owner,
        )
        limits = CallLimits(
            request_timeout_s=settings.request_timeout_s,
            max_body_bytes=settings.max_body_bytes,
            max_body_depth=settings.max_body_depth,
            history_digests=history.chain_digests,
        )
        return build_caller_app(build_ingress(parts, limits))

    def _admin_app(self) -> web.Application:
        return admin_api.build_admin_app(
            blackboard=self._blackboard,
            config_controller=self._config_controller,
            pool=self._pool,
            metrics=self._metrics,
            key_digests=self._settings.admin_key_digests,
        )

    async def _listen(self, app: web.Application, listen: Listen) -> None:
        runner = web.AppRunner(app, access_log=None, **RUNNER_OPTIONS)
        await runner.setup()
        self._runners.append(runner)
        await web.TCPSite(runner, listen.host, listen.port).start()

    async def _leave(self) -> None:
        await self._view_controller.leave()
        await self._owner_service.hand_over(self._blackboard.view)

    async def _stop_listening(self) -> None:
        for runner in self._runners:
            for site in tuple(runner.sites):
                await site.stop()


def find_owner(view: View, workspace: str, shard: int) -> Member | None:
    """Find the entry that owns a workspace shard.

    :param view: members of the cell.
    :param workspace: workspace name.
    :param shard: shard index.
    :returns: the entry, or ``None`` for a view without entries.
    """
    return views.member_of(view, views.owner_of(view, workspace, shard))
