"""Decodes the entries with which servers register in the object store."""

from collections.abc import Iterable
from typing import Annotated

import msgspec

from rattanvalve.platform.malformed import MALFORMED_JSON
from rattanvalve.platform.nodefile import parse_address
from rattanvalve.platform.objects import StoredEntry
from rattanvalve.sharedstate.endpoints import EndpointEntry

__all__ = ('decode_server', 'decode_servers', 'encode_servers')

_STATES = frozenset(('ready', 'draining'))


#: More concurrent requests than any server can serve.
SLOTS_MAX = 1_000_000
#: One day; a server is never slow after its start for longer.
COLD_MS_MAX = 86_400_000
#: Largest integer that all JSON implementations represent exactly.
BORN_MS_MAX = 2**53


class _Server(msgspec.Struct, rename='camel'):
    service: str
    address: str
    zone: str
    slots: Annotated[int, msgspec.Meta(ge=1, le=SLOTS_MAX)]
    state: str
    cold_remaining_ms: Annotated[float, msgspec.Meta(le=COLD_MS_MAX)] = 0
    # Unix time of the start in milliseconds; distinguishes restarts that use
    # the same id.
    born: Annotated[int, msgspec.Meta(ge=0, le=BORN_MS_MAX)] = 0


class _ListedServer(msgspec.Struct):
    name: str
    spec: msgspec.Raw


def decode_server(name: str, spec: bytes) -> EndpointEntry | None:
    """Decode the entry of one server.

    :param name: id of the server.
    :param spec: JSON content of the entry.
    :returns: the entry; ``None`` if it is malformed, has an unknown state, no
        slots or a number out of range.
    """
    try:
        server = msgspec.json.decode(spec, type=_Server)
        address = parse_address(server.address)
    except MALFORMED_JSON:
        return None
    if server.state not in _STATES:
        return None
    return EndpointEntry(
        name=name,
        service=server.service,
        address=address,
        zone=server.zone,
        slots=server.slots,
        is_draining=server.state == 'draining',
        cold_ms=max(server.cold_remaining_ms, 0),
        born_ms=server.born,
    )


def encode_servers(entries: Iterable[StoredEntry]) -> bytes:
    """Encode all entries as one document for peers.

    :param entries: entries as stored; the content of unusable ones is left
        out.
    :returns: the document.
    """
    return msgspec.json.encode(
        [
            _ListedServer(entry.name, msgspec.Raw(_usable_spec(entry)))
            for entry in entries
        ],
    )


def _usable_spec(entry: StoredEntry) -> bytes:
    is_usable = decode_server(entry.name, entry.spec) is not None
    return entry.spec if is_usable else b'null'


def decode_servers(body: bytes) -> list[tuple[str, EndpointEntry | None]]:
    """Decode a document of :func:`encode_servers`.

    :param body: the document.
    :returns: each id with its entry; ``None`` for an unusable entry.
    """
    listed = msgspec.json.decode(body, type=list[_ListedServer])
    return [(item.name, decode_server(item.name, item.spec)) for item in listed]
