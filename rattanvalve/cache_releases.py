"""Release messages to endpoint processes for caches that are not needed."""

import asyncio
from contextlib import suppress

from rattanvalve.channels import Address
from rattanvalve.errors import PeerError
from rattanvalve.messages import Release
from rattanvalve.ownerports import OwnerPorts
from rattanvalve.ownership import Owner
from rattanvalve.programcaches import CacheRelease
from rattanvalve.shardtable import ShardName

__all__ = ('CacheReleases',)

#: Timeout in seconds. There is no retry, since a lost message only wastes
#: memory until the deadline of the hold.
RELEASE_TIMEOUT_S = 2.0
_ENGINE = 'engine'


class CacheReleases:
    """Sends ``Release`` messages in the background.

    :param owner: owner role, whose ledgers collect the releases.
    :param ports: functions and objects of the rest of the process.
    """

    def __init__(self, owner: Owner, ports: OwnerPorts) -> None:
        self._owner = owner
        self._ports = ports
        self._tasks: set[asyncio.Task] = set()

    def send(self, name: ShardName) -> None:
        """Send the releases that the ledger of a shard has collected.

        :param name: workspace and shard index.
        """
        shard = self._owner.table.find(*name)
        if shard is None:
            return
        services = self._ports.blackboard.catalog.services
        for release in shard.ledger.caches.drain():
            entry = services.get(release.service_name)
            if entry is not None and entry.kind == _ENGINE:
                task = asyncio.ensure_future(self._send_one(name, release))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)

    async def _send_one(self, name: ShardName, release: CacheRelease) -> None:
        view = self._ports.blackboard.view
        member = self._ports.lookups.find_member(view, release.endpoint)
        if member is None:
            return
        message = Release(
            workspace=name[0],
            program_id=release.program_id,
            epoch=view.epoch,
        )
        with suppress(PeerError):
            await self._ports.pool.call(
                Address(member.host, member.port),
                message,
                RELEASE_TIMEOUT_S,
            )
