"""Shares of the workspaces' rate limits that one store enforces.

Each workspace's rate is divided at fixed fractions among a group of stores, so
that their sum stays within the rate without coordination, also during network
partitions and restarts. The primary, the first store of the group, has most of
the rate, as an equal part of a small rate would hardly suffice for one program.
The standbys serve while the primary is unavailable, and otherwise transfer the
tokens that nobody requests from them to it (``ratetransfers.py``).
"""

import math
from collections.abc import Sequence
from dataclasses import dataclass, replace

from rattanvalve.counters import Counter, Metrics
from rattanvalve.programdemand import ProgramDemand
from rattanvalve.ratelimit import Bucket
from rattanvalve.sharedstate.members import StoreMember, replica_group
from rattanvalve.sharedstate.rules import TrafficRules, Workspace
from rattanvalve.turn_messages import (
    RateGrant,
    RatesAccepted,
    RateTransfer,
    TakeRate,
    TransferRates,
)
from rattanvalve.turnstore.rateuse import RateUse

__all__ = (
    'RATE_LOST_STORES_MAX',
    'LentShare',
    'RateShares',
    'refused_grant',
    'reserved_grant',
    'split_rate',
)

#: A group of three: one primary and two standbys.
RATE_LOST_STORES_MAX = 1
#: Smallest burst of a store in requests; a bucket below one token never admits
#: a request.
BURST_MIN = 1.0
#: Fraction of a rate that each standby has.
STANDBY_FRACTION = 0.1
#: Most capacity in programs that must stay free for each priority rank below
#: the highest when a program starts, so that more urgent programs can still
#: start. Less stays free where few of those were asked for lately.
PRIORITY_HEADROOM = 0.5
#: Tokens that are granted in advance may still be used after this store was
#: killed, while its next start grants the same tokens again. Advance grants are
#: therefore bounded by the duration of a restart, or by a few requests if that
#: allows more.
ADVANCE_TIME_S = 1.0
ADVANCE_COUNT = 12
#: A running program that waits longer than this for one of its requests lacks
#: tokens: its slack is about a third of the time between two requests.
SHORTAGE_WAIT_MS = 150
#: Standbys that transferred tokens within this time go on to do so.
RECEIVED_TTL_S = 5.0
#: Counters of refusals, by whether the request would start a program.
_REFUSED = {
    True: Counter.RATE_START_REFUSED,
    False: Counter.RATE_CONTINUATION_REFUSED,
}
#: Longest wait that a refusal states. A bucket below one token has an infinite
#: wait, which no message can carry.
REFUSED_WAIT_MAX_S = 3600.0


def split_rate(rank: int, size: int, burst: float) -> tuple[float, float]:
    """Compute the share of one store in a workspace's rate and burst.

    :param rank: index of the store in the group; 0 is the primary.
    :param size: number of stores in the group.
    :param burst: burst of the workspace in requests.
    :returns: fraction of the rate, and burst in requests; over a group, the
        fractions add up to 1 and the bursts to the workspace's burst.
    """
    standby_burst = max(burst * STANDBY_FRACTION, 1)
    primary_burst = burst - (size - 1) * standby_burst
    if primary_burst < standby_burst:
        # The burst is too small to be divided.
        return (1, burst) if rank == 0 else (0, 0)
    if rank == 0:
        return 1 - (size - 1) * STANDBY_FRACTION, primary_burst
    return STANDBY_FRACTION, standby_burst


@dataclass(slots=True)
class _Share:
    bucket: Bucket
    demand: ProgramDemand
    use: RateUse
    #: Primary of the workspace; ``None`` if it is this store.
    primary: StoreMember | None = None
    #: Rate of the whole workspace in requests per second.
    whole_rate_per_s: float = 0
    #: Monotonic time in seconds at which another store last transferred tokens.
    received_s: float = -math.inf

    def income_per_s(self, now_s: float) -> float:
        """Return the rate at which this store gets tokens.

        :param now_s: monotonic time in seconds.
        :returns: the whole rate while standbys transfer their part of it,
            otherwise the rate of the own bucket.
        """
        if now_s - self.received_s < RECEIVED_TTL_S:
            return self.whole_rate_per_s
        return self.bucket.rate_per_s


