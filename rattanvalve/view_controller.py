"""Controller of the cell view: joins, heartbeats, removal of silent members."""

import asyncio
import secrets
from contextlib import suppress
from dataclasses import dataclass

from rattanvalve.confirmations import Confirmation
from rattanvalve.control import ControlContext
from rattanvalve.errors import (
    FrameError,
    PeerError,
    StoreConflictError,
    StoreError,
)
from rattanvalve.logs import LogPart, part_logger
from rattanvalve.messages import (
    Ack,
    Announce,
    Document,
    Heartbeat,
    Member,
    Pull,
    View,
)
from rattanvalve.peers import Address, Handler, Send
from rattanvalve.presence import Presence
from rattanvalve.views import (
    change_members,
    decode_view,
    encode_view,
    entries_of,
    member_of,
)
from rattanvalve.viewstate import ViewChanged, ViewState
from rattanvalve.viewstore import ChangeView, ViewStore

__all__ = ('PULL_VIEW', 'ViewController')

PULL_VIEW = 'view'
HEARTBEAT_INTERVAL_S = 1.0
#: A dead peer delays a round by this time, which must stay below the silence
#: after which an entry is removed.
PEER_TIMEOUT_S = 1.0
#: The maintainer reads the store once its confirmation is this old. The others
#: learn its age from heartbeats and read only if that fails.
READ_AFTER_S = 2.0
READ_AFTER_OTHERS_S = 4.0

_log = part_logger(LogPart.VIEW)


