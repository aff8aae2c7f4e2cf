"""Handlers of the messages that a turn store gets."""

import secrets
import time
from collections.abc import Callable

from rattanvalve.channels import Handler, Send
from rattanvalve.turn_messages import (
    FetchRecords,
    FetchTurn,
    GatewayList,
    Introduce,
    Ledger,
    ListRecords,
    RecordBatch,
    RecordList,
    Reserve,
    SettleTurn,
    Stored,
    TakeRate,
    TurnChain,
    TurnRecord,
)
from rattanvalve.turnstore.placement import RecordPlacement
from rattanvalve.turnstore.rateshares import RateShares
from rattanvalve.turnstore.turnlog import TurnLog

__all__ = ('TurnService',)

LIST_COUNT = 2000
#: A gateway makes itself known to one of the stores every second.
GATEWAY_KNOWN_S = 30.0


class TurnService:
    """Answers gateways and other members.

    :param turn_log: records of this store.
    :param shares: shares of the workspaces' rates.
    :param is_complete: tells whether this store may answer for what it does
        not find.
    :param placement: tells which members keep the records of a program.
    """

    def __init__(
        self,
        turn_log: TurnLog,
        shares: RateShares,
        is_complete: Callable[[], bool],
        placement: RecordPlacement,
    ) -> None:
        #: Version of the members that each member pulled everything with.
        self.pulled_versions: dict[str, int] = {}
        self._turn_log = turn_log
        self._shares = shares
        self._is_complete = is_complete
        self._placement = placement
        self._incarnation = secrets.token_hex(8)
        #: Hosts of gateways with the time until which they count as known.
        self._gateways: dict[str, float] = {}

    def handlers(self) -> dict[type, Handler]:
        """Give the handler of each class of message.

        :returns: handlers.
        """
        return {
            Reserve: self._reserve,
            SettleTurn: self._store,
            TurnRecord: self._store,
            FetchTurn: self._fetch_turn,
            ListRecords: self._list,
            FetchRecords: self._fetch_records,
            TakeRate: self._take_rate,
            Introduce: self._introduce,
        }

    async def _reserve(self, message: Reserve, send: Send) -> None:
        await self._turn_log.store(message)
        entries = self._turn_log.ledger_of(message.program_id)
        await send(Ledger(is_complete=self._is_complete(), entries=entries))

    async def _store(
        self, message: SettleTurn | TurnRecord, send: Send
    ) -> None:
        await self._turn_log.store(message)
        await send(Stored(is_complete=self._is_complete()))

    async def _fetch_turn(self, message: FetchTurn, send: Send) -> None:
        turns = self._turn_log.chain_of(message.turn_id)
        await send(TurnChain(is_complete=self._is_complete(), turns=turns))

    async def _list(self, message: ListRecords, send: Send) -> None:
        index = self._turn_log.index
        next_after, keys = index.listed_after(message.after, LIST_COUNT)
        if message.members_version == self._placement.version():
            # Keys that the other member has no use for are not sent.
            keys = [
                key
                for key in keys
                if self._placement.is_kept_by(message.member, key.program_id)
            ]
        is_end = next_after >= index.end()
        if message.after >= index.end():
            self.pulled_versions[message.member] = message.members_version
        await send(
            RecordList(
                incarnation=self._incarnation,
                next_after=next_after,
                is_end=is_end,
                keys=tuple(keys),
            ),
        )

    async def _fetch_records(self, message: FetchRecords, send: Send) -> None:
        records = self._turn_log.read_records(message.keys)
        await send(RecordBatch(records=records))

    async def _take_rate(self, message: TakeRate, send: Send) -> None:
        await send(self._shares.take(message, time.monotonic()))

    async def _introduce(self, message: Introduce, send: Send) -> None:
        now_s = time.monotonic()
        self._gateways[message.host] = now_s + GATEWAY_KNOWN_S
        for host, until_s in tuple(self._gateways.items()):
            if until_s < now_s:
                self._gateways.pop(host)
        await send(GatewayList(hosts=tuple(self._gateways)))
