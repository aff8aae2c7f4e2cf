"""Handlers of the messages that a turn store receives."""

import asyncio
import secrets
import time
from collections.abc import Mapping
from contextlib import suppress
from dataclasses import replace

from rattanvalve.channels import Handler, Send
from rattanvalve.sharedstate.endpoint_loads import LoadReports, heard_times
from rattanvalve.sharedstate.request_crashes import CrashTable
from rattanvalve.turn_messages import (
    EndpointLoadReport,
    FetchRecords,
    FetchTurn,
    GatewayList,
    Introduce,
    Ledger,
    ListRecords,
    Observations,
    RecordBatch,
    RecordList,
    Reserve,
    SettleTurn,
    Stored,
    TakeEndpointRate,
    TakeRate,
    TransferRates,
    TurnChain,
    TurnRecord,
)
from rattanvalve.turnstore.endpointrates import EndpointRates
from rattanvalve.turnstore.rateshares import RateShares
from rattanvalve.turnstore.replica import Replica
from rattanvalve.turnstore.turnrecords import LoggedMessage

__all__ = ('TurnService',)

#: Maximum number of keys in one page of a listing.
LIST_COUNT = 2000
#: Source of all load reports, as stores do not pass them on to each other.
_GATEWAYS = 'gateways'
#: Lifetime of a gateway's entry; each gateway announces itself to one of the
#: stores every second.
GATEWAY_TTL_S = 30.0
#: Longest time for which the answer to a gateway waits for a crash.
CRASH_WAIT_MAX_S = 5.0
#: Largest number and age of the load reports in the answer to a rate request.
#: A gateway asks each store several times per second, so it has the older ones.
GRANT_REPORTS_MAX = 12
GRANT_REPORT_AGE_MAX_S = 0.5


