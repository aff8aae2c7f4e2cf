"""Plans names, addresses and settings of the processes of a scenario."""

import secrets
import socket
from collections.abc import Iterator
from contextlib import ExitStack
from dataclasses import dataclass, field, replace
from itertools import cycle

from rattanvalve.errors import SettingsError
from rattanvalve.owner_client import OWNER_WAIT_MAX_S
from rattanvalve.scenario import Scenario, ServiceSpec

__all__ = (
    'Address',
    'EndpointPlan',
    'EntryPlan',
    'FleetPlan',
    'peer_link',
    'plan_fleet',
    'server_link',
    'server_name',
    'store_link',
    'with_proxies',
)

HOST = '127.0.0.1'
#: Below the range of ephemeral ports of Linux, so that no outgoing connection
#: takes a chosen port before its process listens.
_PORTS = range(15_000, 32_000)
_DRAIN_GRACE_S = 0.2
#: Time in seconds in which a request that has found its owner ends.
_RUN_S = 10.0
#: A request that is open at a stop may wait for a new owner before it runs.
_STOP_TIMEOUT_S = OWNER_WAIT_MAX_S + _RUN_S
_SECRET_BYTES = 32


@dataclass(frozen=True, slots=True)
class Address:
    """A TCP address, by default on the loopback interface."""

    port: int
    host: str = HOST

    @property
    def url(self) -> str:
        """Base URL of an HTTP server at this address."""
        return f'http://{self.host}:{self.port}'

    def listen(self) -> dict:
        """Convert the address to its form in settings.

        :returns: fields of the settings model ``Listen``.
        """
        return {'host': self.host, 'port': self.port}


@dataclass(frozen=True, slots=True, kw_only=True)
class EntryPlan:
    """An entry process.

    It listens on three addresses: for callers, administration and peers.
    """

    name: str
    zone: str
    caller: Address
    admin: Address
    peer: Address


@dataclass(frozen=True, slots=True, kw_only=True)
class EndpointPlan:
    """An endpoint process and its stand-in server.

    ``server`` is the address of the server, ``peer`` that of the process.
    """

    name: str
    zone: str
    service: ServiceSpec
    server: Address
    peer: Address


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetPlan:
    """All processes of a scenario with their addresses.

    ``store`` and ``vms`` are the addresses of the stand-ins for the object
    store and the list of VMs. ``peer_secret`` is random for each plan.
    ``routes`` maps links to the addresses of their proxies; it is empty in a
    fleet without proxies.
    """

    cell: str
    store: Address
    vms: Address
    entries: tuple[EntryPlan, ...]
    endpoints: tuple[EndpointPlan, ...]
    peer_secret: str
    routes: dict[str, Address] = field(default_factory=dict)

    def entry_settings(self, entry: EntryPlan, admin_digest: str) -> dict:
        """Build the settings of an entry process.

        :param entry: entry process.
        :param admin_digest: digest of the operator's key.
        :returns: fields of the settings model ``EntrySettings``.
        """
        return {
            **self._common_settings(entry.name, entry.zone, entry.peer),
            'caller_listen': entry.caller.listen(),
            'admin_listen': entry.admin.listen(),
            'admin_key_digests': {'operator': admin_digest},
            'store_url': self.client_address(
                store_link(entry.name), self.store
            ).url,
            'vm_list_url': self.vms.url,
        }

    def endpoint_settings(self, endpoint: EndpointPlan) -> dict:
        """Build the settings of an endpoint process.

        :param endpoint: endpoint process.
        :returns: fields of the settings model ``EndpointSettings``.
        """
        server = self.client_address(
            server_link(endpoint.name),
            endpoint.server,
        )
        return {
            **self._common_settings(
                endpoint.name,
                endpoint.zone,
                endpoint.peer,
            ),
            'service': endpoint.service.name,
            'kind': endpoint.service.kind,
            'server_url': server.url,
            'capacity_count': endpoint.service.capacity_count,
            'checks_fencing': endpoint.service.checks_fencing,
        }

    def links(self) -> dict[str, Address]:
        """Return the links between processes into which a proxy can be put.

        :returns: address of the process that accepts connections, by link.
        """
        targets = {
            peer_link(planned.name): planned.peer
            for planned in (*self.entries, *self.endpoints)
        }
        for entry in self.entries:
            targets[store_link(entry.name)] = self.store
        for endpoint in self.endpoints:
            targets[server_link(endpoint.name)] = endpoint.server
        return targets

    def client_address(self, link: str, address: Address) -> Address:
        """Return the address to which the clients of a link connect.

        :param link: name of the link.
        :param address: address at which the target process listens.
        :returns: address of the link's proxy if it has one, otherwise
            ``address``.
        """
        return self.routes.get(link, address)

    def _common_settings(self, name: str, zone: str, peer: Address) -> dict:
        return {
            'name': name,
            'cell': self.cell,
            'zone': zone,
            'peer_listen': peer.listen(),
            'peer_address': self.client_address(peer_link(name), peer).listen(),
            'peer_secret': self.peer_secret,
            'seed_peers': [
                self.client_address(peer_link(entry.name), entry.peer).listen()
                for entry in self.entries
            ],
            'drain_grace_s': _DRAIN_GRACE_S,
            'stop_timeout_s': _STOP_TIMEOUT_S,
        }


