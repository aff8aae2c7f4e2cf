"""Views from the one that is served to the newest one that was seen."""

from collections.abc import Iterable
from dataclasses import dataclass

from rattanvalve.messages import Member, View
from rattanvalve.ownerports import ViewLookups

__all__ = ('Step', 'ViewChain')

_ShardName = tuple[str, int]


@dataclass(slots=True, kw_only=True)
class Step:
    """A view that has been seen; a gap hides the views before it."""

    view: View
    seen_s: float
    is_gap: bool


class ViewChain:
    """Decides which shards may have had another owner meanwhile.

    :param name: name of this entry process.
    :param lookups: functions over views.
    """

    def __init__(self, name: str, lookups: ViewLookups) -> None:
        #: The view that is served, then those that are not sealed yet.
        self.steps: list[Step] = []
        #: Epoch at which a shard was imported from its earlier owner.
        self.imported: dict[_ShardName, int] = {}
        self._former_since_s: dict[Member, float] = {}
        self._name = name
        self._lookups = lookups

    def newest(self) -> View:
        """Give the newest view that was entered.

        :returns: view; epoch 0 before the first one.
        """
        return self.steps[-1].view if self.steps else View()

    def is_mine(self, view: View, name: _ShardName) -> bool:
        """Return whether a view gives a shard to this process.

        :param view: view.
        :param name: workspace and shard index.
        :returns: whether this process is the owner.
        """
        return self._lookups.owner_of(view, *name) == self._name

    def see(self, old_view: View, new_view: View, now_s: float) -> bool:
        """Enter a newer view.

        :param old_view: view before the change; used for the first call.
        :param new_view: view after the change.
        :param now_s: current time in seconds.
        :returns: whether the view is newer than those entered.
        """
        if not self.steps:
            self.steps.append(Step(view=old_view, seen_s=now_s, is_gap=False))
        known_epoch = self.newest().epoch
        if new_view.epoch <= known_epoch:
            return False
        self.steps.append(
            Step(
                view=new_view,
                seen_s=now_s,
                is_gap=not known_epoch or new_view.epoch > known_epoch + 1,
            ),
        )
        self._former_since_s = {
            member: self._former_since_s.get(member, now_s)
            for member in new_view.former
        }
        return True

    def settle(self) -> None:
        """Note that the newest view is served."""
        self.steps = self.steps[-1:]

    def is_settled(self) -> bool:
        """Return whether the newest view is served.

        :returns: whether nothing is left to take over.
        """
        return len(self.steps) < 2

    def is_moved(self, name: _ShardName) -> bool:
        """Return whether another process may have acted for a shard.

        :param name: workspace and shard index.
        :returns: whether the shard must be sealed before it is served.
        """
        if self.imported.get(name) == self.newest().epoch:
            return False
        return any(step.is_gap for step in self.steps[1:]) or any(
            not self.is_mine(step.view, name) for step in self.steps[:-1]
        )

    def needs_seal(self) -> bool:
        """Return whether any shard can have moved to this process.

        :returns: ``False`` if the entries are the same in all views.
        """
        if any(step.is_gap for step in self.steps[1:]):
            return True
        entries = {
            frozenset(
                (member.name, member.incarnation)
                for member in self._lookups.entries_of(step.view)
            )
            for step in self.steps
        }
        return len(entries) > 1

    def endpoints(self) -> Iterable[Member]:
        """List the endpoints of all views, oldest view first.

        Former members are among them, as an isolated owner may still use
        them.

        :returns: members; one that was replaced is listed more than once.
        """
        for step in self.steps:
            yield from step.view.former
            yield from self._lookups.endpoints_of(step.view)

    def excluded_s(self, member: Member) -> float:
        """Tell since when owners that use an endpoint are outdated.

        A confirmation that was made before the removal of a former member
        has expired a lease later.

        :param member: endpoint, listed or former.
        :returns: when this process saw the view that excludes them, in
            seconds on its clock.
        """
        return self._former_since_s.get(member, self.steps[-1].seen_s)
