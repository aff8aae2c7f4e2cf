"""Takeover of shards: sealing, rebuild, and the check of serving them."""

import asyncio
from collections.abc import Iterable

from rattanvalve.counters import Counter
from rattanvalve.errors import InvariantError
from rattanvalve.keyed_queues import wait_with_timeout
from rattanvalve.logs import LogPart, part_logger
from rattanvalve.messages import Member, RecordSummary, Refusal, Sealed, View
from rattanvalve.ownercontext import OwnerContext, refuse
from rattanvalve.ownerports import OwnerPorts
from rattanvalve.ownership import Owner
from rattanvalve.resultcodes import ResultCode
from rattanvalve.sealing import Sealer, SealRound
from rattanvalve.shardtable import ShardName
from rattanvalve.viewchain import ViewChain

__all__ = ('Takeover',)

_log = part_logger(LogPart.OWNER)


class Takeover:
    """Takes over shards and tracks which of them this process may serve.

    :param owner: owner role of this process.
    :param ports: functions and objects of the rest of the process.
    """

    def __init__(self, owner: Owner, ports: OwnerPorts) -> None:
        self.chain = ViewChain(owner.name, ports.lookups)
        self._owner = owner
        self._ports = ports
        self._sealer = Sealer(owner.name, ports, owner.metrics)
        self._lock = asyncio.Lock()
        self._changed = asyncio.Event()

    def view(self) -> View:
        """Return the newest view that this process knows.

        :returns: view of the blackboard, or a newer one whose takeover has
            begun.
        """
        known = (self._ports.blackboard.view, self.chain.newest())
        return max(known, key=lambda view: view.epoch)

    def is_serving(self, name: ShardName) -> bool:
        """Check whether this process may decide for a shard.

        :param name: workspace and shard index.
        :returns: whether the takeover under the newest view is complete for
            this shard.
        """
        newest = self.chain.newest()
        if newest.epoch < max(1, self._ports.blackboard.view.epoch):
            return False
        return not self.chain.may_have_moved(name)

    async def wait_serving(
        self,
        name: ShardName,
        timeout_s: float,
        epoch: int = 0,
    ) -> Refusal | None:
        """Wait until this process may decide for a shard.

        :param name: workspace and shard index.
        :param timeout_s: longest wait in seconds.
        :param epoch: epoch that this process must have adopted before.
        :returns: ``None`` once the shard is served; a refusal if this process
            is not the owner or the takeover exceeds the timeout.
        """
        deadline_s = self._ports.clock() + timeout_s
        while self.chain.is_own_shard(self.view(), name):
            is_recent = self.view().epoch >= epoch
            if is_recent and self.is_serving(name):
                return None
            left_s = deadline_s - self._ports.clock()
            if left_s <= 0:
                return refuse(ResultCode.OWNER_UNAVAILABLE)
            await wait_with_timeout(self._changed, left_s, self._ports.sleep)
        return refuse(ResultCode.NOT_OWNER, epoch=self.view().epoch)

    async def take_over(self, old_view: View, new_view: View) -> None:
        """Seal endpoints, rebuild the shards that moved here and serve them.

        :param old_view: view before the change; epoch 0 at the start.
        :param new_view: view after the change.
        """
        previous = self.chain.newest()
        if self.chain.append_view(old_view, new_view, self._ports.clock()):
            self._remove_moved_shards(previous, new_view)
        async with self._lock:
            if not self.chain.is_settled():
                await self._settle_chain()
        self.wake_waiters()

    async def reseal(self) -> None:
        """Retry to seal the endpoints that the last takeover missed."""
        view = self.view()
        for missing in tuple(self._owner.table.seal.missing.values()):
            member = self._ports.lookups.find_member(view, missing.name)
            if member and member.incarnation != missing.incarnation:
                self._owner.table.clear_missing(missing.name)
                continue
            answer = await self._sealer.seal_one(
                Member(
                    name=missing.name,
                    host=missing.host,
                    port=missing.port,
                ),
                view,
            )
            if isinstance(answer, Sealed) and view.epoch == self.view().epoch:
                self._adopt_records(
                    record
                    for record in answer.records
                    if self._is_affected(record, missing.name)
                )
                self._owner.table.clear_missing(missing.name)

    def context(self) -> OwnerContext:
        """Build the context for the rebuild or import of a shard.

        :returns: context at the current time.
        """
        return OwnerContext(
            catalog=self._ports.blackboard.catalog,
            view=self.view(),
            mode=self._ports.mode(self._ports.clock()),
            place=self._ports.place,
            owner_of=self._ports.lookups.owner_of,
        )

    def wake_waiters(self) -> None:
        """Wake the requests that wait for a shard."""
        self._changed.set()
        self._changed = asyncio.Event()

    def _remove_moved_shards(self, old_view: View, new_view: View) -> None:
        """Remove the shards that have, or may have had, another owner."""
        is_rejoined = self._is_rejoined(old_view, new_view)
        for name in tuple(self._owner.table.shards):
            if is_rejoined or not self.chain.is_own_shard(new_view, name):
                self._owner.table.remove(*name)
                self.chain.imported.pop(name, None)
        self._owner.table.drop_parts()
        self.wake_waiters()

    def _is_rejoined(self, old_view: View, new_view: View) -> bool:
        """Check whether a view that this process skipped had removed it.

        The state of its shards is then stale, since other owners may have
        decided in the meantime.
        """
        incarnations = {
            member.incarnation
            for view in (old_view, new_view)
            if (
                member := self._ports.lookups.find_member(
                    view, self._owner.name
                )
            )
        }
        return len(incarnations) > 1

    async def _settle_chain(self) -> None:
        if self.chain.needs_seal():
            seal_round = await self._sealer.seal_all(self.chain)
            if seal_round.step is not self.chain.steps[-1]:
                raise InvariantError('the sealed view is not the newest view')
            self._adopt(seal_round)
        self.chain.settle()

    def _adopt(self, seal_round: SealRound) -> None:
        now_s = self._ports.clock()
        missing = seal_round.missing(now_s)
        moved = [
            name
            for name in self._owner.table.shards
            if self.chain.may_have_moved(name)
        ]
        self._owner.table.start_takeover(
            missing,
            moved,
            seal_round.is_level_known(),
            now_s,
        )
        self._adopt_records(
            record
            for record in seal_round.records()
            if self.chain.may_have_moved(_shard_name(record))
        )
        if missing:
            _log.warning('takeover left %d endpoints unsealed', len(missing))

    def _adopt_records(self, records: Iterable[RecordSummary]) -> None:
        view = self.view()
        owned = [
            record
            for record in records
            # The record of a number that was settled before its ticket arrived
            # has a ticket without a workspace.
            if record.ticket.workspace
            and self.chain.is_own_shard(view, _shard_name(record))
        ]
        count = self._owner.table.adopt(
            owned,
            self.context(),
            self._ports.clock(),
        )
        self._owner.metrics.count(Counter.REBUILT_RECORDS, count)

    def _is_affected(self, record: RecordSummary, endpoint: str) -> bool:
        shard = self._owner.table.find(*_shard_name(record))
        return shard is None or endpoint in shard.seal.missing


def _shard_name(record: RecordSummary) -> ShardName:
    return record.ticket.workspace, record.ticket.shard
