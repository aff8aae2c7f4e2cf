"""Calls to the turn store that another gateway relays.

A gateway that cannot reach the turn stores can often reach gateways that can.
It sends its calls through one of them and so still serves the callers of its
availability zone.
"""

import asyncio
import random
import time
from collections.abc import Callable, Sequence
from typing import Any

from rattanvalve import wire
from rattanvalve.channels import Address, Handler, Send
from rattanvalve.errors import FrameError, PeerError
from rattanvalve.logs import LogPart, part_logger
from rattanvalve.messages import Document, Pull
from rattanvalve.peers import PeerPool
from rattanvalve.sharedstate.members import StoreMember
from rattanvalve.turn_messages import (
    FetchTurn,
    GatewayList,
    Introduce,
    Observations,
    ProbeRelay,
    Relayed,
    RelayState,
    Reserve,
    SettleTurn,
    TakeEndpointRate,
    TakeRate,
    TurnRecord,
)

__all__ = ('RelayService', 'RelayTable')

#: Interval at which a gateway registers with a turn store.
INTRODUCE_INTERVAL_S = 1.0
#: Interval at which other gateways are probed while the turn stores are
#: unreachable.
PROBE_INTERVAL_S = 0.3
PROBE_COUNT = 3
PROBE_TIMEOUT_S = 0.25
#: Time for which a gateway stays usable as a relay after a good probe.
USABLE_RELAY_TTL_S = 1.0
#: Time after which a gateway that no turn store lists any longer is removed.
KNOWN_GATEWAY_TTL_S = 30.0
#: The relay's own call has a timeout that is shorter by this much, so that
#: the relay can still answer.
RELAY_MARGIN_S = 0.05
_RELAYED_TYPES = (
    Reserve,
    SettleTurn,
    TurnRecord,
    FetchTurn,
    TakeRate,
    TakeEndpointRate,
    Observations,
    Pull,
    Document,
)

_log = part_logger(LogPart.PEER)


