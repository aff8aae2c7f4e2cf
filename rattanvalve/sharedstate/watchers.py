"""Selection of the turn stores that watch the platform's store.

The store counts each pending watch as a call. So only a few turn stores watch,
and the other processes get changes from them within a fraction of a second.
This limits the load of a fleet that grows faster than the store's rate limits.
"""

from collections.abc import Callable, Sequence

from rattanvalve.channels import Address
from rattanvalve.rendezvous import rank
from rattanvalve.sharedstate.members import StoreMember

__all__ = ('WATCHER_COUNT', 'watchers_of')

#: More than one watcher, as the store may refuse calls of some VMs.
WATCHER_COUNT = 3
_KEY = 'watchers'


def watchers_of(
    members: Sequence[StoreMember],
    is_unreachable: Callable[[Address], bool],
) -> list[StoreMember]:
    """Choose the members that watch the store.

    Processes may briefly choose differently, which only adds calls.

    :param members: all members.
    :param is_unreachable: returns whether the last call of a member failed.
    :returns: watchers; processes that reach the same members choose the same.
    """
    by_name = {
        member.name: member
        for member in members
        if not (member.is_leaving or is_unreachable(member.address))
    }
    return [by_name[name] for name in rank(_KEY, by_name)[:WATCHER_COUNT]]
