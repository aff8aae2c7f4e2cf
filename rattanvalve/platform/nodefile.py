"""Reads the settings file that the platform writes for each process.

Unused fields are ignored and not validated.
"""

import os
import socket
import tomllib
from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from rattanvalve.addresses import Address
from rattanvalve.errors import SettingsError
from rattanvalve.platform.number_bounds import clamp
from rattanvalve.sharedstate.staleness import StalenessBounds
from rattanvalve.wholenumbers import parse_whole_number

__all__ = (
    'ENVIRONMENT_VARIABLE',
    'PORT_MAX',
    'NodeSettings',
    'parse_address',
    'read_node',
)

ENVIRONMENT_VARIABLE = 'RATTANVALVE_NODE_FILE'
PORT_MAX = 65_535
#: One day.
BOUND_MAX_S = 86_400.0
#: Processes call the store several times within the bound of a document's age,
#: so without a lowest one they would call it all the time.
STALENESS_MIN_S = 0.2
#: Contract by which callers compete for the capacity of the endpoints.
_CONTENTION_CONTRACT = 'pressure'


class _Listen(msgspec.Struct, rename='camel'):
    front: str = ''
    ready_addr: str = ''


class _Limits(msgspec.Struct, rename='camel'):
    memory_mb: float
    max_fds: int = 0


class _Tolerance(msgspec.Struct, rename='camel'):
    machines: int = 0


class _Bounds(msgspec.Struct, rename='camel'):
    grace_s: float = 8
    revoke_ms: float = 5000
    config_apply_ms: float = 2000
    drain_ms: float = 2000
    catch_up_s: float = 4.5


class _Platform(msgspec.Struct, rename='camel'):
    address: str


class _NodeFile(msgspec.Struct, rename='camel'):
    node_name: str
    ip: str
    zone: str
    internal_ports: tuple[int, int]
    limits: _Limits
    platform: _Platform
    seeds: tuple[str, ...] = ()
    bootstrap: bool = False
    data_dir: str = ''
    contracts: tuple[str, ...] = ()
    listen: _Listen = msgspec.field(default_factory=_Listen)
    fault_tolerance: _Tolerance = msgspec.field(default_factory=_Tolerance)
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """Validated settings of one process, with addresses parsed."""

    name: str
    host: str
    zone: str
    first_port: int
    callers: Address | None
    readiness: Address | None
    seed_hosts: tuple[str, ...]
    store: Address
    data_folder: Path | None
    is_first_start: bool
    lost_disks_max: int
    memory_mb: float
    grace_s: float
    #: Time in seconds within which a withdrawn key must be rejected everywhere.
    key_revocation_s: float
    staleness: StalenessBounds = field(default_factory=StalenessBounds)
    #: Limit on open descriptors; 0 if the settings file states none.
    descriptors_max: int = 0
    #: Whether callers compete for the capacity of the endpoints, so that load
    #: is shared between gateways and admission depends on it.
    has_contention: bool = False

    @property
    def peer_address(self) -> Address:
        """Return the address for frames of other processes of the product.

        :returns: address at which this process listens for frames.
        """
        return Address(self.host, self.first_port)


def parse_address(text: str) -> Address:
    """Parse an IPv4 address with a port.

    :param text: ``IP:PORT``.
    :returns: the address.
    :raises ValueError: if the host is not an IPv4 address or the port is not
        between 1 and 65535.
    """
    host, _, port_text = text.rpartition(':')
    port = parse_whole_number(port_text) or 0
    if not (_is_ipv4_address(host) and 0 < port <= PORT_MAX):
        raise ValueError(f'not an IPv4 address with a port: {text!r}')
    return Address(host, port)


def _is_ipv4_address(host: str) -> bool:
    try:
        socket.inet_pton(socket.AF_INET, host)
    except (OSError, ValueError):
        # Host names are not resolved.
        return False
    return True


def read_node(path: Path | None = None) -> NodeSettings:
    """Read and validate the settings file.

    :param path: path of the file; by default the environment variable
        ``RATTANVALVE_NODE_FILE`` names it.
    :returns: the settings.
    :raises SettingsError: if the file is missing or invalid.
    """
    if path is None:
        name = os.environ.get(ENVIRONMENT_VARIABLE, '')
        if not name:
            raise SettingsError(f'{ENVIRONMENT_VARIABLE} is not set')
        path = Path(name)
    try:
        fields = tomllib.loads(path.read_text())
        return _to_settings(msgspec.convert(fields, _NodeFile, strict=False))
    except (OSError, ValueError) as error:
        raise SettingsError(f'{path}: {error}') from error


def _to_settings(node: _NodeFile) -> NodeSettings:
    return NodeSettings(
        name=node.node_name,
        host=node.ip,
        zone=node.zone,
        first_port=node.internal_ports[0],
        callers=_parse_optional_address(node.listen.front),
        readiness=_parse_optional_address(node.listen.ready_addr),
        seed_hosts=tuple(parse_address(seed).host for seed in node.seeds),
        store=parse_address(node.platform.address),
        data_folder=Path(node.data_dir) if node.data_dir else None,
        is_first_start=node.bootstrap,
        lost_disks_max=node.fault_tolerance.machines,
        memory_mb=node.limits.memory_mb,
        grace_s=clamp(node.bounds.grace_s, 0, BOUND_MAX_S),
        key_revocation_s=clamp(node.bounds.revoke_ms / 1000, 0, BOUND_MAX_S),
        staleness=StalenessBounds(
            rules_s=_staleness_s(node.bounds.config_apply_ms / 1000),
            endpoints_s=_staleness_s(node.bounds.drain_ms / 1000),
            # Records of a removed member are placed on its successor by then.
            members_s=_staleness_s(node.bounds.catch_up_s),
        ),
        descriptors_max=node.limits.max_fds,
        has_contention=_CONTENTION_CONTRACT in node.contracts,
    )


def _staleness_s(bound_s: float) -> float:
    return clamp(bound_s, STALENESS_MIN_S, BOUND_MAX_S)


def _parse_optional_address(text: str) -> Address | None:
    return parse_address(text) if text else None
