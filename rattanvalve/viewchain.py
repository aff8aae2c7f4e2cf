"""Sequence of views from the served one to the newest one observed."""

from collections.abc import Iterable
from dataclasses import dataclass

from rattanvalve.messages import Member, View
from rattanvalve.ownerports import ViewLookups

__all__ = ('Step', 'ViewChain')

_ShardKey = tuple[str, int]


@dataclass(slots=True, kw_only=True)
class Step:
    """An observed view; ``is_gap`` means that earlier epochs were skipped."""

    view: View
    seen_s: float
    is_gap: bool


class ViewChain:
    """Decides which shards may have had another owner since the served view.

    :param name: name of this entry process.
    :param lookups: lookup functions for views.
    """

    def __init__(self, name: str, lookups: ViewLookups) -> None:
        #: The served view, then the views whose shards are not sealed yet.
        self.steps: list[Step] = []
        #: Epoch at which the state of a shard was imported from its earlier
        #: owner.
        self.imported: dict[_ShardKey, int] = {}
        self._former_since_s: dict[Member, float] = {}
        self._name = name
        self._lookups = lookups

    def newest(self) -> View:
        """Return the newest observed view.

        :returns: the view; one of epoch 0 before the first call of
            :meth:`append_view`.
        """
        return self.steps[-1].view if self.steps else View()

    def is_own_shard(self, view: View, name: _ShardKey) -> bool:
        """Return whether this process owns a shard in a view.

        :param view: view of the cell.
        :param name: workspace and shard index.
        :returns: whether this process is the owner.
        """
        return self._lookups.owner_of(view, *name) == self._name

    def append_view(self, old_view: View, new_view: View, now_s: float) -> bool:
        """Append a newer view.

        :param old_view: view before the change; used by the first call only.
        :param new_view: view after the change.
        :param now_s: current time in seconds.
        :returns: whether the view was appended; an older one is ignored.
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
        """Mark the newest view as served and drop the older ones."""
        self.steps = self.steps[-1:]

    def is_settled(self) -> bool:
        """Return whether the newest view is served.

        :returns: whether no takeover is pending.
        """
        return len(self.steps) < 2

    def may_have_moved(self, name: _ShardKey) -> bool:
        """Return whether another process may have owned a shard meanwhile.

        :param name: workspace and shard index.
        :returns: whether the shard must be sealed before it is served.
        """
        if self.imported.get(name) == self.newest().epoch:
            return False
        return any(step.is_gap for step in self.steps[1:]) or any(
            not self.is_own_shard(step.view, name) for step in self.steps[:-1]
        )

    def needs_seal(self) -> bool:
        """Return whether any shard may have moved to this process.

        :returns: ``False`` if no epoch was skipped and all views list the
            same incarnations of the entries.
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

        Former members are included, as an isolated owner may still use them.

        :returns: members; one that occurs in several views is repeated.
        """
        for step in self.steps:
            yield from step.view.former
            yield from self._lookups.endpoints_of(step.view)

    def excluded_since_s(self, member: Member) -> float:
        """Return when this process observed the view that excludes old owners.

        An owner may still use a former endpoint by a confirmation made before
        the removal; that confirmation expires one lease later.

        :param member: endpoint, listed or former.
        :returns: time in seconds on the clock of this process: the removal
            for a former member, else the newest view.
        """
        return self._former_since_s.get(member, self.steps[-1].seen_s)
