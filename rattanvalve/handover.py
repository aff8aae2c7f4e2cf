"""Handing shards over to their next owner without sealing."""

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

HANDOVER_TIMEOUT_S = 5.0

_log = part_logger(LogPart.OWNER)


class Handovers:
    """Sends and receives the state of shards.

    :param owner: owner role of this process.
    :param ports: collaborators.
    :param takeover: knows which shards this process may act for.
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
        """Send the state of shards to their owners under a new view.

        Shards are exported before the first message is sent, and from then on
        requests for them are refused.

        :param new_view: view that this process learned and has not yet passed
            to :meth:`take_over`.
        """
        chain = self._takeover.chain
        exports = []
        for name in tuple(self._owner.table.shards):
            if chain.is_mine(new_view, name):
                continue
            if self._may_export(name, new_view):
                exports.append((name, self._export(name)))
            self._owner.table.release(*name)
        await asyncio.gather(
            *(self._send_parts(new_view, *export) for export in exports),
        )

    def receive(self, handover: Handover) -> Ack | Refusal:
        """Import a shard, or a part of it, from its earlier owner.

        :param handover: message of the earlier owner.
        :returns: acknowledgement, or refusal of an outdated epoch.
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
            # The bucket refills at the configured rate from now on.
            self._owner.table.open(
                name,
                self._takeover.context(),
                self._ports.clock(),
            )
            self._takeover.chain.imported[name] = handover.epoch
            self._takeover.publish()
        return Ack(epoch=epoch)

    def _may_export(self, name: ShardName, new_view: View) -> bool:
        """Return whether this process is surely the last owner of a shard."""
        newest = self._takeover.chain.newest()
        return (
            bool(newest.epoch)
            and not self._takeover.chain.is_moved(name)
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
        member = self._ports.lookups.member_of(view, new_owner)
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
