"""Controller of the cell view: joins, heartbeats, removal of silent members."""

import asyncio

from rattanvalve.channels import Handler
from rattanvalve.confirmations import Confirmation
from rattanvalve.control import ControlContext, sleep_or_wake
from rattanvalve.errors import StoreConflictError, StoreError
from rattanvalve.heartbeats import HeartbeatExchange
from rattanvalve.logs import LogPart, part_logger
from rattanvalve.messages import Ack, Announce, Member
from rattanvalve.presence import Presence
from rattanvalve.viewchanges import ViewChanges, only_if_allowed
from rattanvalve.viewrepair import ViewRepair
from rattanvalve.views import entries_of
from rattanvalve.viewstate import ViewChanged, ViewState
from rattanvalve.viewstore import ChangeView, ViewStore

__all__ = ('ViewController',)

HEARTBEAT_INTERVAL_S = 1.0
#: The maintainer reads the store once its confirmation is this old. The others
#: learn its age from heartbeats and read only if that fails.
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
        context.request_beat = self._exchange.wake.set

    def handlers(self) -> dict[type, Handler]:
        """List the handlers of messages from peers.

        :returns: handlers of ``Heartbeat`` and of ``Pull(kind='view')``.
        """
        return self._exchange.handlers()

    async def run(self) -> None:
        """Send heartbeats and maintain the view until cancelled."""
        await asyncio.gather(self._run_beats(), self._run_store())

    def add_endpoint(self, member: Member) -> None:
        """Have an endpoint listed in the view.

        :param member: endpoint that announced itself.
        """
        self._changes.add_endpoint(member)

    def forget_endpoint(self, name: str, has_left: bool = False) -> None:
        """Have an endpoint removed from the view.

        :param name: endpoint that is silent.
        :param has_left: whether it had announced that it leaves.
        """
        self._changes.forget_endpoint(name, has_left)

    def note_announce(self, announce: Announce) -> Ack:
        """Use the epoch of an announce, and make its answer.

        :param announce: announce of an endpoint process.
        :returns: the answer.
        """
        if self.state.note_epoch(announce.epoch):
            self._context.request_beat()
        self.state.confirmation.note_sealed(
            announce.member.name,
            announce.epoch,
        )
        return self.state.answer_endpoint()

    async def leave(self) -> None:
        """Leave the view and tell the other entries; used at a stop."""
        self._exchange.is_leaving = True
        try:
            await self._change(self._changes.leave)
        except StoreError as error:
            _log.warning('cannot leave the view: %s', error)
        await self._exchange.beat()

    async def beat(self) -> None:
        """Send one round of heartbeats and use the answers."""
        self._presence.begin_round(
            entries_of(self.state.view),
            self._context.clock(),
        )
        self.state.make_statement()
        await self._exchange.beat()

    async def store_round(self) -> None:
        """Join, maintain or read the view in the store, whichever is due."""
        blackboard = self._context.blackboard
        try:
            is_called = await self._use_store()
        except StoreConflictError:
            _log.info('another process changes the view too')
            is_called = True
        except StoreError:
            blackboard.is_store_reachable = False
            return
        blackboard.is_store_reachable |= is_called

    async def _run_beats(self) -> None:
        while True:
            began_s = self._context.clock()
            self._exchange.wake.clear()
            await self.beat()
            passed_s = self._context.clock() - began_s
            await sleep_or_wake(
                self._context.sleep,
                HEARTBEAT_INTERVAL_S - passed_s,
                self._exchange.wake,
            )

    async def _run_store(self) -> None:
        while True:
            await self.store_round()
            # Jitter keeps the entries of a cell from calling at one moment.
            jitter = self._context.random_source.uniform(0.5, 1)
            await self._context.sleep(HEARTBEAT_INTERVAL_S * jitter)

    async def _use_store(self) -> bool:
        """Make the call that is due; tell whether one was."""
        if self._exchange.is_leaving:
            return False
        if self.repair.is_due():
            await self.repair.attempt()
            return True
        now_s = self._context.clock()
        self._changes.watch_former(self.state.view)
        is_maintainer = self._presence.is_maintainer(now_s)
        limit_s = READ_AFTER_S if is_maintainer else READ_AFTER_OTHERS_S
        if not self.state.is_listed(self.state.view):
            await self._change(self._changes.join)
        elif is_maintainer and self._changes.maintain(self.state.view):
            await self._change(self._changes.maintain)
        elif self.state.confirmation.read_age_s(now_s) >= limit_s:
            self.state.take_stored(await self._store.read())
        else:
            return False
        return True

    async def _change(self, change: ChangeView) -> None:
        self.state.is_changing = True
        try:
            allowed = only_if_allowed(self.state, change)
            self.state.take_stored(await self._store.change(allowed))
        finally:
            self.state.is_changing = False
        # The other entries learn the new epoch at once.
        self._context.request_beat()
