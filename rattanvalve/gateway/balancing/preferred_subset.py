"""The endpoints of a service that one gateway prefers.

Gateways that each use all endpoints send so few requests to each of them that
the connections between them expire. A gateway that prefers a few endpoints
keeps its connections in use.
"""

import math
from collections.abc import Sequence

from rattanvalve.rendezvous import rank
from rattanvalve.sharedstate.endpoints import EndpointEntry

__all__ = ('PreferredSubsets', 'preferred_subset', 'subset_size')

#: Smallest subset. While one endpoint is full and one restarts, a third one is
#: left.
SUBSET_MIN_COUNT = 3
#: Slots of a subset, relative to this gateway's share of all slots. The share
#: is an average; a gateway may have several times as many callers as others.
ROOM_FACTOR = 3


def subset_size(
    endpoints: Sequence[EndpointEntry], gateway_count: int | None
) -> int:
    """Compute how many endpoints a gateway prefers.

    :param endpoints: endpoints of one service.
    :param gateway_count: number of gateways that share them; ``None`` if it
        is unknown, as after a restart.
    :returns: number of endpoints, at most all of them.
    """
    size = SUBSET_MIN_COUNT
    if gateway_count:
        # The mean number of slots cancels out.
        share = len(endpoints) / gateway_count
        size = max(size, math.ceil(ROOM_FACTOR * share))
    return min(size, len(endpoints))


def preferred_subset(
    gateway: str,
    zone: str,
    endpoints: Sequence[EndpointEntry],
    gateway_count: int | None,
) -> frozenset[str]:
    """Choose the endpoints that a gateway prefers.

    Rendezvous hashing keeps the choice stable: an endpoint that is added or
    removed changes at most one choice of each gateway.

    :param gateway: name of the gateway.
    :param zone: zone of the gateway.
    :param endpoints: endpoints of one service.
    :param gateway_count: number of gateways that share them; ``None`` if it
        is unknown.
    :returns: names of the endpoints.
    """
    size = subset_size(endpoints, gateway_count)
    own_names = [entry.name for entry in endpoints if entry.zone == zone]
    other_names = [entry.name for entry in endpoints if entry.zone != zone]
    own_count = min(size, _own_zone_quota(size, own_names, endpoints))
    chosen = rank(gateway, own_names)[:own_count]
    others = rank(gateway, other_names)[: size - len(chosen)]
    return frozenset((*chosen, *others))


def _own_zone_quota(
    size: int, own_names: Sequence[str], endpoints: Sequence[EndpointEntry]
) -> int:
    """Compute how many endpoints of its own zone a gateway prefers.

    A zone with less than its part of the endpoints would get too many
    gateways, as gateways are spread evenly over the zones.
    """
    zone_count = len({entry.zone for entry in endpoints})
    part = zone_count * len(own_names) / max(len(endpoints), 1)
    return math.ceil(size * part)


class PreferredSubsets:
    """Subsets of one gateway by service, computed again after a change.

    :param gateway: name of the gateway.
    :param zone: zone of the gateway.
    """

    def __init__(self, gateway: str, zone: str) -> None:
        self._gateway = gateway
        self._zone = zone
        self._known: dict[
            str, tuple[tuple[EndpointEntry, ...], int, frozenset[str]]
        ] = {}

    def get(
        self,
        service: str,
        endpoints: Sequence[EndpointEntry],
        gateway_count: int | None,
    ) -> frozenset[str]:
        """Return the endpoints of a service that the gateway prefers.

        :param service: name of the service.
        :param endpoints: its endpoints that may receive a request.
        :param gateway_count: number of gateways that share them; ``None`` if
            it is unknown.
        :returns: names of the endpoints.
        """
        current = tuple(endpoints)
        size = subset_size(current, gateway_count)
        known = self._known.get(service)
        if known is None or known[:2] != (current, size):
            subset = preferred_subset(
                self._gateway, self._zone, current, gateway_count
            )
            known = (current, size, subset)
            self._known[service] = known
        return known[2]

    def contains(self, endpoint: EndpointEntry) -> bool:
        """Return whether the gateway prefers an endpoint.

        :param endpoint: the endpoint.
        :returns: whether it is in the newest subset of its service.
        """
        known = self._known.get(endpoint.service)
        return known is not None and endpoint.name in known[2]
