"""Shares of the endpoints' request rate limits that one store enforces.

The limit of an endpoint is divided among a group of stores like the rate of a
workspace, so that all gateways together stay within it without coordination
between the stores. A gateway without a grant sends nothing to the endpoint.
"""

from collections.abc import Sequence
from dataclasses import dataclass

from rattanvalve.ratelimit import Bucket
from rattanvalve.sharedstate.endpoint_limits import LIMIT_TTL_S, LimitTable
from rattanvalve.sharedstate.members import StoreMember, replica_group
from rattanvalve.statedlimits import BURST_TIME_S, kept_rate_per_s
from rattanvalve.turn_messages import RateGrant, TakeEndpointRate
from rattanvalve.turnstore.rateshares import (
    RATE_LOST_STORES_MAX,
    refused_grant,
    reserved_grant,
    split_rate,
)

__all__ = ('EndpointRates',)

#: Smallest burst; with one token, starts could not leave it to others.
BURST_MIN = 2.0
#: Smallest burst that is divided, as the primary must keep ``BURST_MIN`` beside
#: one token for each standby. A smaller one stays whole at the primary.
BURST_DIVIDED_MIN = BURST_MIN + 2 * RATE_LOST_STORES_MAX
#: Tokens that must stay for more urgent requests when a program starts, for
#: each priority rank below the highest.
START_HEADROOM = 0.5
#: Share of the burst that starts leave to running programs.
START_SHARE = 0.3
#: Longest time for which tokens are promised ahead to running programs; those
#: of lower priority ranks get shorter promises.
ADVANCE_MAX_S = 1.0


@dataclass(slots=True)
class _Share:
    bucket: Bucket
    used_s: float


class EndpointRates:
    """Token buckets of one store, by the key of the endpoint's incarnation.

    A new bucket is empty, so that a restart grants no second burst.

    :param own_name: name of this member.
    """

    def __init__(self, own_name: str) -> None:
        self.limits = LimitTable()
        self._own_name = own_name
        self._members: Sequence[StoreMember] = ()
        self._shares: dict[str, _Share] = {}

    def configure(self, members: Sequence[StoreMember]) -> None:
        """Adopt the list of members, which determines the groups.

        :param members: all members of the turn store.
        """
        self._members = members

    def take(self, message: TakeEndpointRate, now_s: float) -> RateGrant:
        """Take one token for a request to an endpoint.

        :param message: endpoint with the limit that the gateway knows.
        :param now_s: monotonic time in seconds.
        :returns: whether a token was granted, and the time to wait before the
            request or, without a grant, before a retry.
        """
        endpoint = message.limit.endpoint
        self.limits.merge_reports((message.limit,), now_s)
        rate_per_s = self.limits.get(endpoint).rate_per_s
        if rate_per_s is None:
            return RateGrant(is_known=True, is_granted=True)
        share = self._configure_share(endpoint, rate_per_s, now_s)
        if share is None:
            return RateGrant(is_known=False)
        if message.is_start:
            return _grant_start(share, message.priority, now_s)
        return _grant_continuation(share, message, now_s)

    def expire(self, now_s: float) -> None:
        """Drop limits and buckets that nobody has used for a while.

        :param now_s: monotonic time in seconds.
        """
        self.limits.expire(now_s)
        for endpoint, share in tuple(self._shares.items()):
            if now_s - share.used_s > LIMIT_TTL_S:
                self._shares.pop(endpoint)

    def _configure_share(
        self, endpoint: str, rate_per_s: float, now_s: float
    ) -> _Share | None:
        """Return this store's share; ``None`` if it has none."""
        rate_per_s = kept_rate_per_s(rate_per_s)
        group = replica_group(endpoint, self._members, RATE_LOST_STORES_MAX)
        names = [member.name for member in group]
        if self._own_name not in names:
            return None
        fraction, burst = split_rate(
            names.index(self._own_name),
            len(names),
            _burst(rate_per_s),
        )
        if not fraction:
            return None
        share = self._shares.get(endpoint)
        if share is None:
            bucket = Bucket(rate_per_s * fraction, burst, now_s)
            share = self._shares[endpoint] = _Share(bucket, now_s)
        share.bucket.configure(rate_per_s * fraction, burst, now_s)
        share.used_s = now_s
        return share


def _burst(rate_per_s: float) -> float:
    burst = rate_per_s * BURST_TIME_S
    return burst if burst >= BURST_DIVIDED_MIN else BURST_MIN


def _grant_start(share: _Share, priority: int, now_s: float) -> RateGrant:
    """Grant the start of a program if enough tokens stay for others."""
    share.bucket.refill(now_s)
    reserved = (
        START_SHARE * (share.bucket.burst - 1) + START_HEADROOM * priority
    )
    # A standby whose share holds one token leaves it to others.
    needed = min(1 + reserved, max(share.bucket.burst, BURST_MIN))
    missing = needed - share.bucket.level
    if missing > 0 or not share.bucket.take(now_s):
        return refused_grant(max(missing, 0) / share.bucket.rate_per_s)
    return RateGrant(is_known=True, is_granted=True)


def _grant_continuation(
    share: _Share, message: TakeEndpointRate, now_s: float
) -> RateGrant:
    """Grant a token, also in advance, to a request of a running program."""
    advance_max_s = ADVANCE_MAX_S / (1 + message.priority)
    wait_max_s = min(message.wait_max_ms / 1000, advance_max_s)
    return reserved_grant(share.bucket, wait_max_s, now_s)