def server_name(endpoint: str) -> str:
    """Return the name of the stand-in server of an endpoint.

    :param endpoint: name of the endpoint process.
    :returns: name of the server's process, also used in its journal.
    """
    return f'{endpoint}-server'


def peer_link(name: str) -> str:
    """Return the name of the link from all peers to a process.

    :param name: name of an entry or endpoint process.
    :returns: name of the link.
    """
    return f'peer:{name}'


def store_link(entry: str) -> str:
    """Return the name of the link from an entry process to the object store.

    :param entry: name of the entry process.
    :returns: name of the link.
    """
    return f'store:{entry}'


def server_link(endpoint: str) -> str:
    """Return the name of the link from an endpoint process to its server.

    :param endpoint: name of the endpoint process.
    :returns: name of the link.
    """
    return f'server:{endpoint}'


def with_proxies(plan: FleetPlan) -> FleetPlan:
    """Assign the address of a proxy to every link.

    :param plan: plan of a fleet without proxies.
    :returns: plan whose settings route all links through the proxies.
    """
    links = plan.links()
    taken = {plan.store.port, plan.vms.port}
    taken.update(address.port for address in links.values())
    for entry in plan.entries:
        taken.update((entry.caller.port, entry.admin.port))
    ports = _free_ports(len(links) + len(taken))
    free = (port for port in ports if port not in taken)
    return replace(
        plan,
        routes={link: Address(next(free)) for link in links},
    )


def plan_fleet(scenario: Scenario) -> FleetPlan:
    """Choose addresses for all processes of a scenario.

    :param scenario: scenario with the zones and services.
    :returns: plan with ports that were free when it was made; they are not
        reserved.
    :raises SettingsError: if there are too few free ports.
    """
    server_count = sum(service.server_count for service in scenario.services)
    count = 2 + 3 * len(scenario.zones) + 2 * server_count
    ports = iter(_free_ports(count))
    return FleetPlan(
        cell=scenario.cell,
        store=Address(next(ports)),
        vms=Address(next(ports)),
        entries=tuple(
            EntryPlan(
                name=f'entry-{zone}',
                zone=zone,
                caller=Address(next(ports)),
                admin=Address(next(ports)),
                peer=Address(next(ports)),
            )
            for zone in scenario.zones
        ),
        endpoints=tuple(_endpoints(scenario, ports)),
        peer_secret=secrets.token_hex(_SECRET_BYTES),
    )


def _endpoints(
    scenario: Scenario,
    ports: Iterator[int],
) -> Iterator[EndpointPlan]:
    zones = cycle(scenario.zones)
    for service in scenario.services:
        for number in range(service.server_count):
            yield EndpointPlan(
                name=f'{service.name}-{number + 1}',
                zone=next(zones),
                service=service,
                server=Address(next(ports)),
                peer=Address(next(ports)),
            )


def _free_ports(count: int) -> list[int]:
    # A random offset makes concurrent runs unlikely to choose the same ports.
    offset = secrets.randbelow(len(_PORTS))
    with ExitStack() as stack:
        free_ports: list[int] = []
        for port in (*_PORTS[offset:], *_PORTS[:offset]):
            if len(free_ports) == count:
                return free_ports
            probe = stack.enter_context(socket.socket())
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
            free_ports.append(port)
    raise SettingsError(f'fewer than {count} free ports')
