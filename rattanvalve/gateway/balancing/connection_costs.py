"""Expected cost of a new connection to an endpoint, in milliseconds.

The cost is added to the expected latency of each endpoint to which the pool
holds no idle connection, so that a request waits for a short time rather than
opens a connection, but not for longer than the connection costs.
"""

from collections.abc import Callable, Sequence
from functools import lru_cache

from rattanvalve.counters import Counter
from rattanvalve.gateway.balancing.preferred_subset import PreferredSubsets
from rattanvalve.gateway.endpoint_tables import EndpointTables
from rattanvalve.gateway.placement import CROSS_ZONE_MS
from rattanvalve.gateway.server_connection import CONNECT_TIMEOUT_S
from rattanvalve.sharedstate.endpoints import EndpointEntry

__all__ = ('ConnectionCosts', 'new_connection_ms')

#: Round trip of a TCP handshake within a zone.
SAME_ZONE_MS = 0.5
#: Work of a server to accept a connection, and of both sides to close it.
ACCEPT_MS = 8.0
#: Added outside the preferred subset. A connection there mostly expires before
#: its second request, so the server accepts another one for the next request.
OUTSIDE_SUBSET_MS = 8.0
#: Connections that a server accepts from all gateways together; 200 to 240.
CONNECTIONS_MAX = 200
#: Part of this gateway's share of them above which the cost rises, up to the
#: connect timeout when the whole share is used.
UNPENALIZED_PART = 0.5
#: Costs that are kept; the same few recur in each choice.
COST_CACHE_SIZE = 1000


@lru_cache(maxsize=COST_CACHE_SIZE)
def new_connection_ms(
    is_own_zone: bool,
    is_preferred: bool,
    used_count: int,
    gateway_count: int,
) -> float:
    """Estimate the cost of a new connection to an endpoint.

    :param is_own_zone: whether the endpoint is in the zone of this gateway.
    :param is_preferred: whether it is in the subset of this gateway.
    :param used_count: connections to it that requests of this gateway use.
    :param gateway_count: number of gateways that connect to it.
    :returns: milliseconds.
    """
    handshake_ms = SAME_ZONE_MS if is_own_zone else CROSS_ZONE_MS
    cost_ms = ACCEPT_MS + handshake_ms
    if not is_preferred:
        cost_ms += OUTSIDE_SUBSET_MS
    used_part = used_count * gateway_count / CONNECTIONS_MAX
    excess = max(used_part - UNPENALIZED_PART, 0) / (1 - UNPENALIZED_PART)
    return cost_ms + excess * CONNECT_TIMEOUT_S * 1000


class ConnectionCosts:
    """Surcharges of one gateway for endpoints without an idle connection.

    :param tables: connections to the endpoints.
    :param subsets: subsets of this gateway.
    :param zone: zone of this gateway.
    :param other_gateway_count: returns the number of other gateways; 0 also
        while they are unknown.
    """

    def __init__(
        self,
        tables: EndpointTables,
        subsets: PreferredSubsets,
        zone: str,
        other_gateway_count: Callable[[], int],
    ) -> None:
        self._tables = tables
        self._subsets = subsets
        self._zone = zone
        self._other_gateway_count = other_gateway_count

    def surcharges(
        self, service: str, candidates: Sequence[EndpointEntry], now_s: float
    ) -> Callable[[EndpointEntry], float]:
        """Return the surcharges for one choice.

        :param service: name of the service.
        :param candidates: its endpoints that may receive the request.
        :param now_s: monotonic time in seconds.
        :returns: function that returns the milliseconds to add at an endpoint.
        """
        other_count = self._other_gateway_count()
        gateway_count = other_count + 1 if other_count else None
        preferred = self._subsets.get(service, candidates, gateway_count)
        connected = self._tables.pool.connected_names(now_s)
        used_counts = self._tables.pool.used_counts()

        def surcharge_ms(endpoint: EndpointEntry) -> float:
            name = endpoint.name
            if name in connected:
                return 0
            return new_connection_ms(
                endpoint.zone == self._zone,
                name in preferred,
                used_counts.get(name, 0),
                other_count + 1,
            )

        return surcharge_ms

    def prefers(self, endpoint: EndpointEntry) -> bool:
        """Return whether an endpoint is in the subset of this gateway.

        :param endpoint: the endpoint.
        :returns: whether it was in the subset at the last choice.
        """
        return self._subsets.contains(endpoint)

    def record_choice(self, endpoint: EndpointEntry) -> None:
        """Count a request that goes beyond the subset of this gateway.

        :param endpoint: endpoint that was chosen for it.
        """
        if not self.prefers(endpoint):
            self._tables.metrics.count(Counter.CONNECTION_OUTSIDE_SUBSET)
