"""Ways to the turn store through other gateways.

A gateway that is cut off from the turn stores often still reaches gateways
that are not. It sends its calls through one of them, so that the callers of
its availability zone are served.
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
from rattanvalve.peers import PeerPool
from rattanvalve.sharedstate.members import StoreMember
from rattanvalve.turn_messages import (
    FetchTurn,
    GatewayList,
    Introduce,
    ProbeRelay,
    Relayed,
    RelayState,
    Reserve,
    SettleTurn,
    TakeRate,
    TurnRecord,
)

__all__ = ('RelayService', 'RelayTable')

#: How often a gateway makes itself known to a turn store.
INTRODUCE_INTERVAL_S = 1.0
#: How often other gateways are asked while the turn stores do not answer.
PROBE_INTERVAL_S = 0.3
PROBE_COUNT = 3
PROBE_TIMEOUT_S = 0.25
#: A gateway that answered a probe is used for this long.
USABLE_S = 1.0
#: A gateway that no turn store names any more is forgotten after this time.
KNOWN_S = 30.0
#: Time for the relay's own call is shorter, so that it can still answer.
RELAY_MARGIN_S = 0.05
_PASSED_ON = (Reserve, SettleTurn, TurnRecord, FetchTurn, TakeRate)

_log = part_logger(LogPart.PEER)


class RelayTable:
    """Other gateways, and which of them reach the turn stores.

    :param own: address at which this gateway takes frames.
    :param pool: connections to peers.
    :param members: gives the members of the turn store.
    :param reaches_stores: whether this gateway reaches most of them itself.
    """

    def __init__(
        self,
        own: Address,
        pool: PeerPool,
        members: Callable[[], Sequence[StoreMember]],
        reaches_stores: Callable[[], bool],
    ) -> None:
        self._own = own
        self._pool = pool
        self._members = members
        self._reaches_stores = reaches_stores
        self._known_until_s: dict[Address, float] = {}
        self._usable_until_s: dict[Address, float] = {}
        self._is_used = False

    def is_usable(self, now_s: float) -> bool:
        """Return whether another gateway reaches the turn stores.

        :param now_s: monotonic time in seconds.
        :returns: whether one said so a moment ago.
        """
        return bool(self._usable(now_s))

    def is_known(self) -> bool:
        """Return whether any other gateway is known.

        :returns: whether there is one.
        """
        return bool(self._known_until_s)

    async def call(
        self,
        member: Address,
        message: Any,
        timeout_s: float,
    ) -> Any:
        """Send a message to a member through another gateway.

        :param member: member of the turn store.
        :param message: what to send.
        :param timeout_s: seconds for the whole call.
        :returns: answer of the member.
        :raises PeerError: if there is none.
        """
        usable = self._usable(time.monotonic())
        if not usable:
            raise PeerError('no gateway reaches the turn store')
        relay = random.choice(usable)
        relayed = Relayed(
            host=member.host,
            port=member.port,
            kind=wire.kind_of(message),
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
        """Introduce this gateway and look for relays until cancelled."""
        introduce_s = time.monotonic()
        while True:
            now_s = time.monotonic()
            if self._reaches_stores():
                self._note_use(is_used=False)
                if now_s >= introduce_s:
                    introduce_s = now_s + INTRODUCE_INTERVAL_S
                    await self._introduce()
            else:
                await self._probe_some()
            await asyncio.sleep(PROBE_INTERVAL_S * random.uniform(0.8, 1.2))

    async def _introduce(self) -> None:
        members = self._members()
        if not members:
            return
        message = Introduce(host=self._own.host, port=self._own.port)
        member = random.choice(members)
        try:
            answer = await self._pool.call(
                member.address,
                message,
                PROBE_TIMEOUT_S,
            )
        except PeerError:
            # Another member is asked a moment later.
            return
        if isinstance(answer, GatewayList):
            self._learn(answer)

    def _learn(self, answer: GatewayList) -> None:
        now_s = time.monotonic()
        for host in answer.hosts:
            if host != self._own.host:
                address = Address(host, self._own.port)
                self._known_until_s[address] = now_s + KNOWN_S
        for address, until_s in tuple(self._known_until_s.items()):
            if until_s < now_s:
                self._known_until_s.pop(address)

    async def _probe_some(self) -> None:
        known = tuple(self._known_until_s)
        chosen = random.sample(known, min(len(known), PROBE_COUNT))
        await asyncio.gather(*map(self._probe, chosen))
        self._note_use(is_used=self.is_usable(time.monotonic()))

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
            self._usable_until_s[address] = time.monotonic() + USABLE_S

    def _usable(self, now_s: float) -> list[Address]:
        return [
            address
            for address, until_s in self._usable_until_s.items()
            if until_s > now_s
        ]

    def _note_use(self, *, is_used: bool) -> None:
        if is_used == self._is_used:
            return
        self._is_used = is_used
        _log.warning(
            'turn stores are reached through gateways'
            if is_used
            else 'turn stores are not reached through gateways any more',
            extra={'hosts': [known.host for known in self._usable_until_s]},
        )


class RelayService:
    """Passes calls of other gateways on to the turn stores.

    :param pool: connections to peers.
    :param members: gives the members of the turn store.
    :param reaches_stores: whether this gateway reaches most of them.
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
        """Give the handler of each class of message.

        :returns: handlers.
        """
        return {ProbeRelay: self._probe, Relayed: self._pass_on}

    async def _probe(self, message: ProbeRelay, send: Send) -> None:
        await send(RelayState(reaches_stores=self._reaches_stores()))

    async def _pass_on(self, message: Relayed, send: Send) -> None:
        """Only messages for the turn store go on, and only to its members."""
        address = Address(message.host, message.port)
        kind = wire.class_of(message.kind)
        known = {member.address for member in self._members()}
        if kind not in _PASSED_ON or address not in known:
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
