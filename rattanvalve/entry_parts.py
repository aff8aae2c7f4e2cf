"""Builds the controllers and the owner role of an entry process."""

import asyncio
import secrets
import time
from collections.abc import Coroutine, Mapping
from dataclasses import dataclass
from typing import Any

from rattanvalve import routing, views, vm_controller
from rattanvalve.blackboard import Blackboard
from rattanvalve.channels import Address, Handler
from rattanvalve.config_controller import ConfigController
from rattanvalve.configholder import PULL_CONFIG
from rattanvalve.confirmations import Confirmation
from rattanvalve.control import ControlContext
from rattanvalve.counters import Metrics
from rattanvalve.heartbeats import PULL_VIEW
from rattanvalve.load_controller import LoadController
from rattanvalve.loads import EndpointLoads
from rattanvalve.messages import Member, Pull, View
from rattanvalve.owner_service import OwnerService
from rattanvalve.ownerports import OwnerPorts, ViewLookups
from rattanvalve.ownership import Owner
from rattanvalve.peers import PeerPool
from rattanvalve.pull_dispatch import pull_handler
from rattanvalve.settings import EntrySettings, Listen
from rattanvalve.store import StoreClient
from rattanvalve.view_controller import ViewController

__all__ = ('EntryParts', 'SharedParts', 'make_member')

_INCARNATION_BYTES = 4
#: Retry interval of seals that failed in a takeover, in seconds.
RESEAL_INTERVAL_S = 3.0


@dataclass(frozen=True, slots=True, kw_only=True)
class SharedParts:
    """State and clients that all parts of an entry process use.

    ``fetch_vms`` is ``None`` if the settings name no list of VMs.
    """

    blackboard: Blackboard
    metrics: Metrics
    pool: PeerPool
    store: StoreClient
    fetch_vms: vm_controller.FetchVms | None = None


class EntryParts:
    """Controllers and owner role of an entry process.

    :param member: this process as a member of the view.
    :param settings: validated settings.
    :param shared: state, counters, connections and store client.
    """

    def __init__(
        self,
        member: Member,
        settings: EntrySettings,
        shared: SharedParts,
    ) -> None:
        self.shared = shared
        self.confirmation = Confirmation()
        self.loads = EndpointLoads(shared.metrics)
        self._handovers: set[asyncio.Task] = set()
        context = ControlContext(
            cell=settings.cell,
            blackboard=shared.blackboard,
            store=shared.store,
            call=shared.pool.call,
            retire=shared.pool.retire,
            metrics=shared.metrics,
            seed_peers=tuple(
                Address(seed.host, seed.port) for seed in settings.seed_peers
            ),
        )
        self.owner_service = OwnerService(
            Owner(member.name, member.incarnation, shared.metrics),
            self._owner_ports(),
        )
        self.config_controller = ConfigController(member, context)
        self.view_controller = ViewController(
            member,
            context,
            self.confirmation,
            self._on_view_changed,
        )
        self.vm_controller = vm_controller.VmController(
            member,
            context,
            self.loads,
            shared.fetch_vms,
        )
        self.load_controller = LoadController(
            self.loads,
            self.view_controller,
            context,
        )

    def handlers(
        self,
        extra_pulls: Mapping[str, Handler],
    ) -> dict[type, Handler]:
        """Return the handlers of messages from peers.

        :param extra_pulls: handlers of further document kinds, by kind.
        :returns: handlers by message class.
        """
        config_handlers = self.config_controller.handlers()
        view_handlers = self.view_controller.handlers()
        pulls = {
            **extra_pulls,
            PULL_CONFIG: config_handlers[Pull],
            PULL_VIEW: view_handlers[Pull],
            vm_controller.PULL_VMS: self.vm_controller.handlers()[Pull],
        }
        return {
            **self.owner_service.handlers(),
            **self.load_controller.handlers(),
            **config_handlers,
            **view_handlers,
            Pull: pull_handler(pulls),
        }

    def background_tasks(self) -> tuple[Coroutine[Any, Any, None], ...]:
        """Create the background tasks of the process.

        :returns: coroutines that run until they are cancelled.
        """
        return (
            self.config_controller.run(),
            self.view_controller.run(),
            self.load_controller.run(),
            self.vm_controller.run(),
            self._retry_seals(),
        )

    async def leave(self) -> None:
        """Leave the view and wait until the owned shards are handed over."""
        await self.view_controller.leave()
        while self._handovers:
            await asyncio.wait(self._handovers)

    def _owner_ports(self) -> OwnerPorts:
        return OwnerPorts(
            blackboard=self.shared.blackboard,
            pool=self.shared.pool,
            lookups=ViewLookups(
                owner_of=views.owner_of,
                entries_of=views.entries_of,
                endpoints_of=views.endpoints_of,
                find_member=views.find_member,
            ),
            mode=self.confirmation.mode,
            place=self._place,
            started=self.loads.started,
            ended=self._on_run_ended,
        )

    def _place(
        self,
        request: routing.PlacementRequest,
        now_s: float,
    ) -> Member | None:
        catalog = self.shared.blackboard.catalog
        return routing.place(
            request,
            catalog.config.rules.placement_policy,
            self.loads.candidates(
                request.service_name,
                catalog.drained_endpoints,
                now_s,
            ),
            now_s,
        )

    def _on_run_ended(self, endpoint: str, is_failure: bool) -> None:
        self.loads.finished(endpoint, is_failure, time.monotonic())

    def _on_view_changed(self, old_view: View, new_view: View) -> None:
        self.loads.set_view(new_view)
        handover = asyncio.ensure_future(
            self.owner_service.on_view_changed(old_view, new_view),
        )
        self._handovers.add(handover)
        handover.add_done_callback(self._handovers.discard)

    async def _retry_seals(self) -> None:
        while True:
            await asyncio.sleep(RESEAL_INTERVAL_S)
            await self.owner_service.reseal()


def make_member(settings: EntrySettings, peer_port: int) -> Member:
    """Build the view member of an entry process with a new incarnation.

    :param settings: validated settings.
    :param peer_port: port that the process listens on for peers; used unless
        the settings state a peer address.
    :returns: member for the view.
    """
    # The address that peers connect to may differ from the listening one.
    address = settings.peer_address or Listen(
        settings.peer_listen.host,
        peer_port,
    )
    return Member(
        name=settings.name,
        role=views.ROLE_ENTRY,
        host=address.host,
        port=address.port,
        zone=settings.zone,
        incarnation=secrets.token_hex(_INCARNATION_BYTES),
    )
