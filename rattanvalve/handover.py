"""Handover of shards to their next owner, which needs no sealing."""

import asyncio

import msgspec

from rattanvalve.channels import Address
from rattanvalve.errors import FrameError, PeerError
from rattanvalve.logs import LogPart, part_logger
from rattanvalve.messages import Ack, Handover, Refusal, View
from rattanvalve.ownercontext import refuse
from rattanvalve.ownerports import OwnerPorts
from rattanvalve.ownership import Owner
from rattanvalve.resultcodes import ResultCode
from rattanvalve.shardtable import ShardName
from rattanvalve.takeover import Takeover

__all__ = ('Handovers',)

#: Timeout of the transfer of one part, in seconds.
HANDOVER_TIMEOUT_S = 5.0

_log = part_logger(LogPart.OWNER)


class Handovers:
    """Sends and receives the state of shards.

    :param owner: owner role of this process.
    :param ports: functions and objects of the rest of the process.
    :param takeover: tracks which shards this process may serve.
    """

    def __init__(
        self,
        owner: Owner,
        ports: OwnerPorts,
        takeover: Takeover,
    ) -> None:
        self._owner = owner
        self._ports = ports
        self._takeover = takeover

    async def hand_over(self, new_view: View) -> None:
        """Send the state of moved shards to their owners in a new view.

        All shards are exported before the first message is sent. Requests for
        an exported shard are refused.

        :param new_view: view that this process has received and whose takeover
            (:meth:`Takeover.take_over`) has not begun.
        """
        chain = self._takeover.chain
        exports = []
        for name in tuple(self._owner.table.shards):
            if chain.is_own_shard(new_view, name):
                continue
            if self._may_export(name, new_view):
                exports.append((name, self._export(name)))
            self._owner.table.remove(*name)
        await asyncio.gather(
            *(self._send_parts(new_view, *export) for export in exports),
        )

    def receive(self, handover: Handover) -> Ack | Refusal:
        """Import a shard, or a part of it, from its previous owner.

        :param handover: message of the previous owner.
        :returns: acknowledgement, or refusal of a stale epoch.
        :raises FrameError: if the state is malformed.
        """
        epoch = self._takeover.view().epoch
        if handover.epoch < epoch:
            return refuse(ResultCode.STALE_EPOCH, epoch=epoch)
        try:
            name = self._owner.table.import_state(
                handover.state,
                self._ports.clock(),
            )
        except msgspec.DecodeError as error:
            raise FrameError('malformed Handover state') from error
        if name is not None:
            # Sets the configured rate, at which the bucket refills from now on.
            self._owner.table.get_or_create(
                name,
                self._takeover.context(),
                self._ports.clock(),
            )
            self._takeover.chain.imported[name] = handover.epoch
            self._takeover.wake_waiters()
        return Ack(epoch=epoch)

    def _may_export(self, name: ShardName, new_view: View) -> bool:
        """Check that no other process owned a shard after this one.

        That is certain only if the new view directly follows the last view
        that this process has taken over.
        """
        newest = self._takeover.chain.newest()
        return (
            bool(newest.epoch)
            and not self._takeover.chain.may_have_moved(name)
            and new_view.epoch == newest.epoch + 1
        )

    def _export(self, name: ShardName) -> list[bytes]:
        return self._owner.table.export_state(*name, self._ports.clock())

    async def _send_parts(
        self,
        view: View,
        name: ShardName,
        parts: list[bytes],
    ) -> None:
        new_owner = self._ports.lookups.owner_of(view, *name)
        member = self._ports.lookups.find_member(view, new_owner)
        if member is None:
            return
        for part in parts:
            message = Handover(
                epoch=view.epoch,
                owner=self._owner.name,
                state=part,
            )
            try:
                await self._ports.pool.call(
                    Address(member.host, member.port),
                    message,
                    HANDOVER_TIMEOUT_S,
                )
            except PeerError as error:
                # The new owner rebuilds the shard from endpoint records.
                _log.warning('handover of %s/%d failed: %s', *name, error)
                return
