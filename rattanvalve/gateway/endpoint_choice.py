"""Chooses the endpoint of an attempt within the limits that endpoints state.

Requests that continue a program may wait briefly for a token; all others are
refused at once if no endpoint has room.
"""

import asyncio
import math
import time
from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass
from functools import partial

from rattanvalve.clocks import boot_time_s
from rattanvalve.errors import QuorumError
from rattanvalve.gateway.balancing.choice import choose_balanced
from rattanvalve.gateway.balancing.connection_costs import ConnectionCosts
from rattanvalve.gateway.calls import CONTINUATION_RANK, Call, Refusal
from rattanvalve.gateway.endpoint_tables import EndpointTables
from rattanvalve.gateway.member_calls import MemberCalls
from rattanvalve.gateway.placement import (
    Demand,
    choose_endpoint,
    expected_ms,
)
from rattanvalve.gateway.rate_client import RateClient
from rattanvalve.gateway.service_capacity import ServiceCapacity
from rattanvalve.gateway.suspects import place_suspect
from rattanvalve.gateway.trace import Trace
from rattanvalve.resultcodes import ResultCode
from rattanvalve.sharedstate.endpoints import EndpointEntry
from rattanvalve.statedlimits import kept_rate_per_s
from rattanvalve.turn_messages import RateGrant, TakeEndpointRate

__all__ = ('ChoicePreview', 'ChosenEndpoint', 'EndpointChooser')

#: Validity of a token. A request that is sent later would count in another
#: window of the limit.
GRANT_LIFETIME_S = 0.5
#: Longest wait for a token, and largest share of the time before the deadline.
LIMIT_WAIT_MAX_S = 1.0
LIMIT_WAIT_DEADLINE_SHARE = 0.3
#: Number of endpoints without a token after which a request is refused, as
#: each of them costs a round trip to the turn stores.
TOKEN_REQUESTS_MAX = 4
#: Time until an endpoint is tried again after no turn store knew its tokens.
UNKNOWN_TOKENS_WAIT_S = 0.2
#: Priority of a program that starts although running ones may need all tokens.
#: It gets one only while the bucket is full, that is while nobody takes them.
SURPLUS_PRIORITY = 1000
SURPLUS_RANK = CONTINUATION_RANK + 1 + SURPLUS_PRIORITY
#: Time without a response from an endpoint after which such a program may start
#: there, as only a response shows that the limit has ended.
SILENCE_MIN_S = 5.0
#: Share of the endpoints of a service that must run before a request gets one
#: that was at several crashes.
RUNNING_SHARE_MIN = 0.5
#: Delay after which such a request may return.
SUSPECT_RETRY_AFTER_S = 1.0


@dataclass(frozen=True, slots=True)
class ChosenEndpoint:
    """Endpoint of an attempt.

    ``grant_expires_s`` is the boot-clock time in seconds at which its token
    expires; infinite without a limit.
    """

    endpoint: EndpointEntry
    grant_expires_s: float = float('inf')


@dataclass(frozen=True, slots=True)
class ChoicePreview:
    """Choice of an endpoint without a token, and its inputs."""

    candidates: list[EndpointEntry]
    with_room: list[EndpointEntry]
    surcharge_ms: Callable[[EndpointEntry], float]
    is_preferred: Callable[[EndpointEntry], bool]
    endpoint: EndpointEntry | None


@dataclass(frozen=True, slots=True)
class _Claim:
    """Request for an endpoint and its rank for tokens; lower ranks go first."""

    call: Call
    demand: Demand
    rank: int

    @property
    def is_start(self) -> bool:
        """Return whether the request does not continue a program.

        :returns: whether requests that do go first.
        """
        return self.rank != CONTINUATION_RANK

    @property
    def priority(self) -> int:
        """Return the priority for tokens; 0 is the most urgent.

        :returns: priority of the call, or ``SURPLUS_PRIORITY``.
        """
        if self.rank == SURPLUS_RANK:
            return SURPLUS_PRIORITY
        return self.call.priority


