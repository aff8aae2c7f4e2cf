"""Heartbeats among the entries of a cell, and pulls of newer views."""

import asyncio
from contextlib import suppress

from rattanvalve.channels import Address, Handler, Send
from rattanvalve.control import ControlContext
from rattanvalve.errors import FrameError, PeerError
from rattanvalve.messages import Ack, Document, Heartbeat, Member, Pull
from rattanvalve.presence import Presence
from rattanvalve.views import decode_view, encode_view, entries_of
from rattanvalve.viewstate import ViewState

__all__ = ('PULL_VIEW', 'HeartbeatExchange')

PULL_VIEW = 'view'
#: Call timeout in seconds. A dead peer delays a round of heartbeats by this
#: time, so it must be below ``SILENT_S``.
PEER_TIMEOUT_S = 1.0


class HeartbeatExchange:
    """Sends and answers heartbeats, which carry epochs and generations.

    :param context: peers, clock and blackboard.
    :param state: adopted view and statements.
    :param presence: records the time of each message of a peer.
    """

    def __init__(
        self,
        context: ControlContext,
        state: ViewState,
        presence: Presence,
    ) -> None:
        self.is_leaving = False
        #: Set to start the next round before the interval has passed.
        self.wake = asyncio.Event()
        self._context = context
        self._state = state
        self._presence = presence

    def handlers(self) -> dict[type, Handler]:
        """Return the handlers of messages from peers.

        :returns: handlers of ``Heartbeat`` and of ``Pull(kind='view')``.
        """
        return {Heartbeat: self._answer_heartbeat, Pull: self._answer_pull}

    async def send_heartbeats(self) -> None:
        """Send heartbeats to all other entries; pull a newer view they have.

        Before the first view is adopted, pull from the seed peers instead.
        """
        others = [
            member
            for member in entries_of(self._state.view)
            if member.name != self._state.member.name
        ]
        if self._state.view.epoch:
            await asyncio.gather(
                *(self._send_heartbeat(peer) for peer in others),
            )
        else:
            for address in self._context.seed_peers:
                await self._pull(address)

    async def _send_heartbeat(self, peer: Member) -> None:
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
        self._presence.record_contact(peer, self._context.clock())
        self._state.process_ack(peer, ack, began_s)
        self._context.observe_generation(ack.generation, address)
        if ack.epoch > self._state.view.epoch:
            await self._pull(address)

    def _make_heartbeat(self) -> Heartbeat:
        ack = self._state.make_endpoint_ack()
        return Heartbeat(
            member=self._state.member,
            epoch=ack.epoch,
            generation=ack.generation,
            confirmation_age_ms=ack.confirmation_age_ms,
            is_store_reachable=ack.is_store_reachable,
            is_leaving=self.is_leaving,
        )

    async def _pull(self, address: Address) -> None:
        """Request a newer view from a peer and adopt it."""
        pull = Pull(kind=PULL_VIEW, newer_than=self._state.view.epoch)
        with suppress(PeerError, FrameError):
            document = await self._context.call(address, pull, PEER_TIMEOUT_S)
            if isinstance(document, Document) and document.body:
                self._state.adopt(decode_view(document.body))

    async def _answer_heartbeat(self, message: Heartbeat, send: Send) -> None:
        sender = message.member
        now_s = self._context.clock()
        self._presence.record_contact(
            sender,
            float('-inf') if message.is_leaving else now_s,
        )
        if self._state.observe_epoch(message.epoch):
            # The next heartbeat to the sender is answered with its epoch,
            # which triggers a pull.
            self.wake.set()
        self._context.observe_generation(
            message.generation,
            Address(sender.host, sender.port),
        )
        await send(self._state.make_entry_ack(sender))

    async def _answer_pull(self, message: Pull, send: Send) -> None:
        if message.kind != PULL_VIEW:
            return
        view = self._state.view
        is_newer = view.epoch > message.newer_than
        await send(
            Document(
                kind=PULL_VIEW,
                version=view.epoch,
                body=encode_view(view) if is_newer else b'',
            ),
        )
