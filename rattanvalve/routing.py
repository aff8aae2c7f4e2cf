"""Endpoint selection: a registry of placement policies."""

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
#: Prompt whose recomputation is worth one more request per slot of load.
#: Computing it delays all requests of the batch, so that the work it costs is
#: a multiple of its own duration. Measured in docs/measurements.md.
PROMPT_TOKENS_PER_LOAD = 1024
#: A cached prompt never justifies more load than this above the least one.
AFFINITY_PENALTY_MAX = 2.0
#: Below this load a slot is free, so a request would not wait anywhere else
#: for a shorter time.
FREE_SLOT_LOAD = 0.99
_SEED = 1


@dataclass(frozen=True, slots=True, kw_only=True)
class PlacementRequest:
    """What a policy knows about a request; ``prompt_tokens`` is estimated."""

    service_name: str
    workspace: str = ''
    program_id: str = ''
    last_endpoint: str = ''
    prompt_tokens: int = 0


#: Chooses one of at least one candidates at a time in seconds.
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
    :param policy: policy or its name; an unknown name gets the default.
    :param candidates: endpoints of the service that may get work.
    :param now_s: current time.
    :returns: the endpoint, or ``None`` if there is no candidate.
    """
    if not candidates:
        return None
    if isinstance(policy, str):
        default = PLACEMENT_POLICIES[DEFAULT_POLICY]
        policy = PLACEMENT_POLICIES.get(policy, default)
    return policy(request, candidates, now_s).member


def make_least_loaded(seed: int) -> Policy:
    """Make the policy that takes the less loaded of two random endpoints.

    Taking the least loaded one of all would send every owner to the same
    endpoint until its next report.

    :param seed: seed of the random choices.
    :returns: the policy.
    """
    source = random.Random(seed)

    def choose(
        request: PlacementRequest,
        candidates: Sequence[EndpointLoad],
        now_s: float,
    ) -> EndpointLoad:
        pair = source.sample(candidates, min(2, len(candidates)))
        return min(pair, key=_load_of)

    return choose


def make_affinity(
    fallback: Policy,
) -> Policy:
    """Make the policy that prefers the endpoint with the cached prompt.

    :param fallback: policy for programs without a usable last endpoint.
    :returns: the policy.
    """

    def choose(
        request: PlacementRequest,
        candidates: Sequence[EndpointLoad],
        now_s: float,
    ) -> EndpointLoad:
        least = least_load(candidates)
        worth = request.prompt_tokens / PROMPT_TOKENS_PER_LOAD
        limit = max(least, FREE_SLOT_LOAD) + min(AFFINITY_PENALTY_MAX, worth)
        last = find_candidate(candidates, request.last_endpoint)
        if last is not None and last.load <= limit:
            return last
        return fallback(request, candidates, now_s)

    return choose


def make_round_robin() -> Policy:
    """Make the baseline policy, which takes the endpoints in name order.

    :returns: the policy.
    """
    last_names: dict[str, str] = {}

    def choose(
        request: PlacementRequest,
        candidates: Sequence[EndpointLoad],
        now_s: float,
    ) -> EndpointLoad:
        ordered = sorted(candidates, key=_name_of)
        last = last_names.get(request.service_name, '')
        later = (entry for entry in ordered if _name_of(entry) > last)
        chosen = next(later, ordered[0])
        last_names[request.service_name] = _name_of(chosen)
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