@dataclass(slots=True)
class _EndpointChanges:
    """Endpoints that the maintainer adds or removes with its next change."""

    wanted: dict[str, Member]
    silent: set[str]

    def pending(self, view: View) -> tuple[list[Member], set[str]]:
        listed = {member.name: member for member in view.members}
        added = [
            member
            for name, member in self.wanted.items()
            if listed.get(name) != member
        ]
        return added, self.silent & listed.keys()


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
        #: Called with the generation and the address of each peer heard.
        self.on_generation_heard = _ignore_generation
        self._context = context
        self._store = ViewStore(context)
        self._presence = Presence(member.name)
        self._changes = _EndpointChanges({}, set())
        self._is_leaving = False
        self._wake = asyncio.Event()

    def handlers(self) -> dict[type, Handler]:
        """List the handlers of messages from peers.

        :returns: handlers of ``Heartbeat`` and of ``Pull(kind='view')``.
        """
        return {Heartbeat: self._answer_heartbeat, Pull: self._answer_pull}

    async def run(self) -> None:
        """Send heartbeats and maintain the view until cancelled."""
        await asyncio.gather(self._run_beats(), self._run_store())

    def beat_now(self) -> None:
        """Send the next heartbeats without waiting for the interval."""
        self._wake.set()

    def add_endpoint(self, member: Member) -> None:
        """Have an endpoint listed in the view.

        :param member: endpoint that announced itself.
        """
        self._changes.silent.discard(member.name)
        self._changes.wanted[member.name] = member

    def forget_endpoint(self, name: str) -> None:
        """Have an endpoint removed from the view.

        :param name: endpoint that is silent.
        """
        self._changes.wanted.pop(name, None)
        self._changes.silent.add(name)

    def hear_endpoint(self, announce: Announce) -> Ack:
        """Use the epoch of an announce, and make its answer.

        :param announce: announce of an endpoint process.
        :returns: the answer.
        """
        if self.state.hear_epoch(announce.epoch):
            self.beat_now()
        self.state.confirmation.note_sealed(
            announce.member.name,
            announce.epoch,
        )
        return self.state.answer_endpoint()

    async def leave(self) -> None:
        """Leave the view and tell the other entries; used at a stop."""
        self._is_leaving = True
        try:
            await self._change(self._without_self)
        except StoreError as error:
            _log.warning('cannot leave the view: %s', error)
        await self._beat_all()

    async def beat(self) -> None:
        """Send one round of heartbeats and use the answers."""
        self._presence.begin_round(
            entries_of(self.state.view),
            self._context.clock(),
        )
        self.state.make_statement()
        await self._beat_all()

    async def store_round(self) -> None:
        """Join, maintain or read the view in the store, whichever is due."""
        is_reachable = True
        try:
            await self._use_store()
        except StoreConflictError:
            _log.info('another process changes the view too')
        except StoreError:
            is_reachable = False
        self._context.blackboard.is_store_reachable = is_reachable

    async def _run_beats(self) -> None:
        while True:
            began_s = self._context.clock()
            self._wake.clear()
            await self.beat()
            passed_s = self._context.clock() - began_s
            await self._wait(HEARTBEAT_INTERVAL_S - passed_s)

    async def _wait(self, delay_s: float) -> None:
        pause = asyncio.ensure_future(self._context.sleep(max(0, delay_s)))
        wake = asyncio.ensure_future(self._wake.wait())
        try:
            await asyncio.wait(
                (pause, wake),
                return_when=asyncio.FIRST_COMPLETED,
            )
        finally:
            pause.cancel()
            wake.cancel()

    async def _run_store(self) -> None:
        while True:
            await self.store_round()
            # Jitter keeps the entries of a cell from calling at one moment.
            jitter = self._context.random_source.uniform(0.5, 1)
            await self._context.sleep(HEARTBEAT_INTERVAL_S * jitter)

    async def _use_store(self) -> None:
        if self._is_leaving:
            return
        if not self.state.is_listed(self.state.view):
            await self._change(self._with_self)
        elif self._is_maintainer() and self._maintain(self.state.view):
            await self._change(self._maintain)
        elif self._is_read_due():
            self.state.take_stored(await self._store.read())

    async def _change(self, change: ChangeView) -> None:
        def change_if_allowed(view: View) -> View | None:
            # An older stored view is a fault of the store; a promise forbids
            # to write what we may not adopt.
            is_old = view.epoch < self.state.view.epoch
            return (
                change(view) if self.state.may_adopt() and not is_old else None
            )

        self.state.is_changing = True
        try:
            self.state.take_stored(await self._store.change(change_if_allowed))
        finally:
            self.state.is_changing = False

    def _with_self(self, view: View) -> View | None:
        own = member_of(view, self.state.member.name)
        if self.state.is_listed(view) or (own and self.state.was_listed):
            # A newer incarnation under our name has replaced this process.
            return None
        return change_members(view, (self.state.member,), (), _new_change_id())

    def _without_self(self, view: View) -> View | None:
        if not self.state.is_listed(view):
            return None
        name = self.state.member.name
        return change_members(view, (), (name,), _new_change_id())

    def _maintain(self, view: View) -> View | None:
        """Compute one change with all members that come and go."""
        if not self.state.is_listed(view):
            return None
        added, removed = self._changes.pending(view)
        now_s = self._context.clock()
        if self.state.confirmation.is_held(now_s):
            # Previous owners that we cannot reach must stay listed until they
            # cannot act, so that later members know them as well.
            removed = set()
        else:
            removed |= self._presence.silent_names(now_s)
        if not added and not removed:
            return None
        return change_members(view, added, removed, _new_change_id())

    def _is_maintainer(self) -> bool:
        return self._presence.is_maintainer(self._context.clock())

    def _is_read_due(self) -> bool:
        limit_s = READ_AFTER_S if self._is_maintainer() else READ_AFTER_OTHERS_S
        now_s = self._context.clock()
        return self.state.confirmation.read_age_s(now_s) >= limit_s

    async def _beat_all(self) -> None:
        others = [
            member
            for member in entries_of(self.state.view)
            if member.name != self.state.member.name
        ]
        if self.state.view.epoch:
            await asyncio.gather(*(self._beat_one(peer) for peer in others))
        else:
            for address in self._context.seed_peers:
                await self._pull(address)

    async def _beat_one(self, peer: Member) -> None:
        address = Address(peer.host, peer.port)
        began_s = self._context.clock()
        try:
            ack = await self._context.call(
                address,
                self._make_heartbeat(),
                PEER_TIMEOUT_S,
            )
        except PeerError:
            return
        if not isinstance(ack, Ack):
            return
        self._presence.hear(peer, self._context.clock())
        self.state.take_ack(peer, ack, began_s)
        self.on_generation_heard(ack.generation, address)
        if ack.epoch > self.state.view.epoch:
            await self._pull(address)

    def _make_heartbeat(self) -> Heartbeat:
        ack = self.state.answer_endpoint()
        return Heartbeat(
            member=self.state.member,
            epoch=ack.epoch,
            generation=ack.generation,
            confirmation_age_ms=ack.confirmation_age_ms,
            is_store_reachable=ack.is_store_reachable,
            is_leaving=self._is_leaving,
        )

    async def _pull(self, address: Address) -> None:
        """Ask a peer for a newer view and adopt it."""
        pull = Pull(kind=PULL_VIEW, newer_than=self.state.view.epoch)
        with suppress(PeerError, FrameError):
            document = await self._context.call(address, pull, PEER_TIMEOUT_S)
            if isinstance(document, Document) and document.body:
                self.state.adopt(decode_view(document.body))

    async def _answer_heartbeat(self, message: Heartbeat, send: Send) -> None:
        sender = message.member
        now_s = self._context.clock()
        self._presence.hear(
            sender,
            float('-inf') if message.is_leaving else now_s,
        )
        if self.state.hear_epoch(message.epoch):
            # The answer to our own heartbeat leads to a pull.
            self.beat_now()
        self.on_generation_heard(
            message.generation,
            Address(sender.host, sender.port),
        )
        await send(self.state.answer_entry(sender))

    async def _answer_pull(self, message: Pull, send: Send) -> None:
        if message.kind != PULL_VIEW:
            return
        view = self.state.view
        is_newer = view.epoch > message.newer_than
        await send(
            Document(
                kind=PULL_VIEW,
                version=view.epoch,
                body=encode_view(view) if is_newer else b'',
            ),
        )


def _new_change_id() -> str:
    return secrets.token_hex(8)


def _ignore_generation(generation: int, address: Address) -> None:
    """Do nothing until a configuration controller is connected."""
