"""Builds, starts and stops the components of an entry process."""

import asyncio

import aiohttp
import aiomisc
from aiohttp import web

from rattanvalve import admin_api, history, views
from rattanvalve.addresses import LISTEN_BACKLOG
from rattanvalve.blackboard import Blackboard
from rattanvalve.busy_connections import BusyConnections
from rattanvalve.caller_api import (
    RUNNER_OPTIONS,
    build_caller_app,
)
from rattanvalve.calls import CallLimits
from rattanvalve.channels import Address, Handler
from rattanvalve.counters import Metrics
from rattanvalve.entry_admin import make_admin_context
from rattanvalve.entry_parts import EntryParts, SharedParts, make_member
from rattanvalve.entry_status import (
    PULL_STATUS,
    EntryStatus,
    status_handler,
)
from rattanvalve.http_errors import malformed_http_counter
from rattanvalve.ingress import IngressParts, build_ingress
from rattanvalve.messages import Member, View
from rattanvalve.open_requests import OpenRequests
from rattanvalve.peer_server import PeerServer
from rattanvalve.peers import PeerPool
from rattanvalve.reloading import (
    SettingsReloader,
    SettingsSource,
    peer_secrets_from_settings,
)
from rattanvalve.response_copies import ResponseCopies
from rattanvalve.settings import EntrySettings
from rattanvalve.shutdown import Shutdown
from rattanvalve.store import StoreClient
from rattanvalve.tls import TLS_FIELDS, make_tls_context, reload_tls_context
from rattanvalve.vm_controller import make_vm_fetcher

__all__ = ('EntryProcess',)


class EntryProcess(aiomisc.Service):
    """Lifecycle of an entry process.

    :param settings: validated settings.
    :param source: source from which secrets and certificates are reloaded.
    """

    def __init__(
        self,
        settings: EntrySettings,
        source: SettingsSource,
    ) -> None:
        super().__init__()
        self._source = source
        self._secrets = peer_secrets_from_settings(settings)
        self._tls = {
            name: make_tls_context(getattr(settings, name))
            for name in TLS_FIELDS
        }
        self._settings = settings
        self._blackboard = Blackboard()
        self._metrics = Metrics(
            settings.statsd.host,
            settings.statsd.port,
            'entry',
        )
        self._pool = PeerPool(self._secrets)
        self._open_requests = OpenRequests(self._metrics)
        self._response_copies = ResponseCopies(
            own_name=settings.name,
            blackboard=self._blackboard,
            pool=self._pool,
        )
        self._handlers: dict[type, Handler] = {}
        self._peer_server = PeerServer(
            self._secrets,
            self._handlers,
            self._metrics,
        )
        self._tasks: list[asyncio.Task] = []
        self._runners: list[web.AppRunner] = []
        self._busy_connections = BusyConnections()

    async def start(self) -> None:
        """Listen for peers, join the view, then listen for callers."""
        listen = self._settings.peer_listen
        address = await self._peer_server.start(
            Address(listen.host, listen.port),
        )
        self._session = aiohttp.ClientSession()
        shared = SharedParts(
            blackboard=self._blackboard,
            metrics=self._metrics,
            pool=self._pool,
            store=StoreClient(
                self._settings.store_url,
                self._session,
                self._metrics,
            ),
            fetch_vms=(
                make_vm_fetcher(self._settings.vm_list_url, self._session)
                if self._settings.vm_list_url
                else None
            ),
        )
        self._reloading = SettingsReloader(
            self._source,
            self._apply_reload,
            self._metrics,
        )
        member = make_member(self._settings, address.port)
        self._parts = EntryParts(member, self._settings, shared)
        status = EntryStatus(
            self._settings,
            self._parts,
            lambda: [self._reloading.problem],
        )
        self._handlers.update(
            self._parts.handlers(
                {PULL_STATUS: status_handler(status.describe)},
            ),
        )
        self._handlers.update(self._response_copies.handlers())
        self._tasks.extend(
            asyncio.ensure_future(coroutine)
            for coroutine in (
                *self._parts.background_tasks(),
                self._open_requests.watch(self._blackboard),
                self._reloading.run(self._settings),
            )
        )
        await self._listen(self._build_caller_app(), 'caller')
        await self._listen(self._build_admin_app(status), 'admin')
        self._blackboard.readiness.is_started = True
        self._blackboard.publish()

    async def stop(self, exception: Exception | None = None) -> None:
        """Drain and stop the process in the order of :class:`Shutdown`.

        :param exception: error that ended the entrypoint, if any.
        """
        await Shutdown(
            blackboard=self._blackboard,
            open_requests=self._open_requests,
            leave=self._parts.leave,
            stop_listening=self._stop_listening,
            close_idle=self._close_idle,
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

    def _build_caller_app(self) -> web.Application:
        settings = self._settings
        parts = IngressParts(
            own_name=settings.name,
            blackboard=self._blackboard,
            metrics=self._metrics,
            pool=self._pool,
            open_requests=self._open_requests,
            local_owner=self._parts.owner_service,
            find_owner=find_owner,
            copies=self._response_copies,
        )
        limits = CallLimits(
            request_timeout_s=settings.request_timeout_s,
            max_body_bytes=settings.max_body_bytes,
            max_body_depth=settings.max_body_depth,
            history_digests=history.chain_digests,
        )
        return build_caller_app(build_ingress(parts, limits))

    def _build_admin_app(self, status: EntryStatus) -> web.Application:
        context = make_admin_context(self._settings, self._parts, status)
        return admin_api.build_admin_app(context)

    def _apply_reload(self, settings: EntrySettings) -> None:
        for name, context in self._tls.items():
            tls = getattr(settings, name)
            if context and tls:
                reload_tls_context(context, tls)
        self._secrets.replace_with(peer_secrets_from_settings(settings))

    async def _listen(self, app: web.Application, name: str) -> None:
        listen = getattr(self._settings, f'{name}_listen')
        app.middlewares.append(self._busy_connections.middleware)
        runner = web.AppRunner(
            app,
            access_log_class=malformed_http_counter(self._metrics),
            **RUNNER_OPTIONS,
        )
        await runner.setup()
        self._runners.append(runner)
        await web.TCPSite(
            runner,
            listen.host,
            listen.port,
            ssl_context=self._tls[f'{name}_tls'],
            backlog=LISTEN_BACKLOG,
        ).start()

    async def _close_idle(self) -> None:
        servers = [runner.server for runner in self._runners]
        await self._busy_connections.close_idle(servers)

    async def _stop_listening(self) -> None:
        for runner in self._runners:
            for site in tuple(runner.sites):
                await site.stop()


def find_owner(view: View, workspace: str, shard: int) -> Member | None:
    """Find the entry that owns a workspace shard.

    :param view: members of the cell.
    :param workspace: workspace name.
    :param shard: shard index.
    :returns: the owner, or ``None`` if the view has no entries.
    """
    return views.find_member(view, views.owner_of(view, workspace, shard))
