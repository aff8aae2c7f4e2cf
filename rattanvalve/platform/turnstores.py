"""Objects of the members of the turn store, and operators' retirements."""

from collections.abc import Iterable

import msgspec

from rattanvalve.channels import Address
from rattanvalve.platform.objects import StoredEntry
from rattanvalve.sharedstate.members import StoreMember

__all__ = (
    'decode_members',
    'decode_retirements',
    'encode_members',
    'encode_retirements',
    'member_spec',
)


class _Member(msgspec.Struct):
    host: str
    port: int
    zone: str
    is_leaving: bool = False


class _Listed(msgspec.Struct):
    name: str
    spec: _Member


def member_spec(member: StoreMember) -> dict[str, object]:
    """Give the content of a member's object.

    :param member: the member.
    :returns: JSON values.
    """
    return {
        'host': member.address.host,
        'port': member.address.port,
        'zone': member.zone,
        'is_leaving': member.is_leaving,
    }


def encode_members(entries: Iterable[StoredEntry]) -> bytes:
    """Write all members as one document for peers; unreadable ones are left.

    :param entries: objects as they are stored.
    :returns: the document.
    """
    listed = []
    for entry in entries:
        try:
            spec = msgspec.json.decode(entry.spec, type=_Member)
        except msgspec.DecodeError:
            continue
        listed.append(_Listed(entry.name, spec))
    return msgspec.json.encode(listed)


def decode_members(body: bytes) -> tuple[StoreMember, ...]:
    """Read a document of :func:`encode_members`.

    :param body: the document.
    :returns: the members, in the order of their names.
    """
    listed = msgspec.json.decode(body, type=list[_Listed])
    members = (
        StoreMember(
            name=item.name,
            address=Address(item.spec.host, item.spec.port),
            zone=item.spec.zone,
            is_leaving=item.spec.is_leaving,
        )
        for item in listed
    )
    return tuple(sorted(members, key=lambda member: member.name))


def encode_retirements(entries: Iterable[StoredEntry]) -> bytes:
    """Write which VMs the operators retire as one document for peers.

    :param entries: objects as they are stored.
    :returns: the document.
    """
    return msgspec.json.encode(sorted(entry.name for entry in entries))


def decode_retirements(body: bytes) -> frozenset[str]:
    """Read a document of :func:`encode_retirements`.

    :param body: the document.
    :returns: names of VMs.
    """
    return msgspec.json.decode(body, type=frozenset[str])
