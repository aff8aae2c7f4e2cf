"""Shares of the workspaces' rates that one store hands out.

Each workspace's rate is divided evenly and for good among a group of stores,
so that the sum of what they hand out keeps to the rate without their talking
to each other, also through splits and restarts.
"""

from collections.abc import Sequence
from dataclasses import dataclass

from rattanvalve.ratelimit import Bucket
from rattanvalve.sharedstate.members import StoreMember, group_of
from rattanvalve.sharedstate.rules import TrafficRules, Workspace
from rattanvalve.turn_messages import RateGrant, TakeRate
from rattanvalve.turnstore.programdemand import ProgramDemand

__all__ = ('RATE_GROUP_LOSSES', 'RateShares')

#: A group of three shares: with more, each share of a burst would be small.
RATE_GROUP_LOSSES = 1


@dataclass(slots=True)
class _Share:
    bucket: Bucket
    demand: ProgramDemand
    rate_per_s: float


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
            if self._own_name in {member.name for member in group}:
                names.add(workspace.name)
                self._configure_share(workspace, len(group), now_s)
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
        wait_s = share.bucket.wait_s(now_s)
        if message.is_start:
            missing = share.demand.missing_for_start(
                share.bucket.level,
                share.rate_per_s,
                now_s,
            )
            wait_s = max(wait_s, missing / share.rate_per_s)
        if wait_s > 0 or not share.bucket.take(now_s):
            wait_ms = int(wait_s * 1000) + 1
            return RateGrant(is_known=True, wait_ms=wait_ms)
        if message.is_start:
            share.demand.note_start(now_s)
        else:
            share.demand.note_continuation(now_s)
        return RateGrant(is_known=True, is_granted=True)

    def _configure_share(
        self,
        workspace: Workspace,
        part_count: int,
        now_s: float,
    ) -> None:
        rate_per_s = workspace.rate_per_s / part_count
        burst = max(workspace.burst / part_count, 1)
        share = self._shares.get(workspace.name)
        if share is None:
            share = _Share(
                Bucket(rate_per_s, burst, now_s),
                ProgramDemand(now_s, part_count),
                rate_per_s,
            )
            self._shares[workspace.name] = share
        share.bucket.configure(rate_per_s, burst, now_s)
        share.rate_per_s = rate_per_s
