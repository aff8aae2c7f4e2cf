"""Lists of turn store members for tests."""

from rattanvalve.sharedstate.members import MemberSet, MembersView

__all__ = ('single_set_view',)


def single_set_view(members, epoch=1):
    """Return a list whose only set has the members that do not leave."""
    names = {member.name for member in members if not member.is_leaving}
    return MembersView(tuple(members), (MemberSet(epoch, frozenset(names)),))
