"""Decodes the entries that servers write about themselves."""

from collections.abc import Iterable

import msgspec

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
    # Unix milliseconds of the start; it tells two starts with one id apart.
    born: int = 0


class _Listed(msgspec.Struct):
    name: str
    spec: msgspec.Raw


def decode_server(name: str, spec: bytes) -> EndpointEntry | None:
    """Decode one entry.

    :param name: id of the server.
    :param spec: what it wrote.
    :returns: the entry, or ``None`` if it names no usable server.
    """
    try:
        server = msgspec.json.decode(spec, type=_Server)
        address = parse_address(server.address)
    except (msgspec.DecodeError, ValueError):
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
    """Write all entries as one document for peers.

    :param entries: entries as they are stored.
    :returns: the document.
    """
    return msgspec.json.encode(
        [_Listed(entry.name, msgspec.Raw(entry.spec)) for entry in entries],
    )


def decode_servers(body: bytes) -> list[tuple[str, EndpointEntry | None]]:
    """Read a document of :func:`encode_servers`.

    :param body: the document.
    :returns: each id with its entry, ``None`` if the entry is malformed.
    """
    listed = msgspec.json.decode(body, type=list[_Listed])
    return [(item.name, decode_server(item.name, item.spec)) for item in listed]
