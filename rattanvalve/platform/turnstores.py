"""Encodes and decodes the list of turn stores and related objects.

The list is one object, which is changed only under the condition that nobody
else has changed it. Each turn store also has an object of its own, its
registration.
"""

from collections.abc import Iterable
from typing import Annotated

import msgspec

from rattanvalve.channels import Address
from rattanvalve.errors import ConfigurationError
from rattanvalve.platform.malformed import MALFORMED_JSON
from rattanvalve.platform.nodefile import PORT_MAX
from rattanvalve.platform.objects import StoredEntry
from rattanvalve.sharedstate.members import MemberSet, MembersView, StoreMember

__all__ = (
    'LIST_NAME',
    'Registration',
    'decode_member_list',
    'decode_registration',
    'decode_retirements',
    'encode_retirements',
    'find_member_list',
    'member_list_spec',
    'registered_member',
    'registration_spec',
)

#: Name of the object that holds the list.
LIST_NAME = 'main'
#: Labels that name resolution accepts; it raises for empty and long ones.
_HOST_PATTERN = r'^[A-Za-z0-9_-]{1,63}(\.[A-Za-z0-9_-]{1,63})*$'


class _Member(msgspec.Struct):
    host: Annotated[str, msgspec.Meta(max_length=253, pattern=_HOST_PATTERN)]
    port: Annotated[int, msgspec.Meta(ge=1, le=PORT_MAX)]
    zone: str


class _Set(msgspec.Struct):
    epoch: Annotated[int, msgspec.Meta(ge=1, lt=2**53)]
    names: list[str]
    ended_ms: Annotated[int, msgspec.Meta(ge=0, lt=2**53)] = 0


class _List(msgspec.Struct):
    members: dict[str, _Member]
    sets: Annotated[list[_Set], msgspec.Meta(min_length=1)]

    def __post_init__(self) -> None:
        """Check the order of the sets and that all members are described."""
        epochs = [item.epoch for item in self.sets]
        if epochs != sorted(set(epochs)):
            raise ValueError('epochs are not in order')
        names = {name for item in self.sets for name in item.names}
        if names != self.members.keys():
            raise ValueError('sets and members differ')


class Registration(_Member):
    """Object of one turn store: its address and the id of its data folder."""

    disk_id: str = ''


def registration_spec(member: StoreMember, disk_id: str) -> dict[str, object]:
    """Encode the registration of a turn store for the object store.

    :param member: the turn store.
    :param disk_id: id of its data folder.
    :returns: content of its object, as JSON values.
    """
    return _member_spec(member) | {'disk_id': disk_id}


def decode_registration(entry: StoredEntry) -> Registration | None:
    """Decode the registration of a turn store.

    :param entry: object as stored.
    :returns: the registration; ``None`` if it is malformed.
    """
    try:
        return msgspec.json.decode(entry.spec, type=Registration)
    except MALFORMED_JSON:
        return None


def registered_member(entry: StoredEntry) -> StoreMember | None:
    """Decode the turn store that wrote a registration.

    :param entry: object as stored.
    :returns: the turn store; ``None`` if the registration is malformed.
    """
    found = decode_registration(entry)
    if found is None:
        return None
    address = Address(found.host, found.port)
    return StoreMember(entry.name, address, found.zone)


def member_list_spec(view: MembersView) -> dict[str, object]:
    """Encode the list for the object store.

    :param view: the list.
    :returns: content of its object, as JSON values.
    """
    return {
        'members': {
            member.name: _member_spec(member) for member in view.members
        },
        'sets': [
            {
                'epoch': item.epoch,
                'names': sorted(item.names),
                'ended_ms': item.ended_ms,
            }
            for item in view.sets
        ],
    }


def find_member_list(entries: Iterable[StoredEntry]) -> StoredEntry | None:
    """Find the object that holds the list.

    :param entries: objects as stored; those with other names are skipped.
    :returns: the object; ``None`` if there is no list yet.
    :raises ConfigurationError: if the list is malformed.
    """
    stored = next((item for item in entries if item.name == LIST_NAME), None)
    if stored is not None:
        try:
            decode_member_list(stored.spec)
        except MALFORMED_JSON as error:
            raise ConfigurationError(f'list of members: {error}') from error
    return stored


def decode_member_list(body: bytes) -> MembersView:
    """Decode the content of the list's object.

    :param body: the content.
    :returns: the list, with its members sorted by name.
    :raises ValueError: if it is malformed.
    """
    listed = msgspec.json.decode(body, type=_List)
    sets = tuple(
        MemberSet(item.epoch, frozenset(item.names), item.ended_ms)
        for item in listed.sets
    )
    members = tuple(
        StoreMember(
            name=name,
            address=Address(member.host, member.port),
            zone=member.zone,
            is_leaving=name not in sets[-1].names,
        )
        for name, member in sorted(listed.members.items())
    )
    return MembersView(members, sets)


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


def _member_spec(member: StoreMember) -> dict[str, object]:
    return {
        'host': member.address.host,
        'port': member.address.port,
        'zone': member.zone,
    }