@dataclass(frozen=True, slots=True)
class LentShare:
    """Share of a standby, whose unused tokens the primary may have."""

    workspace: str
    primary: StoreMember
    bucket: Bucket


class RateShares:
    """Token buckets of one store.

    A new bucket is empty, so that a restart grants no second burst.

    :param own_name: name of this member.
    :param metrics: counts refusals.
    """

    def __init__(self, own_name: str, metrics: Metrics | None = None) -> None:
        self._own_name = own_name
        self._metrics = metrics or Metrics()
        self._shares: dict[str, _Share] = {}
        self._unlimited: set[str] = set()
        self._is_configured = False

    def configure(
        self,
        rules: TrafficRules,
        members: Sequence[StoreMember],
        now_s: float,
    ) -> None:
        """Recompute the shares of this store.

        Existing buckets keep their level.

        :param rules: rules of the operators.
        :param members: all members of the turn store.
        :param now_s: monotonic time in seconds.
        """
        names = set()
        self._unlimited.clear()
        for workspace in rules.workspaces:
            if not workspace.rate_per_s:
                self._unlimited.add(workspace.name)
            elif self._configure_workspace(workspace, members, now_s):
                names.add(workspace.name)
        for name in self._shares.keys() - names:
            self._shares.pop(name)
        self._is_configured = bool(rules.version) and bool(members)

    def take(self, message: TakeRate, now_s: float) -> RateGrant:
        """Take one token for a request.

        :param message: workspace, and whether the request starts a program.
        :param now_s: monotonic time in seconds.
        :returns: whether a token was granted, and the time to wait before the
            request or, without a grant, before a retry.
        """
        if message.workspace in self._unlimited:
            return RateGrant(is_known=True, is_granted=True)
        share = self._shares.get(message.workspace)
        if share is None or not self._is_configured:
            return RateGrant(is_known=False)
        grant = _grant(share, message, now_s)
        if grant.is_granted:
            share.use.record(now_s)
        else:
            self._metrics.count(_REFUSED[message.is_start])
        percent = share.use.percent(share.income_per_s(now_s), now_s)
        return replace(grant, used_percent=percent)

    def lent_shares(self) -> list[LentShare]:
        """List the shares of workspaces whose primary is another store.

        :returns: shares, in no particular order.
        """
        return [
            LentShare(name, share.primary, share.bucket)
            for name, share in self._shares.items()
            if share.primary is not None
        ]

    def accept(
        self, message: TransferRates, now_s: float
    ) -> TransferRates | RatesAccepted:
        """Add tokens that another store removed from its buckets.

        :param message: tokens by workspace.
        :param now_s: monotonic time in seconds.
        :returns: answer, with the tokens that the buckets cannot hold.
        """
        returned = []
        for item in message.transfers:
            if not 0 < item.tokens < math.inf:
                continue
            excess = self.deposit(item.workspace, item.tokens, now_s)
            self._record_received(item.workspace, now_s)
            if excess > 0:
                returned.append(
                    RateTransfer(workspace=item.workspace, tokens=excess)
                )
        if returned:
            return TransferRates(transfers=tuple(returned))
        return RatesAccepted()

    def deposit(self, workspace: str, tokens: float, now_s: float) -> float:
        """Add tokens that were removed from another bucket of a workspace.

        :param workspace: name of the workspace.
        :param tokens: tokens to add.
        :param now_s: monotonic time in seconds.
        :returns: tokens that the bucket cannot hold; all without a bucket.
        """
        share = self._shares.get(workspace)
        if share is None:
            return tokens
        return share.bucket.deposit(tokens, now_s)

    def _record_received(self, workspace: str, now_s: float) -> None:
        share = self._shares.get(workspace)
        if share is not None:
            share.received_s = now_s

    def _configure_workspace(
        self,
        workspace: Workspace,
        members: Sequence[StoreMember],
        now_s: float,
    ) -> bool:
        """Adopt this store's share of a rate; return whether it has one."""
        group = replica_group(workspace.name, members, RATE_LOST_STORES_MAX)
        group_names = [member.name for member in group]
        if self._own_name not in group_names:
            return False
        rank = group_names.index(self._own_name)
        # Also a small burst is divided: without their part, the standbys would
        # refuse all requests while the primary is away.
        burst = max(workspace.burst, BURST_MIN * len(group))
        fraction, burst = split_rate(rank, len(group), burst)
        if not fraction:
            return False
        share = self._configure_share(workspace, fraction, burst, now_s)
        share.primary = group[0] if rank else None
        share.whole_rate_per_s = workspace.rate_per_s
        return True

    def _configure_share(
        self,
        workspace: Workspace,
        fraction: float,
        burst: float,
        now_s: float,
    ) -> _Share:
        rate_per_s = workspace.rate_per_s * fraction
        share = self._shares.get(workspace.name)
        if share is None:
            share = _Share(
                Bucket(rate_per_s, burst, now_s),
                ProgramDemand(now_s),
                RateUse(now_s),
            )
            self._shares[workspace.name] = share
        share.bucket.configure(rate_per_s, burst, now_s)
        return share