class EndpointChooser:
    """Places requests and takes the tokens that they need.

    :param tables: entries, loads and limits of the endpoints.
    :param calls: client of the turn store members.
    :param zone: zone of this process.
    :param connection_costs: cost of new connections; ``None`` if they count
        as free.
    """

    def __init__(
        self,
        tables: EndpointTables,
        calls: MemberCalls,
        zone: str,
        connection_costs: ConnectionCosts | None = None,
    ) -> None:
        self._tables = tables
        self._rates = RateClient(calls)
        self._zone = zone
        self._connection_costs = connection_costs
        self._choose_endpoint = (
            choose_balanced if tables.has_contention else choose_endpoint
        )
        self._capacity = ServiceCapacity(
            tables, lambda: 1 + calls.relays.known_count()
        )

    async def choose(
        self,
        call: Call,
        demand: Demand,
        tried: Collection[str],
        trace: Trace,
    ) -> ChosenEndpoint | Refusal | None:
        """Choose an endpoint and take a token if it states a limit.

        :param call: the request.
        :param demand: resources that the request needs.
        :param tried: names of endpoints at which this request already failed.
        :param trace: gets the time that the request waited for a token.
        :returns: the endpoint; a refusal if all candidates are at their
            limits; ``None`` if no candidate remains.
        """
        refused: set[str] = set()
        while len(refused) < TOKEN_REQUESTS_MAX:
            now_s = time.monotonic()
            candidates = self._candidates(demand, tried, now_s)
            refusal = self._protect(call, demand, candidates, now_s)
            if refusal is not None:
                return refusal
            claim = self._claim(call, demand, candidates, now_s)
            with_room = self._with_room(claim, candidates, now_s)
            surcharge_ms = self._surcharges(claim, now_s)
            endpoint = self._place(
                claim, with_room, now_s, refused, surcharge_ms
            )
            if endpoint is None:
                break
            chosen = await self._admit(claim, endpoint, with_room, now_s, trace)
            if chosen is not None:
                self._capacity.record(
                    call, demand.service, trace.limit_wait_ms, now_s
                )
                if self._connection_costs is not None:
                    self._connection_costs.record_choice(endpoint)
                return chosen
            refused.add(endpoint.name)
        if not candidates:
            return None
        now_s = time.monotonic()
        return self._capacity.refuse(call, demand, candidates, now_s)

    def preview(
        self, call: Call, demand: Demand, now_s: float
    ) -> ChoicePreview:
        """Choose an endpoint without taking a token or recording anything.

        :param call: the request, which is not sent.
        :param demand: resources that the request needs.
        :param now_s: monotonic time in seconds.
        :returns: the choice and its inputs.
        """
        candidates = self._candidates(demand, (), now_s)
        claim = self._claim(call, demand, candidates, now_s)
        with_room = self._with_room(claim, candidates, now_s)
        surcharge_ms = self._surcharges(claim, now_s)
        endpoint = self._place(claim, with_room, now_s, (), surcharge_ms)
        costs = self._connection_costs
        return ChoicePreview(
            candidates,
            with_room,
            surcharge_ms,
            costs.prefers if costs else lambda known: True,
            endpoint,
        )

    def _place(
        self,
        claim: _Claim,
        with_room: Sequence[EndpointEntry],
        now_s: float,
        refused: Collection[str],
        surcharge_ms: Callable[[EndpointEntry], float],
    ) -> EndpointEntry | None:
        """Choose among the endpoints that have room, except refused ones.

        A request that may crash an endpoint goes to the one that its
        fingerprint names.
        """
        crashes = self._tables.crashes
        if crashes.is_suspect(claim.call):
            available = {
                endpoint.name: endpoint
                for endpoint in with_room
                if endpoint.name not in refused
                and self._tables.loads.get(endpoint).avoided_until_s <= now_s
            }
            fingerprint = claim.call.fingerprint
            name = place_suspect(crashes.table, fingerprint, available)
            named = available.get(name)
            if named is not None:
                return named
        return self._choose_endpoint(
            claim.demand,
            with_room,
            self._tables.loads,
            self._zone,
            now_s,
            refused,
            surcharge_ms,
        )

    def _protect(
        self,
        call: Call,
        demand: Demand,
        candidates: Sequence[EndpointEntry],
        now_s: float,
    ) -> Refusal | None:
        """Keep the last endpoints of a service from a suspect."""
        table = self._tables.crashes.table
        if not table.isolated or call.fingerprint not in table.isolated:
            return None
        known_count = len(self._tables.directory.usable(demand.service, now_s))
        if len(candidates) >= known_count * RUNNING_SHARE_MIN:
            return None
        return Refusal(ResultCode.REQUEST_SUSPECTED, SUSPECT_RETRY_AFTER_S)

    def _candidates(
        self, demand: Demand, tried: Collection[str], now_s: float
    ) -> list[EndpointEntry]:
        usable = self._tables.directory.usable(demand.service, now_s)
        candidates = [
            endpoint for endpoint in usable if endpoint.name not in tried
        ]
        crashes = self._tables.crashes.table
        if crashes.is_empty():
            return candidates
        running = [
            endpoint
            for endpoint in candidates
            if not crashes.has_crashed(endpoint.key, now_s)
        ]
        return running or candidates

    def _claim(
        self,
        call: Call,
        demand: Demand,
        candidates: Sequence[EndpointEntry],
        now_s: float,
    ) -> _Claim:
        """Rank a request; starts without room for them go last."""
        has_room = (
            not call.is_program_start
            or not self._capacity.is_short(candidates)
            or self._capacity.has_room_for_start(
                call, demand, candidates, now_s
            )
        )
        return _Claim(call, demand, call.rank if has_room else SURPLUS_RANK)

    def _with_room(
        self,
        claim: _Claim,
        candidates: Sequence[EndpointEntry],
        now_s: float,
    ) -> list[EndpointEntry]:
        """List the candidates that may take a request now."""
        capacity = self._capacity
        if not capacity.is_short(candidates):
            return list(candidates)
        limits = self._tables.limits
        latest_s = now_s if claim.is_start else now_s + LIMIT_WAIT_MAX_S
        return [
            endpoint
            for endpoint in candidates
            if limits.exhausted_until_s(endpoint, claim.rank) <= latest_s
            and not capacity.is_queue_full(endpoint, claim.rank, now_s)
            and not self._is_kept_free(claim, endpoint, now_s)
        ]

    def _is_kept_free(
        self, claim: _Claim, endpoint: EndpointEntry, now_s: float
    ) -> bool:
        """Check whether an endpoint is left to running programs."""
        if claim.rank != SURPLUS_RANK:
            return False
        silence_s = self._tables.limits.silence_s(endpoint, now_s)
        return silence_s < SILENCE_MIN_S

    def _surcharges(
        self,
        claim: _Claim,
        now_s: float,
    ) -> Callable[[EndpointEntry], float]:
        """Return the cost in milliseconds of a token and a connection."""
        token_cost_ms = partial(self._token_cost_ms, claim, now_s)
        if self._connection_costs is None:
            return token_cost_ms
        service = claim.demand.service
        # Endpoints that the request has tried stay in the subset.
        usable = self._tables.directory.usable(service, now_s)
        connection_cost_ms = self._connection_costs.surcharges(
            service, usable, now_s
        )
        return lambda endpoint: (
            token_cost_ms(endpoint) + connection_cost_ms(endpoint)
        )

    def _token_cost_ms(
        self, claim: _Claim, now_s: float, endpoint: EndpointEntry
    ) -> float:
        """Estimate what a token of an endpoint costs, in milliseconds.

        Requests whose prompt is cached elsewhere pay the time in which the
        endpoint gets another token, so that most tokens are left to those
        whose prompt only this endpoint has.
        """
        limits = self._tables.limits
        rate_per_s = limits.rate_per_s(endpoint)
        if rate_per_s is None:
            return 0
        wait_s = max(limits.exhausted_until_s(endpoint, claim.rank) - now_s, 0)
        if not claim.demand.is_mostly_cached(self._tables.loads.get(endpoint)):
            wait_s += 1 / kept_rate_per_s(rate_per_s)
        return wait_s * 1000

    async def _admit(
        self,
        claim: _Claim,
        endpoint: EndpointEntry,
        with_room: Sequence[EndpointEntry],
        now_s: float,
        trace: Trace,
    ) -> ChosenEndpoint | None:
        """Admit a request; return ``None`` if a needed token is not granted."""
        if self._tables.limits.rate_per_s(endpoint) is None:
            return ChosenEndpoint(endpoint)
        wait_max_s = self._wait_max_s(claim, endpoint, with_room, now_s)
        return await self._take(claim, endpoint, wait_max_s, trace)

    def _wait_max_s(
        self,
        claim: _Claim,
        endpoint: EndpointEntry,
        with_room: Sequence[EndpointEntry],
        now_s: float,
    ) -> float:
        """Compute how long a request may wait for a token of an endpoint.

        Only one that continues a program waits, and no longer than another
        endpoint without a limit would take.
        """
        if claim.is_start:
            return 0

        def latency_ms(candidate: EndpointEntry) -> float:
            return expected_ms(
                claim.demand, candidate, self._tables.loads, self._zone, now_s
            )

        remaining_s = claim.call.deadline_s - now_s
        wait_max_s = min(
            LIMIT_WAIT_MAX_S, remaining_s * LIMIT_WAIT_DEADLINE_SHARE
        )
        others_ms = (
            latency_ms(candidate)
            for candidate in with_room
            if self._tables.limits.rate_per_s(candidate) is None
        )
        other_ms = min(others_ms, default=math.inf)
        saved_s = (other_ms - latency_ms(endpoint)) / 1000
        return max(min(wait_max_s, saved_s), 0)

    async def _take(
        self,
        claim: _Claim,
        endpoint: EndpointEntry,
        wait_max_s: float,
        trace: Trace,
    ) -> ChosenEndpoint | None:
        """Take a token; return ``None`` if the endpoint has none in time."""
        limits = self._tables.limits
        message = TakeEndpointRate(
            limit=limits.report(endpoint, time.monotonic()),
            is_start=claim.is_start,
            priority=claim.priority,
            wait_max_ms=int(wait_max_s * 1000),
        )
        requested_s = boot_time_s()
        grant = await self._request(message)
        wait_s = grant.wait_ms / 1000
        if not grant.is_granted:
            free_s = time.monotonic() + wait_s
            limits.exhaust(endpoint, claim.rank, free_s)
            return None
        if wait_s:
            trace.limit_wait_ms += grant.wait_ms
            await asyncio.sleep(wait_s)
            if endpoint not in self._tables.directory.known():
                # The endpoint ended while the request waited.
                return None
        return ChosenEndpoint(endpoint, requested_s + wait_s + GRANT_LIFETIME_S)

    async def _request(self, message: TakeEndpointRate) -> RateGrant:
        try:
            return await self._rates.take_endpoint(message)
        except QuorumError:
            # The turn stores that share the limit are unreachable. Their log
            # lines "turn store lost" tell why.
            wait_ms = int(UNKNOWN_TOKENS_WAIT_S * 1000)
            return RateGrant(wait_ms=wait_ms)
