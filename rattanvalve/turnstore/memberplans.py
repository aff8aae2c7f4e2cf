"""Decides how the list of turn store members changes.

The functions return the list that a member should write next, or ``None`` if
the list stays as it is.
"""

from collections.abc import Collection, Mapping
from dataclasses import replace

from rattanvalve.sharedstate.members import MemberSet, MembersView, StoreMember
from rattanvalve.turnstore.replication import PullState

__all__ = (
    'expire_sets',
    'join_members',
    'leave',
    'remove_unresponsive',
    'settle',
    'unresponsive_members',
    'update_member',
)

#: A member that has been silent for this long is removed.
UNRESPONSIVE_TIMEOUT_S = 5.0
#: The same while more members are silent than may be lost at once. They will
#: rather return than be replaced, and no record of theirs can be read before.
MANY_UNRESPONSIVE_TIMEOUT_S = 30.0


def join_members(
    view: MembersView,
    joining: Collection[StoreMember],
    now_ms: int,
    lost_disks_max: int,
    *,
    is_first_start: bool,
) -> MembersView | None:
    """Add members to the newest set.

    While the records of an earlier set are being read, a further change would
    leave programs without a quorum. So members join one after the other, unless
    the set is too small for the groups of programs or nothing is stored yet.

    :param view: list of members.
    :param joining: members to add; those that are in the set are ignored.
    :param now_ms: Unix time in milliseconds.
    :param lost_disks_max: number of simultaneous disk losses to tolerate.
    :param is_first_start: whether the whole deployment starts for the first
        time.
    :returns: list with the members; ``None`` if none is to be added now.
    """
    new = [item for item in joining if item.name not in view.current_names]
    is_small = len(view.current_names) <= 2 * lost_disks_max
    if not new or not (is_first_start or is_small or _is_settled(view)):
        return None
    names = view.current_names | {member.name for member in new}
    return _with_set(view, names, now_ms, new)


def leave(view: MembersView, name: str, now_ms: int) -> MembersView | None:
    """Remove a member that is retired from the newest set.

    :param view: list of members.
    :param name: name of the member.
    :param now_ms: Unix time in milliseconds.
    :returns: list without the member; ``None`` if it is not in the set, it is
        the last one, or the records of an earlier set are being read.
    """
    names = view.current_names - {name}
    if not names or names == view.current_names or not _is_settled(view):
        return None
    return _with_set(view, names, now_ms)


def update_member(view: MembersView, own: StoreMember) -> MembersView | None:
    """Update the address of a member that returned under its name.

    :param view: list of members.
    :param own: the member as it is now.
    :returns: list with its address; ``None`` if that is known.
    """
    known = {member.name: member for member in view.members}
    listed = known.get(own.name)
    if listed is None or replace(listed, is_leaving=False) == own:
        return None
    known[own.name] = own
    return replace(view, members=tuple(known.values()))


def settle(
    view: MembersView,
    complete_names: Collection[str],
    lost_disks_max: int,
) -> MembersView | None:
    """Drop the earlier sets once their records are safe in the newest one.

    Enough members are then complete for each record to be on as many disks as
    a record that is committed by the newest set.

    :param view: list of members.
    :param complete_names: members that are complete at the epoch of the list.
    :param lost_disks_max: number of simultaneous disk losses to tolerate.
    :returns: list with the newest set only; ``None`` if it is too early.
    """
    incomplete = view.current_names - set(complete_names)
    if _is_settled(view) or len(incomplete) > lost_disks_max:
        return None
    return _without_sets(view, view.sets[:-1])


def expire_sets(
    view: MembersView, now_ms: int, retention_ms: int
) -> MembersView | None:
    """Drop earlier sets whose records have all expired.

    :param view: list of members.
    :param now_ms: Unix time in milliseconds.
    :param retention_ms: longest retention of any record, with a margin for
        the differences between clocks.
    :returns: list without these sets; ``None`` if there is none.
    """
    expired = [
        item for item in view.sets[:-1] if item.ended_ms + retention_ms < now_ms
    ]
    return _without_sets(view, expired) if expired else None


def unresponsive_members(
    view: MembersView,
    pulled: Mapping[str, PullState],
    lost_disks_max: int,
) -> frozenset[str]:
    """Choose the members to remove.

    :param view: list of members.
    :param pulled: replication state of each other member, by name.
    :param lost_disks_max: number of simultaneous disk losses to tolerate.
    :returns: names of the members to remove.
    """
    silent_s = {
        name: state.silent_s
        for name, state in pulled.items()
        if name in view.current_names
    }
    for timeout_s, count_max in (
        (UNRESPONSIVE_TIMEOUT_S, lost_disks_max),
        (MANY_UNRESPONSIVE_TIMEOUT_S, len(silent_s)),
    ):
        silent = {
            name for name, time_s in silent_s.items() if time_s > timeout_s
        }
        if len(silent) <= count_max:
            return frozenset(silent)
    return frozenset()


def remove_unresponsive(
    view: MembersView,
    pulled: Mapping[str, PullState],
    now_ms: int,
    lost_disks_max: int,
) -> MembersView | None:
    """Remove members that have been silent for too long.

    :param view: list of members.
    :param pulled: replication state of each other member, by name.
    :param now_ms: Unix time in milliseconds.
    :param lost_disks_max: number of simultaneous disk losses to tolerate.
    :returns: list without these members; ``None`` if there is none, or the
        records of an earlier set are being read.
    """
    silent = unresponsive_members(view, pulled, lost_disks_max)
    if not silent or not _is_settled(view):
        return None
    return _with_set(view, view.current_names - silent, now_ms)


def _is_settled(view: MembersView) -> bool:
    return len(view.sets) <= 1


def _with_set(
    view: MembersView,
    names: frozenset[str],
    now_ms: int,
    added: Collection[StoreMember] = (),
) -> MembersView:
    """Append a set as the newest one."""
    former = view.sets[:-1]
    if view.sets:
        former = (*former, replace(view.sets[-1], ended_ms=now_ms))
    sets = (*former, MemberSet(view.epoch + 1, names))
    members = {member.name: member for member in (*view.members, *added)}
    return MembersView(tuple(members.values()), sets)


def _without_sets(
    view: MembersView, dropped: Collection[MemberSet]
) -> MembersView:
    sets = tuple(item for item in view.sets if item not in dropped)
    names = frozenset().union(*(item.names for item in sets))
    members = tuple(item for item in view.members if item.name in names)
    return MembersView(members, sets)
