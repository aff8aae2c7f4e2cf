"""Chooses the endpoint with the lowest estimated latency for a request."""

import random
from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass, field
from functools import partial

from rattanvalve.gateway.costs import ServiceCosts
from rattanvalve.gateway.endpoint_health import EndpointHealth
from rattanvalve.gateway.loads import EndpointLoad, LoadTable, PromptPart
from rattanvalve.sharedstate.endpoints import EndpointEntry

__all__ = (
    'Demand',
    'choose_endpoint',
    'cross_zone_ms',
    'expected_ms',
    'health_penalty_ms',
)

#: Slowdown of an endpoint with all slots occupied, relative to an idle one.
FULL_LOAD_SLOWDOWN = 0.1
#: Share of the longer service time at a slow endpoint that counts. All gateways
#: prefer the fast ones, so that their queues are longer than stale reports say;
#: with the whole time, these queues cost more than the slow endpoints.
SLOWDOWN_WEIGHT = 0.25
#: Round trip time to another zone.
CROSS_ZONE_MS = 3.0
#: Latency that counts as much as the cost of one kilobyte of traffic to
#: another zone; traffic within the zone is free.
CROSS_ZONE_MS_PER_KB = 0.5
#: Time that a failure at an endpoint costs a request.
FAILURE_PENALTY_MS = 1000.0
#: Slowness relative to the other endpoints up to which no penalty applies,
#: because random variation explains it.
SLOWNESS_TOLERANCE = 1.5
#: Upper end of the normal time to the head of a response. A request that
#: waits longer counts against the endpoint.
ENGINE_HEAD_LATENCY_MS = 400.0
SERVICE_HEAD_LATENCY_MS = 1000.0
#: Upper bound of the random delay that spreads requests over endpoints of
#: equal cost.
JITTER_MS = 1.0


@dataclass(frozen=True, slots=True)
class Demand:
    """Resources that a request needs at an endpoint.

    ``cache_tokens`` is the prompt cache capacity of an engine of the service.
    """

    service: str
    is_generation: bool = False
    parts: tuple[PromptPart, ...] = ()
    cache_tokens: int = 0
    payload_bytes: int = 0
    costs: ServiceCosts = field(default_factory=partial(ServiceCosts, 100.0))

    def is_mostly_cached(self, load: EndpointLoad) -> bool:
        """Check whether an endpoint has most of the prompt cached.

        :param load: load and cached prompt parts of the endpoint.
        :returns: whether more than half of the tokens are cached; false for a
            request without a prompt.
        """
        prompt_tokens = sum(part.token_count for part in self.parts)
        return 2 * load.cached_tokens(self.parts) > prompt_tokens

    def uncached_tokens(self, load: EndpointLoad) -> int:
        """Count the prompt tokens that an endpoint does not have cached.

        :param load: load and cached prompt parts of the endpoint.
        :returns: tokens that the endpoint would have to prefill.
        """
        prompt_tokens = sum(part.token_count for part in self.parts)
        return prompt_tokens - load.cached_tokens(self.parts)


def expected_ms(
    demand: Demand,
    endpoint: EndpointEntry,
    loads: LoadTable,
    zone: str,
    now_s: float,
) -> float:
    """Estimate the queueing, prefill and network time at an endpoint.

    Adds the cold start time of the endpoint and a penalty for poor health.

    :param demand: resources that the request needs.
    :param endpoint: candidate endpoint.
    :param loads: load and health of all endpoints.
    :param zone: zone of this process.
    :param now_s: monotonic time in seconds.
    :returns: milliseconds.
    """
    load = loads.get(endpoint)
    count = load.expected_count(now_s)
    costs = demand.costs
    queued = max(count + 1 - endpoint.slots, 0)
    effective_queue = queued + count * FULL_LOAD_SLOWDOWN
    slowdown = load.slowdown(now_s)
    total_ms = effective_queue / endpoint.slots * costs.hold_ms
    if demand.is_generation:
        total_ms += demand.uncached_tokens(load) * costs.read_ms_per_token
    total_ms = (
        total_ms * slowdown + costs.hold_ms * (slowdown - 1) * SLOWDOWN_WEIGHT
    )
    total_ms += cross_zone_ms(demand, endpoint, zone)
    health_penalty_ms = _health_penalty_ms(demand, load.health, now_s)
    return total_ms + endpoint.cold_ms + health_penalty_ms


def cross_zone_ms(demand: Demand, endpoint: EndpointEntry, zone: str) -> float:
    """Estimate what traffic to an endpoint of another zone costs.

    :param demand: resources that the request needs.
    :param endpoint: candidate endpoint.
    :param zone: zone of this process.
    :returns: milliseconds; 0 within the zone.
    """
    if endpoint.zone == zone:
        return 0
    return CROSS_ZONE_MS + demand.payload_bytes / 1000 * CROSS_ZONE_MS_PER_KB


def _health_penalty_ms(
    demand: Demand, health: EndpointHealth, now_s: float
) -> float:
    """Estimate the extra time at a failing, hung or slow endpoint, in ms."""
    head_latency_ms = SERVICE_HEAD_LATENCY_MS
    if demand.is_generation:
        head_latency_ms = ENGINE_HEAD_LATENCY_MS
    slowness = max(health.slowness(now_s) - SLOWNESS_TOLERANCE, 0)
    overdue_ms = max(
        health.oldest_unanswered_s(now_s) * 1000 - head_latency_ms, 0
    )
    failing_ms = health.failure_ratio(now_s) * FAILURE_PENALTY_MS
    return slowness * demand.costs.hold_ms + overdue_ms + failing_ms


def health_penalty_ms(
    demand: Demand, endpoint: EndpointEntry, loads: LoadTable, now_s: float
) -> float:
    """Return the part of the expected time that poor health adds.

    :param demand: resources that the request needs.
    :param endpoint: candidate endpoint.
    :param loads: load and health of all endpoints.
    :param now_s: monotonic time in seconds.
    :returns: milliseconds.
    """
    return _health_penalty_ms(demand, loads.get(endpoint).health, now_s)


def choose_endpoint(
    demand: Demand,
    endpoints: Sequence[EndpointEntry],
    loads: LoadTable,
    zone: str,
    now_s: float,
    tried: Collection[str] = (),
    surcharge_ms: Callable[[EndpointEntry], float] | None = None,
) -> EndpointEntry | None:
    """Choose the endpoint with the lowest estimated latency.

    An endpoint that is avoided after a recent failure is chosen only if no
    other candidate remains.

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
    candidates = [
        endpoint for endpoint in endpoints if endpoint.name not in tried
    ]
    available = [
        endpoint
        for endpoint in candidates
        if loads.get(endpoint).avoided_until_s <= now_s
    ]

    def cost(endpoint: EndpointEntry) -> float:
        jitter_ms = random.uniform(0, JITTER_MS)
        added_ms = surcharge_ms(endpoint) if surcharge_ms else 0
        latency_ms = expected_ms(demand, endpoint, loads, zone, now_s)
        return jitter_ms + latency_ms + added_ms

    return min(available or candidates, key=cost, default=None)