class TurnService:
    """Answers requests of gateways and of other members.

    :param replica: records of this store, and for which of them its answers
        are authoritative.
    :param shares: this store's shares of the workspaces' rates.
    :param endpoint_rates: its shares of the limits that endpoints state.
    :param crashes: crashes of endpoints and the requests that they ran.
    :param loads: load reports of endpoints; ``None`` if gateways do not share
        them.
    """

    def __init__(
        self,
        replica: Replica,
        shares: RateShares,
        endpoint_rates: EndpointRates,
        crashes: CrashTable,
        loads: LoadReports | None = None,
    ) -> None:
        #: Epoch at which each other member was last complete, by name.
        self.complete_epochs: dict[str, int] = {}
        self._turn_log = replica.turn_log
        self._shares = shares
        self._endpoint_rates = endpoint_rates
        self._crashes = crashes
        self._loads = loads
        #: Set when a record is new; each record gets a new event.
        self._crash_news = asyncio.Event()
        self._authority = replica.authority
        self._placement = replica.placement
        self._incarnation = secrets.token_hex(8)
        #: Monotonic expiry time in seconds of each known gateway, by host.
        self._gateways: dict[str, float] = {}

    def handlers(self) -> dict[type, Handler]:
        """Return the message handlers of this service.

        :returns: handlers by message class.
        """
        return {
            Reserve: self._reserve,
            SettleTurn: self._store,
            TurnRecord: self._store,
            FetchTurn: self._fetch_turn,
            ListRecords: self._list_records,
            FetchRecords: self._fetch_records,
            TakeRate: self._take_rate,
            TakeEndpointRate: self._take_endpoint_rate,
            TransferRates: self._accept_rates,
            Observations: self._exchange_observations,
            Introduce: self._introduce,
        }

    async def _reserve(self, message: Reserve, send: Send) -> None:
        is_stored = await self._store_at_epoch(message)
        entries = self._turn_log.ledger_entries(message.program_id)
        answer = Ledger(
            is_complete=is_stored,
            entries=entries,
            epoch=self._authority.epoch(),
        )
        await send(answer)

    async def _store(
        self, message: SettleTurn | TurnRecord, send: Send
    ) -> None:
        is_stored = await self._store_at_epoch(message)
        epoch = self._authority.epoch()
        await send(Stored(is_complete=is_stored, epoch=epoch))

    async def _store_at_epoch(self, message: LoggedMessage) -> bool:
        """Store a record that was sent by this store's list of members.

        :returns: whether the answer counts for a quorum. A member that reads
            all records at a later epoch may have missed one whose write ended
            after the epoch began.
        """
        epoch = self._authority.epoch()
        if not epoch or message.epoch != epoch:
            return False
        await self._turn_log.store(message)
        return (
            self._authority.epoch() == epoch
            and self._authority.is_complete_for(message.program_id)
        )

    async def _fetch_turn(self, message: FetchTurn, send: Send) -> None:
        turns = self._turn_log.turn_chain(message.turn_id)
        epoch = self._authority.epoch()
        is_complete = message.epoch == epoch and self._authority.is_complete()
        await send(TurnChain(is_complete=is_complete, turns=turns, epoch=epoch))

    async def _list_records(self, message: ListRecords, send: Send) -> None:
        # Sealed before the records are listed, so that none is added later.
        epoch = self._authority.epoch()
        self.complete_epochs[message.member] = message.complete_epoch
        index = self._turn_log.index
        next_after, keys = index.list_after(message.after, LIST_COUNT)
        if message.epoch == epoch:
            # Only keys of records placed on the requesting member are sent.
            keys = [
                key
                for key in keys
                if self._placement.is_placed_on(message.member, key.program_id)
            ]
        is_end = next_after >= index.end_position()
        await send(
            RecordList(
                incarnation=self._incarnation,
                next_after=next_after,
                is_end=is_end,
                keys=tuple(keys),
                epoch=epoch,
                is_intact=self._authority.is_intact,
            ),
        )

    async def _fetch_records(self, message: FetchRecords, send: Send) -> None:
        records, key_count = self._turn_log.read_records(message.keys)
        await send(RecordBatch(records=records, key_count=key_count))

    async def _take_rate(self, message: TakeRate, send: Send) -> None:
        now_s = time.monotonic()
        grant = self._shares.take(message, now_s)
        if self._loads is not None:
            self._loads.merge(message.loads, _GATEWAYS, now_s)
            loads = self._loads.newest(
                now_s,
                heard_times(message.loads, now_s),
                GRANT_REPORT_AGE_MAX_S,
                GRANT_REPORTS_MAX,
            )
            grant = replace(grant, loads=loads)
        await send(grant)

    async def _accept_rates(self, message: TransferRates, send: Send) -> None:
        await send(self._shares.accept(message, time.monotonic()))

    async def _take_endpoint_rate(
        self, message: TakeEndpointRate, send: Send
    ) -> None:
        await send(self._endpoint_rates.take(message, time.monotonic()))

    async def _exchange_observations(
        self, message: Observations, send: Send
    ) -> None:
        now_s = time.monotonic()
        limits = self._endpoint_rates.limits
        limits.merge_reports(message.limits, now_s)
        if self._crashes.merge(message.crashes, now_s):
            self._crash_news.set()
            self._crash_news = asyncio.Event()
        if self._loads is not None:
            self._loads.expire(now_s)
            self._loads.merge(message.loads, _GATEWAYS, now_s)
        sent_loads = heard_times(message.loads, now_s)
        if message.wait_ms and self._crashes.digest == message.crash_digest:
            await self._wait_for_crashes(message.wait_ms / 1000)
            now_s = time.monotonic()
        digest = self._crashes.digest
        is_same = digest == message.crash_digest
        await send(
            Observations(
                limits=limits.reports(now_s),
                crashes=() if is_same else self._crashes.reports(now_s),
                crash_digest=digest,
                loads=self._newest_loads(message, sent_loads, now_s),
            )
        )

    def _newest_loads(
        self,
        message: Observations,
        sent: Mapping[str, float],
        now_s: float,
    ) -> tuple[EndpointLoadReport, ...]:
        """List the load reports for a gateway that asks for all."""
        if self._loads is None or not message.wait_ms:
            # The gateway only sent news of another kind.
            return ()
        return self._loads.newest(now_s, sent)

    async def _wait_for_crashes(self, duration_s: float) -> None:
        with suppress(TimeoutError):
            async with asyncio.timeout(min(duration_s, CRASH_WAIT_MAX_S)):
                await self._crash_news.wait()

    async def _introduce(self, message: Introduce, send: Send) -> None:
        now_s = time.monotonic()
        self._gateways[message.host] = now_s + GATEWAY_TTL_S
        for host, expires_s in tuple(self._gateways.items()):
            if expires_s < now_s:
                self._gateways.pop(host)
        await send(GatewayList(hosts=tuple(self._gateways)))
