"""Endpoint selection by named placement policies."""

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from rattanvalve.candidates import (
    EndpointLoad,
    find_candidate,
    least_load,
)
from rattanvalve.messages import Member

__all__ = ('PLACEMENT_POLICIES', 'PlacementRequest', 'Policy', 'place')

DEFAULT_POLICY = 'affinity'
#: Prompt tokens whose recomputation costs as much as a load of one more
#: request per slot. A prefill delays all requests of the batch, so its cost is
#: a multiple of its own duration. Measured in docs/measurements.md.
PROMPT_TOKENS_PER_LOAD = 1024
#: Largest load above the least loaded endpoint that a cached prompt justifies.
AFFINITY_PENALTY_MAX = 2.0
#: Below this load an endpoint has a free slot, so no other endpoint would
#: start the request earlier.
FREE_SLOT_LOAD = 0.99
_SEED = 1


@dataclass(frozen=True, slots=True, kw_only=True)
class PlacementRequest:
    """Properties of a request that policies use.

    ``last_endpoint`` served the previous call of the program; it is empty for
    none. ``prompt_tokens`` is an estimate.
    """

    service_name: str
    workspace: str = ''
    program_id: str = ''
    last_endpoint: str = ''
    prompt_tokens: int = 0


#: Chooses from a non-empty list of candidates at a time in seconds.
Policy = Callable[
    [PlacementRequest, Sequence[EndpointLoad], float],
    EndpointLoad,
]


def place(
    request: PlacementRequest,
    policy: Policy | str,
    candidates: Sequence[EndpointLoad],
    now_s: float,
) -> Member | None:
    """Select an endpoint.

    :param request: request to place.
    :param policy: policy or its name; unknown names select the default.
    :param candidates: endpoints of the service that accept new work.
    :param now_s: current time in seconds.
    :returns: the endpoint, or ``None`` if there is no candidate.
    """
    if not candidates:
        return None
    if isinstance(policy, str):
        default = PLACEMENT_POLICIES[DEFAULT_POLICY]
        policy = PLACEMENT_POLICIES.get(policy, default)
    return policy(request, candidates, now_s).member


def make_least_loaded(seed: int) -> Policy:
    """Create the policy that takes the less loaded of two random endpoints.

    If every owner chose the least loaded endpoint, all of them would send to
    the same one until its next report.

    :param seed: seed of the random choices.
    :returns: policy; it keeps the state of its random generator.
    """
    rng = random.Random(seed)

    def choose(
        request: PlacementRequest,
        candidates: Sequence[EndpointLoad],
        now_s: float,
    ) -> EndpointLoad:
        pair = rng.sample(candidates, min(2, len(candidates)))
        return min(pair, key=_load_of)

    return choose


def make_affinity(
    fallback: Policy,
) -> Policy:
    """Create the policy that prefers the endpoint with the cached prompt.

    :param fallback: policy for requests whose last endpoint is unavailable or
        overloaded.
    :returns: policy.
    """

    def choose(
        request: PlacementRequest,
        candidates: Sequence[EndpointLoad],
        now_s: float,
    ) -> EndpointLoad:
        least = least_load(candidates)
        recompute_cost = request.prompt_tokens / PROMPT_TOKENS_PER_LOAD
        max_load = max(least, FREE_SLOT_LOAD) + min(
            AFFINITY_PENALTY_MAX, recompute_cost
        )
        last = find_candidate(candidates, request.last_endpoint)
        if last is not None and last.load <= max_load:
            return last
        return fallback(request, candidates, now_s)

    return choose


def make_round_robin() -> Policy:
    """Create the baseline policy, which takes the endpoints in name order.

    :returns: policy; it keeps the last endpoint of each service.
    """
    last_chosen: dict[str, str] = {}

    def choose(
        request: PlacementRequest,
        candidates: Sequence[EndpointLoad],
        now_s: float,
    ) -> EndpointLoad:
        ordered = sorted(candidates, key=_name_of)
        last = last_chosen.get(request.service_name, '')
        following = (entry for entry in ordered if _name_of(entry) > last)
        chosen = next(following, ordered[0])
        last_chosen[request.service_name] = _name_of(chosen)
        return chosen

    return choose


def _load_of(candidate: EndpointLoad) -> float:
    return candidate.load


def _name_of(candidate: EndpointLoad) -> str:
    return candidate.member.name


PLACEMENT_POLICIES: dict[str, Policy] = {
    'affinity': make_affinity(make_least_loaded(_SEED)),
    'least_loaded': make_least_loaded(_SEED),
    'round_robin': make_round_robin(),
}
