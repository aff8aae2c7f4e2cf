"""Encodes and decodes turn store members and operators' retirements."""

from collections.abc import Iterable
from typing import Annotated

import msgspec

from rattanvalve.channels import Address
from rattanvalve.platform.malformed import MALFORMED_JSON
from rattanvalve.platform.nodefile import PORT_MAX
from rattanvalve.platform.objects import StoredEntry
from rattanvalve.sharedstate.members import StoreMember

__all__ = (
    'decode_members',
    'decode_retirements',
    'encode_members',
    'encode_retirements',
    'member_spec',
)


#: Labels that name resolution accepts; it raises for empty and long ones.
_HOST_PATTERN = r'^[A-Za-z0-9_-]{1,63}(\.[A-Za-z0-9_-]{1,63})*$'


class _Member(msgspec.Struct):
    host: Annotated[str, msgspec.Meta(max_length=253, pattern=_HOST_PATTERN)]
    port: Annotated[int, msgspec.Meta(ge=1, le=PORT_MAX)]
    zone: str
    is_leaving: bool = False


class _ListedMember(msgspec.Struct):
    name: str
    spec: _Member


def member_spec(member: StoreMember) -> dict[str, object]:
    """Encode a member for the object store.

    :param member: the member.
    :returns: content of its object, as JSON values.
    """
    return {
        'host': member.address.host,
        'port': member.address.port,
        'zone': member.zone,
        'is_leaving': member.is_leaving,
    }


def encode_members(entries: Iterable[StoredEntry]) -> bytes:
    """Encode all members as one document for peers.

    :param entries: objects as stored; malformed ones are skipped.
    :returns: the document.
    """
    listed = []
    for entry in entries:
        try:
            spec = msgspec.json.decode(entry.spec, type=_Member)
        except MALFORMED_JSON:
            continue
        listed.append(_ListedMember(entry.name, spec))
    return msgspec.json.encode(listed)


def decode_members(body: bytes) -> tuple[StoreMember, ...]:
    """Decode a document of :func:`encode_members`.

    :param body: the document.
    :returns: the members, sorted by name.
    """
    listed = msgspec.json.decode(body, type=list[_ListedMember])
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
    """Encode the names of the VMs to retire as one document for peers.

    :param entries: retirement objects as stored; only their names are used.
    :returns: the document, sorted by name.
    """
    return msgspec.json.encode(sorted(entry.name for entry in entries))


def decode_retirements(body: bytes) -> frozenset[str]:
    """Decode a document of :func:`encode_retirements`.

    :param body: the document.
    :returns: names of the VMs to retire.
    """
    return msgspec.json.decode(body, type=frozenset[str])
