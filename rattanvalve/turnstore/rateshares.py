"""Shares of the workspaces' rates that one store hands out.

Each workspace's rate is divided for good among a group of stores, so that the
sum of what they hand out keeps to the rate without their talking to each
other, also through splits and restarts. The first store of the group has most
of it, as a small rate in equal parts would hardly hold one program; the
others serve while the first one is away.
"""

import math
from collections.abc import Sequence
from dataclasses import dataclass

from rattanvalve.ratelimit import Bucket
from rattanvalve.sharedstate.members import StoreMember, group_of
from rattanvalve.sharedstate.rules import TrafficRules, Workspace
from rattanvalve.turn_messages import RateGrant, TakeRate
from rattanvalve.turnstore.programdemand import ProgramDemand

__all__ = ('RATE_GROUP_LOSSES', 'RateShares', 'share_of')

#: A group of three: one main store and two that stand in for it.
RATE_GROUP_LOSSES = 1
#: Part of a rate that each store has which stands in for the main one.
SPARE_PART = 0.1
#: More room that a program needs to begin for each rank of its priority, in
#: programs, so that the more urgent ones find the room that is left.
PRIORITY_ROOM = 0.5
#: What is promised ahead may still be sent after this store was killed, while
#: its next start hands the same tokens out again. So it is bounded by the time
#: of a restart, or by a few requests.
PROMISE_TIME_S = 1.0
PROMISE_COUNT = 12


def share_of(rank: int, size: int, burst: float) -> tuple[float, float]:
    """Divide a rate and its burst.

    :param rank: place of the store in the group, 0 first.
    :param size: number of stores in the group.
    :param burst: burst of the workspace.
    :returns: part of the rate, and burst; the parts of a group add up to 1
        and the bursts to the burst.
    """
    spare_burst = max(burst * SPARE_PART, 1)
    main_burst = burst - (size - 1) * spare_burst
    if main_burst < spare_burst:
        # Too small to be divided.
        return (1, burst) if rank == 0 else (0, 0)
    if rank == 0:
        return 1 - (size - 1) * SPARE_PART, main_burst
    return SPARE_PART, spare_burst


@dataclass(slots=True)
class _Share:
    bucket: Bucket
    demand: ProgramDemand


class RateShares:
    """Token buckets of one store; a bucket starts empty.

    :param own_name: name of this member.
    """

    def __init__(self, own_name: str) -> None:
        self._own_name = own_name
        self._shares: dict[str, _Share] = {}
        self._unlimited: set[str] = set()
        self._is_known = False

    def configure(
        self,
        rules: TrafficRules,
        members: Sequence[StoreMember],
        now_s: float,
    ) -> None:
        """Adopt rates and members.

        :param rules: rules of the operators.
        :param members: all members of the turn store.
        :param now_s: monotonic time in seconds.
        """
        names = set()
        self._unlimited.clear()
        for workspace in rules.workspaces:
            if not workspace.rate_per_s:
                self._unlimited.add(workspace.name)
                continue
            group = group_of(workspace.name, members, RATE_GROUP_LOSSES)
            group_names = [member.name for member in group]
            if self._own_name not in group_names:
                continue
            part, burst = share_of(
                group_names.index(self._own_name),
                len(group),
                workspace.burst,
            )
            if part:
                names.add(workspace.name)
                self._configure_share(workspace, part, burst, now_s)
        for name in self._shares.keys() - names:
            self._shares.pop(name)
        self._is_known = bool(rules.version) and bool(members)

    def take(self, message: TakeRate, now_s: float) -> RateGrant:
        """Hand out one request.

        :param message: workspace, and whether a program begins.
        :param now_s: monotonic time in seconds.
        :returns: whether it is within the share, and else how long to wait.
        """
        if message.workspace in self._unlimited:
            return RateGrant(is_known=True, is_granted=True)
        share = self._shares.get(message.workspace)
        if share is None or not self._is_known:
            return RateGrant(is_known=False)
        if message.is_start:
            return _take_start(share, message.priority, now_s)
        return _take_later(share, message.wait_max_ms / 1000, now_s)

    def _configure_share(
        self,
        workspace: Workspace,
        part: float,
        burst: float,
        now_s: float,
    ) -> None:
        rate_per_s = workspace.rate_per_s * part
        share = self._shares.get(workspace.name)
        if share is None:
            share = _Share(
                Bucket(rate_per_s, burst, now_s),
                ProgramDemand(now_s),
            )
            self._shares[workspace.name] = share
        share.bucket.configure(rate_per_s, burst, now_s)


def _take_start(share: _Share, priority: int, now_s: float) -> RateGrant:
    """Let a program begin if the begun ones leave room."""
    wait_s = share.bucket.wait_s(now_s)
    missing = share.demand.missing_for_start(
        share.bucket.level,
        share.bucket.rate_per_s,
        now_s,
        PRIORITY_ROOM * priority,
    )
    wait_s = max(wait_s, missing / share.bucket.rate_per_s)
    if wait_s > 0 or not share.bucket.take(now_s):
        return _refusal(wait_s)
    share.demand.note_start(now_s)
    return RateGrant(is_known=True, is_granted=True)


def _take_later(
    share: _Share,
    wait_max_s: float,
    now_s: float,
) -> RateGrant:
    """Give a request of a begun program its place in the line."""
    promise_s = max(PROMISE_TIME_S, PROMISE_COUNT / share.bucket.rate_per_s)
    wait_s = share.bucket.take_ahead(min(wait_max_s, promise_s), now_s)
    if wait_s is None:
        share.demand.note_shortage(now_s)
        return _refusal(share.bucket.wait_s(now_s))
    share.demand.note_continuation(now_s)
    wait_ms = math.ceil(wait_s * 1000)
    return RateGrant(is_known=True, is_granted=True, wait_ms=wait_ms)


def _refusal(wait_s: float) -> RateGrant:
    return RateGrant(is_known=True, wait_ms=int(wait_s * 1000) + 1)
