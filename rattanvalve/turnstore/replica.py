"""The records of one turn store with all that keeps them complete."""

from functools import partial

from rattanvalve.counters import Counter
from rattanvalve.logs import LogPart, part_logger
from rattanvalve.peers import PeerPool
from rattanvalve.platform.nodefile import NodeSettings
from rattanvalve.sharedstate.member_sync import sync_member_list
from rattanvalve.sharedstate.members import MembersView, StoreMember
from rattanvalve.sharedstate.shared_state import SharedState
from rattanvalve.turnstore.authority import Authority
from rattanvalve.turnstore.disklog import DiskLog
from rattanvalve.turnstore.memberstate import MemberState
from rattanvalve.turnstore.placement import RecordPlacement
from rattanvalve.turnstore.replication import Replicator
from rattanvalve.turnstore.turnlog import TurnLog
from rattanvalve.turnstore.turnrecords import retention_max_ms

__all__ = ('Replica',)

_log = part_logger(LogPart.TURNS)


class Replica:
    """Assembles log, placement, authority and replication of one store.

    :param node: settings of this process, with a data folder.
    :param state: documents of this process.
    :param pool: connections to peers.
    """

    def __init__(
        self, node: NodeSettings, state: SharedState, pool: PeerPool
    ) -> None:
        self.turn_log = TurnLog(DiskLog(node.data_folder / 'turns'))
        self.member_state = MemberState(node.data_folder / 'membership')
        self.authority = Authority(
            node.name, self.member_state, self.view, node.lost_disks_max
        )
        self.placement = RecordPlacement(self.view, node.lost_disks_max)
        self.replicator = Replicator(
            self.turn_log,
            pool,
            self.view,
            self.placement,
            self.authority,
            self._update_completeness,
            self._sync_members,
        )
        self._state = state
        self._pool = pool
        self._is_first_start = node.is_first_start

    def load(self) -> None:
        """Decide whether the records on this disk can be trusted."""
        if self._is_first_start and not self.authority.is_intact:
            # On a first start all disks are empty, so none can be lost.
            self.member_state.update(is_intact=True)
        _log.info(
            'records loaded',
            extra={
                'records': len(self.turn_log.index),
                'is_intact': self.authority.is_intact,
                'complete_epoch': self.authority.complete_epoch,
            },
        )

    def view(self) -> MembersView:
        """Return the list of members.

        :returns: the list that this process has adopted.
        """
        return self._state.view

    def sweep(self, now_s: float) -> None:
        """Remove expired records, and report chains with gaps.

        What has expired is removed once all records were read that could
        extend its retention.

        :param now_s: Unix time in seconds.
        """
        known_s = self.authority.complete_until_s(
            self.replicator.read_times_s(), now_s
        )
        # Without the others, the disk must not fill up.
        longest_s = retention_max_ms(self._state.rules) / 1000
        self.turn_log.sweep(max(known_s, now_s - longest_s))
        self._report_gaps()

    def _report_gaps(self) -> None:
        turns = self.turn_log.index.turns
        missing = turns.missing_ids
        if not missing or not self.authority.is_complete():
            return
        self._state.metrics.count(
            Counter.TURN_PREDECESSOR_MISSING, len(missing)
        )
        _log.warning(
            'stored turns continue missing turns',
            extra={
                'missing': len(missing),
                'example': min(missing),
                'added_late': turns.late_count,
            },
        )

    async def _sync_members(self, member: StoreMember) -> None:
        call = partial(self._pool.call, member.address)
        await sync_member_list(call, self._state, member)

    async def _update_completeness(self) -> None:
        if self.authority.update(self.replicator.has_read):
            _log.info(
                'turn store complete',
                extra={
                    'epoch': self.authority.complete_epoch,
                    'records': len(self.turn_log.index),
                },
            )
