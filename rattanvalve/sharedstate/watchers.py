"""Which turn stores watch the platform's store.

Each waiting watch is a call that the store counts. So a few turn stores
watch, and the others learn from them within a fraction of a second. The load
this answers: a fleet that grows faster than the rates of the store.
"""

from collections.abc import Callable, Sequence

from rattanvalve.channels import Address
from rattanvalve.rendezvous import rank
from rattanvalve.sharedstate.members import StoreMember

__all__ = ('WATCHER_COUNT', 'watchers_of')

#: The store may turn a part of all VMs away, so a few more than one need.
WATCHER_COUNT = 5
_KEY = 'watchers'


def watchers_of(
    members: Sequence[StoreMember],
    is_silent: Callable[[Address], bool],
) -> list[StoreMember]:
    """Choose the members that watch the store.

    Two processes may choose differently for a moment, which only adds calls.

    :param members: all members.
    :param is_silent: whether a member did not answer its last call.
    :returns: members, the same ones on each process that reaches them.
    """
    by_name = {
        member.name: member
        for member in members
        if not (member.is_leaving or is_silent(member.address))
    }
    return [by_name[name] for name in rank(_KEY, by_name)[:WATCHER_COUNT]]
