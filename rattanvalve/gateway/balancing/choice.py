"""Chooses an endpoint on stale load reports without herding.

All gateways know about the same reports. If each one took the endpoint with
the least load, it would be overloaded until the next report. A gateway
therefore compares only a few candidates, drawn at random for each request.
"""

import random
from collections.abc import Callable, Collection, Sequence

from rattanvalve.gateway.loads import LoadTable
from rattanvalve.gateway.placement import (
    Demand,
    cross_zone_ms,
    expected_ms,
)
from rattanvalve.sharedstate.endpoints import EndpointEntry

__all__ = ('choose_balanced',)

#: Endpoints of which candidates are drawn; a larger service is sampled first,
#: which bounds the time of a decision.
POOL_MAX = 48
#: Endpoints that are reached at the least cost, of which the nearest
#: candidates are drawn.
NEAR_POOL = 6
#: Candidates among them, and among all endpoints. With more candidates, more
#: gateways find the same endpoint best; see docs/design/balancing.md.
NEAR_CANDIDATES = 1
OTHER_CANDIDATES = 1

_Surcharge = Callable[[EndpointEntry], float]


def choose_balanced(
    demand: Demand,
    endpoints: Sequence[EndpointEntry],
    loads: LoadTable,
    zone: str,
    now_s: float,
    tried: Collection[str] = (),
    surcharge_ms: _Surcharge | None = None,
) -> EndpointEntry | None:
    """Choose the best of a few endpoints that are drawn at random.

    One that probably has the prompt cached is always among them. The arguments
    are those of :func:`~rattanvalve.gateway.placement.choose_endpoint`.

    :param demand: resources that the request needs.
    :param endpoints: endpoints that accept new requests.
    :param loads: load and health of all endpoints.
    :param zone: zone of this process.
    :param now_s: monotonic time in seconds.
    :param tried: names of endpoints at which this request already failed.
    :param surcharge_ms: returns the time to add at an endpoint in milliseconds;
        none if omitted.
    :returns: the endpoint, or ``None`` if no candidate remains.
    """
    remaining = endpoints
    if tried:
        remaining = [
            endpoint for endpoint in endpoints if endpoint.name not in tried
        ]
    pool = _pool(remaining, loads, now_s)
    if not pool:
        return None

    def reach_ms(endpoint: EndpointEntry) -> float:
        added_ms = surcharge_ms(endpoint) if surcharge_ms else 0
        return added_ms + cross_zone_ms(demand, endpoint, zone)

    def cost(endpoint: EndpointEntry) -> float:
        added_ms = surcharge_ms(endpoint) if surcharge_ms else 0
        return added_ms + expected_ms(demand, endpoint, loads, zone, now_s)

    candidates = _draw(pool, reach_ms)
    candidates.extend(_warm(demand, pool, loads))
    return min(candidates, key=cost)


def _pool(
    remaining: Sequence[EndpointEntry], loads: LoadTable, now_s: float
) -> list[EndpointEntry]:
    """Draw a bounded number of endpoints, in random order.

    Those avoided after a recent failure are left out if others remain.
    """
    drawn = random.sample(remaining, min(len(remaining), POOL_MAX))
    available = [
        endpoint
        for endpoint in drawn
        if loads.get(endpoint).avoided_until_s <= now_s
    ]
    return available or drawn


def _draw(
    pool: list[EndpointEntry], reach_ms: _Surcharge
) -> list[EndpointEntry]:
    """Draw different candidates; the order of the pool is random."""
    near = sorted(pool, key=reach_ms)[:NEAR_POOL]
    candidates = random.sample(near, min(NEAR_CANDIDATES, len(near)))
    names = {candidate.name for candidate in candidates}
    others = [endpoint for endpoint in pool if endpoint.name not in names]
    return candidates + others[:OTHER_CANDIDATES]


def _warm(
    demand: Demand, pool: Sequence[EndpointEntry], loads: LoadTable
) -> list[EndpointEntry]:
    """List the endpoint that probably has most of the prompt cached."""
    if not demand.parts:
        return []
    first_id = demand.parts[0].part_id
    warm = [
        endpoint
        for endpoint in pool
        if first_id in loads.get(endpoint).cached_parts
    ]
    # The order of the pool, and so that of equal endpoints, is random.
    warm.sort(
        key=lambda endpoint: loads.get(endpoint).cached_tokens(demand.parts)
    )
    return warm[-1:]
