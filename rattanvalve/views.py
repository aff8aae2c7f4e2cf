"""Lookups in the view of a cell, changes of its members, JSON encoding."""

from collections import OrderedDict
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field, replace
from functools import lru_cache

import msgspec

from rattanvalve.errors import FrameError
from rattanvalve.messages import Member, View
from rattanvalve.rendezvous import rank

__all__ = (
    'ROLE_ENDPOINT',
    'ROLE_ENTRY',
    'change_members',
    'decode_view',
    'encode_view',
    'endpoints_of',
    'entries_of',
    'find_member',
    'owner_of',
    'with_member',
    'without_members',
)

ROLE_ENTRY = 'entry'
ROLE_ENDPOINT = 'endpoint'
#: Cached owners per view, and cached ranks over all views. A cell is home to
#: about 45 workspaces.
_OWNER_CACHE_COUNT = 16_384
#: Views whose index is cached: the adopted one and those whose shards are
#: still being taken over.
_INDEX_CACHE_COUNT = 16


@dataclass(slots=True)
class _Index:
    """Lookup tables of one view, so that no request scans all members."""

    view: View
    members: dict[str, Member]
    entries: tuple[Member, ...]
    endpoints: tuple[Member, ...]
    entry_names: tuple[str, ...]
    owners: dict[tuple[str, int], str] = field(default_factory=dict)


#: Indexes by ``id()`` of the view, which is immutable. Each index references
#: its view, so the id is not reused while the index is cached.
_indexes: OrderedDict[int, _Index] = OrderedDict()


def _index_of(view: View) -> _Index:
    found = _indexes.get(id(view))
    if found is None:
        found = _build_index(view)
        _indexes[id(view)] = found
        if len(_indexes) > _INDEX_CACHE_COUNT:
            _indexes.popitem(last=False)
    return found


def _build_index(view: View) -> _Index:
    members: dict[str, Member] = {}
    roles: dict[str, list[Member]] = {ROLE_ENTRY: [], ROLE_ENDPOINT: []}
    for member in view.members:
        members.setdefault(member.name, member)
        roles.setdefault(member.role, []).append(member)
    entries = tuple(roles[ROLE_ENTRY])
    return _Index(
        view=view,
        members=members,
        entries=entries,
        endpoints=tuple(roles[ROLE_ENDPOINT]),
        entry_names=tuple(entry.name for entry in entries),
    )


def entries_of(view: View) -> tuple[Member, ...]:
    """List the entry processes of a view.

    :param view: view of a cell.
    :returns: entries in name order.
    """
    return _index_of(view).entries


def endpoints_of(view: View, service_name: str = '') -> tuple[Member, ...]:
    """List the endpoint processes of a view.

    :param view: view of a cell.
    :param service_name: service to select; empty for all services.
    :returns: endpoints in name order.
    """
    endpoints = _index_of(view).endpoints
    if not service_name:
        return endpoints
    return tuple(
        member for member in endpoints if member.service_name == service_name
    )


def find_member(view: View, name: str) -> Member | None:
    """Find a member by name.

    :param view: view of a cell.
    :param name: process name.
    :returns: the member, or ``None`` if the view does not list it.
    """
    return _index_of(view).members.get(name)


def owner_of(view: View, workspace: str, shard: int) -> str:
    """Return the owner of a workspace shard.

    :param view: view of a cell.
    :param workspace: workspace name.
    :param shard: shard index from 0.
    :returns: entry name, or an empty string if the view has no entry.
    """
    index = _index_of(view)
    owner = index.owners.get((workspace, shard))
    if owner is None:
        owner = _highest_ranked_entry(index.entry_names, workspace, shard)
        # The cache is bounded, as a caller may ask for any shard.
        if len(index.owners) < _OWNER_CACHE_COUNT:
            index.owners[workspace, shard] = owner
    return owner


def change_members(
    view: View,
    added: Iterable[Member],
    removed_names: Collection[str],
    change_id: str,
    ended_names: Collection[str] = (),
) -> View:
    """Remove and add any number of members in one change.

    A removed endpoint is listed in ``former`` until a member of its name is
    added or its name is in ``ended_names``.

    :param view: view to change.
    :param added: members to add; each replaces a member of the same name.
    :param removed_names: names of the members to remove.
    :param change_id: identifies this change in the store.
    :param ended_names: endpoints to drop from ``former``, as no owner can use
        them any more.
    :returns: view of the next epoch.
    """
    members = {member.name: member for member in view.members}
    former = {member.name: member for member in view.former}
    for removed in set(removed_names) & members.keys():
        former[removed] = members.pop(removed)
    members.update((member.name, member) for member in added)
    return replace(
        view,
        epoch=view.epoch + 1,
        members=tuple(members[name] for name in sorted(members)),
        change_id=change_id,
        former=tuple(
            former[name]
            for name in sorted(former.keys() - members.keys())
            if former[name].role == ROLE_ENDPOINT and name not in ended_names
        ),
    )


def with_member(view: View, member: Member, change_id: str) -> View:
    """Add a member, in place of a member of the same name.

    :param view: view to change.
    :param member: member to add.
    :param change_id: identifies this change in the store.
    :returns: view of the next epoch.
    """
    return change_members(view, (member,), (), change_id)


def without_members(
    view: View,
    names: Collection[str],
    change_id: str,
) -> View:
    """Remove members.

    :param view: view to change.
    :param names: names of the members to remove.
    :param change_id: identifies this change in the store.
    :returns: view of the next epoch.
    """
    return change_members(view, (), names, change_id)


def encode_view(view: View) -> bytes:
    """Encode a view as JSON.

    :param view: view of a cell.
    :returns: JSON text with the change id at the top level.
    """
    return msgspec.json.encode(view)


def decode_view(raw: bytes) -> View:
    """Decode a view encoded by :func:`encode_view`.

    :param raw: JSON text from the store or a peer.
    :returns: the view.
    :raises FrameError: if the text does not decode to a view.
    """
    try:
        return msgspec.json.decode(raw, type=View)
    except msgspec.DecodeError as error:
        raise FrameError(f'malformed view: {error}') from error


@lru_cache(maxsize=_OWNER_CACHE_COUNT)
def _highest_ranked_entry(
    names: tuple[str, ...],
    workspace: str,
    shard: int,
) -> str:
    return next(iter(rank(f'{workspace}/{shard}', names)), '')
