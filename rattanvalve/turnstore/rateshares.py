"""Shares of the workspaces' rates that one store hands out.

Each workspace's rate is divided evenly and for good among a group of stores,
so that the sum of what they hand out keeps to the rate without their talking
to each other, also through splits and restarts.
"""

from collections.abc import Sequence

from rattanvalve.ratelimit import Bucket
from rattanvalve.sharedstate.members import StoreMember, group_of
from rattanvalve.sharedstate.rules import TrafficRules
from rattanvalve.turn_messages import RateGrant

__all__ = ('RATE_GROUP_LOSSES', 'RateShares')

#: A group of three shares: with more, each share of a burst would be small.
RATE_GROUP_LOSSES = 1


class RateShares:
    """Token buckets of one store; a bucket starts empty.

    :param own_name: name of this member.
    """

    def __init__(self, own_name: str) -> None:
        self._own_name = own_name
        self._buckets: dict[str, Bucket] = {}
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
            if self._own_name not in {member.name for member in group}:
                continue
            names.add(workspace.name)
            rate_per_s = workspace.rate_per_s / len(group)
            burst = max(workspace.burst / len(group), 1)
            bucket = self._buckets.setdefault(
                workspace.name,
                Bucket(rate_per_s, burst, now_s),
            )
            bucket.configure(rate_per_s, burst, now_s)
        for name in self._buckets.keys() - names:
            del self._buckets[name]
        self._is_known = bool(rules.version) and bool(members)

    def take(self, workspace: str, now_s: float) -> RateGrant:
        """Hand out one request.

        :param workspace: name of the workspace.
        :param now_s: monotonic time in seconds.
        :returns: whether it is within the share, and else how long to wait.
        """
        if workspace in self._unlimited:
            return RateGrant(is_known=True, is_granted=True)
        bucket = self._buckets.get(workspace)
        if bucket is None:
            return RateGrant(is_known=False)
        is_granted = bucket.take(now_s)
        wait_ms = 0 if is_granted else round(bucket.wait_s(now_s) * 1000) + 1
        return RateGrant(
            is_known=self._is_known,
            is_granted=is_granted,
            wait_ms=wait_ms,
        )
