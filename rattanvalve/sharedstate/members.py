"""Members of the turn store, and the placement of programs on them.

Each program has a group of ``2 f + 1`` members, where ``f`` is the number of
simultaneous disk losses to tolerate. A record is committed once ``f + 1``
members of the group have it on disk, so that any ``f + 1`` of them together
have every committed record.
"""

from collections.abc import Sequence
from dataclasses import dataclass

from rattanvalve.channels import Address
from rattanvalve.rendezvous import rank

__all__ = ('MembersView', 'StoreMember', 'quorum_size', 'replica_group')


@dataclass(frozen=True, slots=True)
class StoreMember:
    """One process of the turn store.

    A member with ``is_leaving`` is being retired and gets no new records.
    """

    name: str
    address: Address
    zone: str = ''
    is_leaving: bool = False


@dataclass(frozen=True, slots=True)
class MembersView:
    """Members of the turn store in one version of the member list."""

    version: int = 0
    members: tuple[StoreMember, ...] = ()


def quorum_size(lost_disks_max: int) -> int:
    """Compute how many members must store a record to commit it.

    :param lost_disks_max: number of simultaneous disk losses to tolerate.
    :returns: number of members of the group.
    """
    return lost_disks_max + 1


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
    size = 2 * lost_disks_max + 1
    return [by_name[name] for name in rank(program_id, by_name)[:size]]