def _grant(share: _Share, message: TakeRate, now_s: float) -> RateGrant:
    if message.is_start:
        return _grant_start(share, message.priority, now_s)
    return _grant_continuation(share, message.wait_max_ms / 1000, now_s)


def _grant_start(share: _Share, priority: int, now_s: float) -> RateGrant:
    """Grant the start of a program if running ones leave enough tokens."""
    bucket, demand = share.bucket, share.demand
    demand.record_asked(priority, now_s)
    headroom_programs = min(
        PRIORITY_HEADROOM * priority, demand.urgent_headroom(priority, now_s)
    )
    wait_s = bucket.wait_s(now_s)
    deficit = demand.start_deficit(
        bucket.level, share.income_per_s(now_s), now_s, headroom_programs
    )
    wait_s = max(wait_s, deficit / share.income_per_s(now_s))
    if wait_s > 0 or not bucket.take(now_s):
        return refused_grant(wait_s)
    demand.record_start(now_s)
    return RateGrant(is_known=True, is_granted=True)


def _grant_continuation(
    share: _Share,
    wait_max_s: float,
    now_s: float,
) -> RateGrant:
    """Grant a token in advance to a request of a running program."""
    advance_max_s = max(ADVANCE_TIME_S, ADVANCE_COUNT / share.bucket.rate_per_s)
    grant = reserved_grant(share.bucket, min(wait_max_s, advance_max_s), now_s)
    if grant.is_granted:
        share.demand.record_continuation(now_s)
    if not grant.is_granted or grant.wait_ms > SHORTAGE_WAIT_MS:
        share.demand.record_shortage(now_s)
    return grant


def reserved_grant(
    bucket: Bucket, wait_max_s: float, now_s: float
) -> RateGrant:
    """Grant a token, also one that becomes available later.

    :param bucket: tokens of this store.
    :param wait_max_s: longest wait for the token in seconds.
    :param now_s: monotonic time in seconds.
    :returns: grant with the time to wait before the request, or a refusal.
    """
    wait_s = bucket.reserve(wait_max_s, now_s)
    if wait_s is None:
        return refused_grant(bucket.wait_s(now_s))
    wait_ms = math.ceil(wait_s * 1000)
    return RateGrant(is_known=True, is_granted=True, wait_ms=wait_ms)


def refused_grant(wait_s: float) -> RateGrant:
    """Build the answer to a request that gets no token.

    :param wait_s: time until a token is available in seconds.
    :returns: refusal with that time, rounded up and bounded.
    """
    wait_s = min(wait_s, REFUSED_WAIT_MAX_S)
    return RateGrant(is_known=True, wait_ms=int(wait_s * 1000) + 1)
