"""Which members keep the records of a program, worked out once for each."""

from collections import OrderedDict
from collections.abc import Callable

from rattanvalve.sharedstate.members import MembersView, group_of

__all__ = ('RecordPlacement',)

#: Programs whose members are remembered.
PROGRAMS_MAX = 20_000


class RecordPlacement:
    """Groups of programs at the newest version of the members.

    :param view: gives the members.
    :param lost_disks_max: disks that may be lost at once.
    """

    def __init__(
        self,
        view: Callable[[], MembersView],
        lost_disks_max: int,
    ) -> None:
        self._view = view
        self._lost_disks_max = lost_disks_max
        self._version = 0
        self._groups: OrderedDict[str, frozenset[str]] = OrderedDict()

    def version(self) -> int:
        """Give the version of the members.

        :returns: version; 0 if there are no members yet.
        """
        return self._view().version

    def is_kept_by(self, member_name: str, program_id: str) -> bool:
        """Tell whether a member keeps the records of a program.

        :param member_name: name of the member.
        :param program_id: program.
        :returns: whether it is in the program's group.
        """
        view = self._view()
        if view.version != self._version:
            self._version = view.version
            self._groups.clear()
        group = self._groups.get(program_id)
        if group is None:
            chosen = group_of(program_id, view.members, self._lost_disks_max)
            group = frozenset(member.name for member in chosen)
            self._groups[program_id] = group
            if len(self._groups) > PROGRAMS_MAX:
                self._groups.popitem(last=False)
        return member_name in group
