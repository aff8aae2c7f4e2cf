"""Members of the turn store, and which of them keep a program's records.

Each program has a group of ``2 f + 1`` members, where ``f`` disks may be lost
at once. A record counts once ``f + 1`` of them have it on disk, so that any
``f + 1`` members of the group know every record that counts.
"""

from collections.abc import Sequence
from dataclasses import dataclass

from rattanvalve.channels import Address
from rattanvalve.rendezvous import rank

__all__ = ('MembersView', 'StoreMember', 'group_of', 'quorum_size')


@dataclass(frozen=True, slots=True)
class StoreMember:
    """One process of the turn store."""

    name: str
    address: Address
    zone: str = ''
    is_leaving: bool = False


@dataclass(frozen=True, slots=True)
class MembersView:
    """Members of the turn store at one version of their list."""

    version: int = 0
    members: tuple[StoreMember, ...] = ()


def quorum_size(lost_disks_max: int) -> int:
    """Tell how many members have to store a record.

    :param lost_disks_max: disks that may be lost at once.
    :returns: number of members.
    """
    return lost_disks_max + 1


def group_of(
    program_id: str,
    members: Sequence[StoreMember],
    lost_disks_max: int,
) -> list[StoreMember]:
    """Choose the members that keep the records of a program.

    :param program_id: program.
    :param members: all members.
    :param lost_disks_max: disks that may be lost at once.
    :returns: members, best first; leaving ones are left out.
    """
    by_name = {
        member.name: member for member in members if not member.is_leaving
    }
    size = 2 * lost_disks_max + 1
    return [by_name[name] for name in rank(program_id, by_name)[:size]]
