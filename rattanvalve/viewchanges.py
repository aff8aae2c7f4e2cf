"""Changes that an entry process writes to the view of its cell."""

import secrets

from rattanvalve.confirmations import HALF_S, LEASE_S
from rattanvalve.control import ControlContext
from rattanvalve.messages import Member, View
from rattanvalve.presence import Presence
from rattanvalve.views import change_members, find_member
from rattanvalve.viewstate import ViewState
from rattanvalve.viewstore import ChangeView

__all__ = ('FORMER_S', 'ViewChanges', 'restrict_change')

#: Time in seconds for which a removed endpoint stays a former member. An
#: isolated owner may use it for the lease, then for ``HALF_S`` at half the
#: rate.
FORMER_S = LEASE_S + HALF_S


class ViewChanges:
    """Computes the next view from the stored one, or ``None`` for no change.

    :param context: clock.
    :param state: adopted view and the member for this process.
    :param presence: time of the last message of each entry.
    """

    def __init__(
        self,
        context: ControlContext,
        state: ViewState,
        presence: Presence,
    ) -> None:
        self._context = context
        self._state = state
        self._presence = presence
        self._announced: dict[str, Member] = {}
        self._silent: set[str] = set()
        #: Endpoints that announced their departure before they became silent.
        self._departed: set[str] = set()
        # Each process measures from the time at which it first saw the former
        # member, on its own monotonic clock, so wall clocks need not agree. A
        # new maintainer may keep a former member longer, but never shorter.
        self._former_since_s: dict[Member, float] = {}

    def add_endpoint(self, member: Member) -> None:
        """Schedule an endpoint to be added by the next :meth:`maintain`.

        :param member: endpoint that announced itself.
        """
        self._silent.discard(member.name)
        self._departed.discard(member.name)
        self._announced[member.name] = member

    def remove_endpoint(self, name: str, has_left: bool = False) -> None:
        """Schedule an endpoint to be removed by the next :meth:`maintain`.

        :param name: endpoint that sends no announces any more.
        :param has_left: whether it announced its departure. It then refuses
            new runs itself and does not become a former member.
        """
        self._announced.pop(name, None)
        self._silent.add(name)
        self._departed.discard(name)
        if has_left:
            self._departed.add(name)

    def track_former(self, view: View) -> None:
        """Record when each former member was first seen.

        :param view: adopted view; members that are no longer former in it
            are dropped.
        """
        now_s = self._context.clock()
        self._former_since_s = {
            member: self._former_since_s.get(member, now_s)
            for member in view.former
        }

    def join(self, view: View) -> View | None:
        """Add this process to a view.

        :param view: stored view.
        :returns: the next view, or ``None`` if there is nothing to change.
        """
        own = find_member(view, self._state.member.name)
        if self._state.is_listed(view) or (own and self._state.was_listed):
            # A newer incarnation of the same name has replaced this process.
            return None
        self._record_replaced(own)
        return change_members(view, (self._state.member,), (), _new_change_id())

    def leave(self, view: View) -> View | None:
        """Remove this process from a view.

        :param view: stored view.
        :returns: the next view, or ``None`` if there is nothing to change.
        """
        if not self._state.is_listed(view):
            return None
        name = self._state.member.name
        return change_members(view, (), (name,), _new_change_id())

    def maintain(self, view: View) -> View | None:
        """Apply all pending additions and removals in one change.

        :param view: stored view.
        :returns: the next view, or ``None`` if there is nothing to change.
        """
        if not self._state.is_listed(view):
            return None
        added, removed = self._pending_changes(view)
        now_s = self._context.clock()
        if self._state.confirmation.is_held(now_s):
            # Previous owners that cannot be reached stay listed until their
            # confirmation expires, so that members that join later know them.
            removed = set()
        else:
            removed |= self._presence.silent_names(now_s)
        ended = self._expired_names(view, now_s)
        if not added and not removed and not ended:
            return None
        return change_members(
            view,
            added,
            removed,
            _new_change_id(),
            ended | self._departed,
        )

    def _record_replaced(self, old: Member | None) -> None:
        """Record an earlier process of this name that may still run.

        One at the same address has stopped, as this process listens there.
        """
        own = self._state.member
        if old and (old.host, old.port) != (own.host, own.port):
            self._state.replaced_member = old

    def _expired_names(self, view: View, now_s: float) -> set[str]:
        """Return the names of former members whose retention has ended."""
        return {
            member.name
            for member in view.former
            if member.name in self._departed
            or now_s - self._former_since_s.get(member, now_s) >= FORMER_S
        }

    def _pending_changes(self, view: View) -> tuple[list[Member], set[str]]:
        listed = {member.name: member for member in view.members}
        added = [
            member
            for member in self._announced.values()
            if listed.get(member.name) != member
        ]
        return added, self._silent & listed.keys()


def _new_change_id() -> str:
    return secrets.token_hex(8)


def restrict_change(state: ViewState, change: ChangeView) -> ChangeView:
    """Wrap a change so that it writes nothing while that is forbidden.

    A promise forbids to write a view that may not be adopted yet. A stored
    view older than the adopted one is a fault of the store and is not changed.

    :param state: adopted view and promises.
    :param change: change to wrap.
    :returns: function that returns ``None`` while the change is forbidden.
    """

    def change_if_allowed(view: View) -> View | None:
        is_allowed = state.may_adopt() and view.epoch >= state.view.epoch
        return change(view) if is_allowed else None

    return change_if_allowed
