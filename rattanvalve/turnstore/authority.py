"""Decides for which records the answers of a turn store are authoritative.

A store is complete at an epoch once it has read, from enough members of each
set in the list, every record that they could have committed. It may answer for
a program at a later epoch, too, if it was in the program's group all the time.
"""

from collections.abc import Callable, Mapping

from rattanvalve.logs import LogPart, part_logger
from rattanvalve.sharedstate.members import (
    MemberSet,
    MembersView,
    replica_names,
)
from rattanvalve.turnstore.memberstate import MemberState

__all__ = ('Authority', 'is_caught_up')

_log = part_logger(LogPart.TURNS)


def is_caught_up(
    own_name: str,
    view: MembersView,
    has_read: Callable[[str], bool],
    lost_disks_max: int,
    *,
    is_intact: bool,
) -> bool:
    """Check whether a store has every record that it must have.

    Each committed record is on ``lost_disks_max + 1`` members of the set of its
    epoch. So of each set at most ``lost_disks_max`` members may be unread,
    including this one if its disk was lost.

    :param own_name: name of this member.
    :param view: list of members.
    :param has_read: returns whether all records of a member were read after
        it had adopted this list.
    :param lost_disks_max: number of simultaneous disk losses to tolerate.
    :param is_intact: whether this member has all records that it acknowledged.
    :returns: whether no committed record can be missing.
    """
    known = {own_name} if is_intact else set()

    def is_read(member_set: MemberSet) -> bool:
        unread = sum(
            not (name in known or (name != own_name and has_read(name)))
            for name in member_set.names
        )
        return unread <= lost_disks_max

    return bool(view.sets) and all(map(is_read, view.sets))


class Authority:
    """Knows the epoch at which this store answers, and for which programs.

    :param own_name: name of this member.
    :param state: durable record of this member.
    :param view: returns the list of members.
    :param lost_disks_max: number of simultaneous disk losses to tolerate.
    """

    def __init__(
        self,
        own_name: str,
        state: MemberState,
        view: Callable[[], MembersView],
        lost_disks_max: int,
    ) -> None:
        self.own_name = own_name
        self._state = state
        self._view = view
        self._lost_disks_max = lost_disks_max

    @property
    def complete_epoch(self) -> int:
        """Return the epoch at which this store was last complete.

        :returns: epoch; 0 if it never was, or its disk was lost since.
        """
        return self._state.record.complete_epoch

    @property
    def is_intact(self) -> bool:
        """Return whether this store has all records that it acknowledged.

        :returns: false after the loss of its disk until it is complete.
        """
        return self._state.record.is_intact

    def epoch(self) -> int:
        """Return the epoch of the list, and refuse earlier ones from now on.

        :returns: epoch; 0 while the list is older than one that this store has
            answered by before a restart.
        """
        epoch = self._view().epoch
        sealed = self._state.record.sealed_epoch
        if epoch > sealed:
            try:
                self._state.update(sealed_epoch=epoch)
            except OSError as error:
                _log.error('epoch not sealed', extra={'error': str(error)})
                return 0
            _log.info('epoch sealed', extra={'epoch': epoch})
        return epoch if epoch >= sealed else 0

    def is_complete(self) -> bool:
        """Return whether no record of any program can be missing.

        :returns: whether this store is complete at the epoch of the list.
        """
        epoch = self.epoch()
        return epoch > 0 and self.complete_epoch == epoch

    def is_complete_for(self, program_id: str) -> bool:
        """Return whether the store may count for a quorum of a program.

        :param program_id: id of the program.
        :returns: whether it is complete, or was when it last was and has been
            in the group of the program at each epoch since.
        """
        if self.is_complete():
            return True
        since = [
            item
            for item in self._view().sets
            if item.epoch >= self.complete_epoch
        ]
        is_chain = bool(since) and since[0].epoch == self.complete_epoch
        return (
            is_chain
            and self.is_intact
            and self.epoch() > 0
            and all(self._is_placed_here(program_id, item) for item in since)
        )

    def update(self, has_read: Callable[[str], bool]) -> bool:
        """Mark this store as complete if it has caught up.

        :param has_read: as in :func:`is_caught_up`.
        :returns: whether it has become complete.
        :raises OSError: if this cannot be written to the disk.
        """
        epoch = self.epoch()
        if not epoch or self.complete_epoch == epoch:
            return False
        has_caught_up = is_caught_up(
            self.own_name,
            self._view(),
            has_read,
            self._lost_disks_max,
            is_intact=self.is_intact,
        )
        if has_caught_up:
            self._state.update(complete_epoch=epoch, is_intact=True)
        return has_caught_up

    def complete_until_s(
        self, read_s: Mapping[str, float], now_s: float
    ) -> float:
        """Compute until when no committed record can be missing here.

        :param read_s: Unix time in seconds at which all records of each other
            member were last read, by name.
        :param now_s: present Unix time in seconds.
        :returns: Unix time in seconds; 0 if too few members were ever read.
        """
        view = self._view()
        for moment_s in (now_s, *sorted(read_s.values(), reverse=True)):
            read = {name for name, at_s in read_s.items() if at_s >= moment_s}
            if is_caught_up(
                self.own_name,
                view,
                read.__contains__,
                self._lost_disks_max,
                is_intact=self.is_intact,
            ):
                return moment_s
        return 0

    def expire_loss(self, now_ms: int, retention_ms: int) -> None:
        """Forget the loss of the disk once all that was on it has expired.

        Otherwise stores that lost more disks than are tolerated would wait for
        each other for ever.

        :param now_ms: Unix time in milliseconds.
        :param retention_ms: longest retention of any record, with a margin for
            the differences between clocks.
        :raises OSError: if this cannot be written to the disk.
        """
        record = self._state.record
        if record.is_intact or record.began_ms + retention_ms > now_ms:
            return
        self._state.update(is_intact=True)
        _log.warning('records of the lost disk have expired')

    def _is_placed_here(self, program_id: str, member_set: MemberSet) -> bool:
        return self.own_name in replica_names(
            program_id, member_set.names, self._lost_disks_max
        )
