"""Members of the turn store, and the placement of programs on them.

Each program has a group of ``2 f + 1`` members, where ``f`` is the number of
simultaneous disk losses to tolerate. A record is committed once ``f + 1``
members of the group have it on disk, so that any ``f + 1`` of them together
have every committed record.

The list of members changes in epochs. The sets of earlier epochs stay in the
list until enough members of the newest set have read their records.
"""

from collections.abc import Collection, Sequence
from dataclasses import dataclass

from rattanvalve.channels import Address
from rattanvalve.rendezvous import rank

__all__ = (
    'MemberSet',
    'MembersView',
    'StoreMember',
    'quorum_size',
    'replica_group',
    'replica_names',
)


@dataclass(frozen=True, slots=True)
class StoreMember:
    """One process of the turn store.

    A member with ``is_leaving`` is not in the newest set and gets no new
    records.
    """

    name: str
    address: Address
    zone: str = ''
    is_leaving: bool = False


@dataclass(frozen=True, slots=True)
class MemberSet:
    """Names of the members that store records during one epoch.

    ``ended_ms`` is the Unix time in milliseconds at which the next set
    replaced this one, 0 for the newest.
    """

    epoch: int
    names: frozenset[str]
    ended_ms: int = 0


@dataclass(frozen=True, slots=True)
class MembersView:
    """The list of members: all that are in any set, and the sets by age.

    The newest set is the last one. Earlier ones are those whose records the
    members of the newest set may still lack.
    """

    members: tuple[StoreMember, ...] = ()
    sets: tuple[MemberSet, ...] = ()

    @property
    def epoch(self) -> int:
        """Return the epoch of the newest set.

        :returns: epoch; 0 before the first list.
        """
        return self.sets[-1].epoch if self.sets else 0

    @property
    def current_names(self) -> frozenset[str]:
        """Return the members of the newest set.

        :returns: their names; empty before the first list.
        """
        return self.sets[-1].names if self.sets else frozenset()

    @property
    def former_names(self) -> frozenset[str]:
        """Return the members of earlier sets that are not in the newest.

        :returns: their names.
        """
        names = frozenset().union(*(item.names for item in self.sets))
        return names - self.current_names


def quorum_size(lost_disks_max: int) -> int:
    """Compute how many members must store a record to commit it.

    :param lost_disks_max: number of simultaneous disk losses to tolerate.
    :returns: number of members of the group.
    """
    return lost_disks_max + 1


def replica_names(
    program_id: str,
    names: Collection[str],
    lost_disks_max: int,
) -> list[str]:
    """Choose the group of a program by the names of a set of members.

    :param program_id: id of the program.
    :param names: names of the set.
    :param lost_disks_max: number of simultaneous disk losses to tolerate.
    :returns: names of the group, highest rank first.
    """
    return rank(program_id, names)[: 2 * lost_disks_max + 1]


def replica_group(
    program_id: str,
    members: Sequence[StoreMember],
    lost_disks_max: int,
) -> list[StoreMember]:
    """Choose the group of members that store the records of a program.

    Rendezvous hashing keeps the groups stable: removing a member changes only
    the groups that contain it.

    :param program_id: id of the program.
    :param members: all members.
    :param lost_disks_max: number of simultaneous disk losses to tolerate.
    :returns: members without leaving ones, highest rank first.
    """
    by_name = {
        member.name: member for member in members if not member.is_leaving
    }
    names = replica_names(program_id, by_name, lost_disks_max)
    return [by_name[name] for name in names]