class RelayTable:
    """Tracks other gateways and relays calls through usable ones.

    :param own_address: address at which this gateway receives frames.
    :param pool: connections to peers.
    :param members: returns the members of the turn store.
    :param reaches_stores: returns whether this gateway reaches a majority of
        the members without a relay.
    """

    def __init__(
        self,
        own_address: Address,
        pool: PeerPool,
        members: Callable[[], Sequence[StoreMember]],
        reaches_stores: Callable[[], bool],
    ) -> None:
        self._own_address = own_address
        self._pool = pool
        self._members = members
        self._reaches_stores = reaches_stores
        self._known_until_s: dict[Address, float] = {}
        self._usable_until_s: dict[Address, float] = {}
        self._is_relaying = False

    def has_usable_relay(self, now_s: float) -> bool:
        """Return whether another gateway can relay calls.

        :param now_s: monotonic time in seconds.
        :returns: whether a gateway recently reported that it reaches the turn
            stores.
        """
        return bool(self._usable_relays(now_s))

    def known_count(self) -> int:
        """Count the other gateways.

        :returns: number of known gateways, also of those never probed.
        """
        return len(self._known_until_s)

    def known(self) -> tuple[Address, ...]:
        """List the other gateways.

        :returns: addresses of the known gateways, also of those never probed.
        """
        return tuple(self._known_until_s)

    async def call(
        self,
        member: Address,
        message: Any,
        timeout_s: float,
    ) -> Any:
        """Call a member through a randomly chosen usable gateway.

        :param member: address of the member of the turn store.
        :param message: request to send.
        :param timeout_s: timeout of the whole call in seconds.
        :returns: answer of the member.
        :raises PeerError: if no gateway is usable or the call fails.
        """
        usable = self._usable_relays(time.monotonic())
        if not usable:
            raise PeerError('no gateway reaches the turn store')
        relay = random.choice(usable)
        relayed = Relayed(
            host=member.host,
            port=member.port,
            kind=wire.kind_number(message),
            payload=wire.encode_struct(message),
            timeout_ms=int((timeout_s - RELAY_MARGIN_S) * 1000),
        )
        try:
            answer = await self._pool.call(relay, relayed, timeout_s)
        except PeerError:
            self._usable_until_s.pop(relay, None)
            raise
        if isinstance(answer, RelayState):
            raise PeerError(f'{relay.host} does not reach {member.host}')
        return answer

    async def run(self) -> None:
        """Register this gateway or probe for relays, until cancelled."""
        next_introduce_s = time.monotonic()
        while True:
            now_s = time.monotonic()
            if self._reaches_stores():
                self._log_relaying_change(is_relaying=False)
                if now_s >= next_introduce_s:
                    next_introduce_s = now_s + INTRODUCE_INTERVAL_S
                    await self._introduce()
            else:
                await self._probe_sample()
            await asyncio.sleep(PROBE_INTERVAL_S * random.uniform(0.8, 1.2))

    async def _introduce(self) -> None:
        members = self._members()
        if not members:
            return
        message = Introduce(
            host=self._own_address.host, port=self._own_address.port
        )
        member = random.choice(members)
        try:
            answer = await self._pool.call(
                member.address,
                message,
                PROBE_TIMEOUT_S,
            )
        except PeerError:
            # The next interval tries another member.
            return
        if isinstance(answer, GatewayList):
            self._update_known(answer)

    def _update_known(self, answer: GatewayList) -> None:
        now_s = time.monotonic()
        for host in answer.hosts:
            if host != self._own_address.host:
                address = Address(host, self._own_address.port)
                self._known_until_s[address] = now_s + KNOWN_GATEWAY_TTL_S
        for address, until_s in tuple(self._known_until_s.items()):
            if until_s < now_s:
                self._known_until_s.pop(address)

    async def _probe_sample(self) -> None:
        known = tuple(self._known_until_s)
        chosen = random.sample(known, min(len(known), PROBE_COUNT))
        await asyncio.gather(*map(self._probe, chosen))
        self._log_relaying_change(
            is_relaying=self.has_usable_relay(time.monotonic())
        )

    async def _probe(self, address: Address) -> None:
        try:
            answer = await self._pool.call(
                address,
                ProbeRelay(),
                PROBE_TIMEOUT_S,
            )
        except PeerError:
            self._usable_until_s.pop(address, None)
            return
        if isinstance(answer, RelayState) and answer.reaches_stores:
            self._usable_until_s[address] = (
                time.monotonic() + USABLE_RELAY_TTL_S
            )

    def _usable_relays(self, now_s: float) -> list[Address]:
        return [
            address
            for address, until_s in self._usable_until_s.items()
            if until_s > now_s
        ]

    def _log_relaying_change(self, *, is_relaying: bool) -> None:
        if is_relaying == self._is_relaying:
            return
        self._is_relaying = is_relaying
        _log.warning(
            'turn stores are reached through gateways'
            if is_relaying
            else 'turn stores are no longer reached through gateways',
            extra={'hosts': [known.host for known in self._usable_until_s]},
        )


class RelayService:
    """Relays calls of other gateways to the turn stores.

    :param pool: connections to peers.
    :param members: returns the members of the turn store.
    :param reaches_stores: returns whether this gateway reaches a majority of
        the members.
    """

    def __init__(
        self,
        pool: PeerPool,
        members: Callable[[], Sequence[StoreMember]],
        reaches_stores: Callable[[], bool],
    ) -> None:
        self._pool = pool
        self._members = members
        self._reaches_stores = reaches_stores

    def handlers(self) -> dict[type, Handler]:
        """Return the handlers to register with the peer server.

        :returns: handler by message class.
        """
        return {ProbeRelay: self._probe, Relayed: self._relay}

    async def _probe(self, message: ProbeRelay, send: Send) -> None:
        await send(RelayState(reaches_stores=self._reaches_stores()))

    async def _relay(self, message: Relayed, send: Send) -> None:
        """Relay a call; accept only turn-store messages to known members."""
        address = Address(message.host, message.port)
        kind = wire.message_class_of_kind(message.kind)
        known = {member.address for member in self._members()}
        if kind not in _RELAYED_TYPES or address not in known:
            raise FrameError(f'no message to pass on to {message.host}')
        inner = wire.decode_struct(kind, message.payload)
        try:
            answer = await self._pool.call(
                address,
                inner,
                message.timeout_ms / 1000,
            )
        except PeerError:
            answer = RelayState(reaches_stores=False)
        await send(answer)
