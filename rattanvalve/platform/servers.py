"""Decodes the entries with which servers register in the object store."""

from collections.abc import Iterable

import msgspec

from rattanvalve.platform.malformed import MALFORMED_JSON
from rattanvalve.platform.nodefile import parse_address
from rattanvalve.platform.objects import StoredEntry
from rattanvalve.sharedstate.endpoints import EndpointEntry

__all__ = ('decode_server', 'decode_servers', 'encode_servers')

_STATES = frozenset(('ready', 'draining'))


class _Server(msgspec.Struct, rename='camel'):
    service: str
    address: str
    zone: str
    slots: int
    state: str
    cold_remaining_ms: float = 0
    # Unix time of the start in milliseconds; distinguishes restarts that use
    # the same id.
    born: int = 0


class _ListedServer(msgspec.Struct):
    name: str
    spec: msgspec.Raw


def decode_server(name: str, spec: bytes) -> EndpointEntry | None:
    """Decode the entry of one server.

    :param name: id of the server.
    :param spec: JSON content of the entry.
    :returns: the entry; ``None`` if it is malformed, has an unknown state or
        no slots.
    """
    try:
        server = msgspec.json.decode(spec, type=_Server)
        address = parse_address(server.address)
    except MALFORMED_JSON:
        return None
    if server.state not in _STATES or server.slots < 1:
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

    :param entries: entries as stored; malformed ones are included.
    :returns: the document.
    """
    return msgspec.json.encode(
        [
            _ListedServer(entry.name, msgspec.Raw(entry.spec))
            for entry in entries
        ],
    )


def decode_servers(body: bytes) -> list[tuple[str, EndpointEntry | None]]:
    """Decode a document of :func:`encode_servers`.

    :param body: the document.
    :returns: each id with its entry; ``None`` for an unusable entry.
    """
    listed = msgspec.json.decode(body, type=list[_ListedServer])
    return [(item.name, decode_server(item.name, item.spec)) for item in listed]
