"""Cached placement of programs on the members of the turn store."""

from collections import OrderedDict
from collections.abc import Callable

from rattanvalve.sharedstate.members import MembersView, replica_names

__all__ = ('RecordPlacement',)

#: Programs whose group is cached.
CACHED_PROGRAMS_MAX = 20_000


class RecordPlacement:
    """Caches the group of each program for the newest member list.

    A new epoch of the list clears the cache; above its limit, the program
    that was added first is evicted.

    :param view: returns the current members.
    :param lost_disks_max: number of simultaneous disk losses to tolerate.
    """

    def __init__(
        self,
        view: Callable[[], MembersView],
        lost_disks_max: int,
    ) -> None:
        self._view = view
        self._lost_disks_max = lost_disks_max
        self._epoch = 0
        self._groups: OrderedDict[str, frozenset[str]] = OrderedDict()

    def is_placed_on(self, member_name: str, program_id: str) -> bool:
        """Check whether a member stores the records of a program.

        :param member_name: name of the member.
        :param program_id: id of the program.
        :returns: whether the member is in the program's group.
        """
        view = self._view()
        if view.epoch != self._epoch:
            self._epoch = view.epoch
            self._groups.clear()
        group = self._groups.get(program_id)
        if group is None:
            chosen = replica_names(
                program_id, view.current_names, self._lost_disks_max
            )
            group = frozenset(chosen)
            self._groups[program_id] = group
            if len(self._groups) > CACHED_PROGRAMS_MAX:
                self._groups.popitem(last=False)
        return member_name in group
