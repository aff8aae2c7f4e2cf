"""Controller of the view: joining, heartbeats, removal of silent members."""

import asyncio

from rattanvalve.channels import Handler
from rattanvalve.confirmations import Confirmation
from rattanvalve.control import ControlContext, sleep_or_wake
from rattanvalve.errors import StoreConflictError, StoreError
from rattanvalve.heartbeats import HeartbeatExchange
from rattanvalve.logs import LogPart, part_logger
from rattanvalve.messages import Ack, Announce, Member
from rattanvalve.presence import Presence
from rattanvalve.viewchanges import ViewChanges, restrict_change
from rattanvalve.viewrepair import ViewRepair
from rattanvalve.views import entries_of
from rattanvalve.viewstate import ViewChanged, ViewState
from rattanvalve.viewstore import ChangeView, ViewStore

__all__ = ('ViewController',)

HEARTBEAT_INTERVAL_S = 1.0
#: Age in seconds of the last store read after which the maintainer reads again.
#: The other entries receive this age with heartbeats; they read the store only
#: if it exceeds the second limit.
READ_AFTER_S = 2.0
READ_AFTER_OTHERS_S = 4.0

_log = part_logger(LogPart.VIEW)


class ViewController:
    """Keeps ``blackboard.view`` and the confirmation current.

    :param member: this entry process.
    :param context: store, peers, clock and blackboard.
    :param confirmation: confirmation of this process.
    :param on_view_changed: called with the old and the new view.
    """

    def __init__(
        self,
        member: Member,
        context: ControlContext,
        confirmation: Confirmation,
        on_view_changed: ViewChanged,
    ) -> None:
        self.state = ViewState(member, context, confirmation, on_view_changed)
        self._context = context
        self._store = ViewStore(context)
        self._presence = Presence(member.name)
        self._exchange = HeartbeatExchange(context, self.state, self._presence)
        self._changes = ViewChanges(context, self.state, self._presence)
        self.repair = ViewRepair(context, self.state, self._store)
        context.request_heartbeat = self._exchange.wake.set

    def handlers(self) -> dict[type, Handler]:
        """Return the handlers of messages from peers.

        :returns: handlers of ``Heartbeat`` and of ``Pull(kind='view')``.
        """
        return self._exchange.handlers()

    async def run(self) -> None:
        """Send heartbeats and maintain the view until cancelled."""
        await asyncio.gather(self._run_heartbeats(), self._run_store())

    def add_endpoint(self, member: Member) -> None:
        """Schedule an endpoint to be added to the view.

        :param member: endpoint that announced itself.
        """
        self._changes.add_endpoint(member)

    def remove_endpoint(self, name: str, has_left: bool = False) -> None:
        """Schedule an endpoint to be removed from the view.

        :param name: endpoint that sends no announces any more.
        :param has_left: whether it announced its departure.
        """
        self._changes.remove_endpoint(name, has_left)

    def handle_announce(self, announce: Announce) -> Ack:
        """Record the epoch of an announce and build the answer.

        :param announce: announce of an endpoint process.
        :returns: the answer.
        """
        if self.state.observe_epoch(announce.epoch):
            self._context.request_heartbeat()
        self.state.confirmation.record_sealed(
            announce.member.name,
            announce.epoch,
        )
        return self.state.make_endpoint_ack()

    async def leave(self) -> None:
        """Leave the view and notify the other entries; called at shutdown.

        A store failure is logged; the notification is sent all the same.
        """
        self._exchange.is_leaving = True
        try:
            await self._change(self._changes.leave)
        except StoreError as error:
            _log.warning('cannot leave the view: %s', error)
        await self._exchange.send_heartbeats()

    async def send_heartbeats(self) -> None:
        """Send one round of heartbeats and process the answers."""
        self._presence.begin_round(
            entries_of(self.state.view),
            self._context.clock(),
        )
        self.state.record_own_statement()
        await self._exchange.send_heartbeats()

    async def run_store_round(self) -> None:
        """Make the store call that is due: repair, join, maintain or read.

        A store failure is recorded in ``is_store_reachable``, not raised.
        """
        blackboard = self._context.blackboard
        try:
            is_called = await self._call_store()
        except StoreConflictError:
            _log.info('view changed concurrently by another process')
            is_called = True
        except StoreError:
            blackboard.is_store_reachable = False
            return
        blackboard.is_store_reachable |= is_called

    async def _run_heartbeats(self) -> None:
        while True:
            began_s = self._context.clock()
            self._exchange.wake.clear()
            await self.send_heartbeats()
            passed_s = self._context.clock() - began_s
            await sleep_or_wake(
                self._context.sleep,
                HEARTBEAT_INTERVAL_S - passed_s,
                self._exchange.wake,
            )

    async def _run_store(self) -> None:
        while True:
            await self.run_store_round()
            # Jitter spreads the store calls of the entries of a cell.
            jitter = self._context.random_source.uniform(0.5, 1)
            await self._context.sleep(HEARTBEAT_INTERVAL_S * jitter)

    async def _call_store(self) -> bool:
        """Make the store call that is due; return whether one was made."""
        if self._exchange.is_leaving:
            return False
        if self.repair.is_due():
            await self.repair.attempt()
            return True
        now_s = self._context.clock()
        self._changes.track_former(self.state.view)
        is_maintainer = self._presence.is_maintainer(now_s)
        limit_s = READ_AFTER_S if is_maintainer else READ_AFTER_OTHERS_S
        if not self.state.is_listed(self.state.view):
            await self._change(self._changes.join)
        elif is_maintainer and self._changes.maintain(self.state.view):
            await self._change(self._changes.maintain)
        elif self.state.confirmation.read_age_s(now_s) >= limit_s:
            self.state.apply_stored(await self._store.read())
        else:
            return False
        return True

    async def _change(self, change: ChangeView) -> None:
        self.state.is_changing = True
        try:
            allowed = restrict_change(self.state, change)
            self.state.apply_stored(await self._store.change(allowed))
        finally:
            self.state.is_changing = False
        # A heartbeat round sends the new epoch to the other entries at once.
        self._context.request_heartbeat()
