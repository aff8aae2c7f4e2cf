"""Changes that a process makes to the view of its cell."""

import secrets

from rattanvalve.confirmations import HALF_S, LEASE_S
from rattanvalve.control import ControlContext
from rattanvalve.messages import Member, View
from rattanvalve.presence import Presence
from rattanvalve.views import change_members, member_of
from rattanvalve.viewstate import ViewState
from rattanvalve.viewstore import ChangeView

__all__ = ('FORMER_S', 'ViewChanges', 'only_if_allowed')

#: How long a removed endpoint is remembered: an isolated owner acts for the
#: lease, and then for ``HALF_S`` at half the rate.
FORMER_S = LEASE_S + HALF_S


class ViewChanges:
    """Computes the next view from the stored one, or ``None`` for no change.

    :param context: clock.
    :param state: adopted view and own member.
    :param presence: which entries are silent.
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
        self._wanted: dict[str, Member] = {}
        self._silent: set[str] = set()
        #: Silent endpoints that had announced that they leave.
        self._left: set[str] = set()
        # Each process counts by its own monotonic clock from the moment when
        # it first saw the former member. A new maintainer may therefore
        # remember it for longer, never for a shorter time, and wall clocks
        # need not agree.
        self._former_since_s: dict[Member, float] = {}

    def add_endpoint(self, member: Member) -> None:
        """Have an endpoint listed in the view.

        :param member: endpoint that announced itself.
        """
        self._silent.discard(member.name)
        self._left.discard(member.name)
        self._wanted[member.name] = member

    def forget_endpoint(self, name: str, has_left: bool = False) -> None:
        """Have an endpoint removed from the view.

        :param name: endpoint that is silent.
        :param has_left: whether it had announced that it leaves. It then
            refuses new runs by itself and is not remembered.
        """
        self._wanted.pop(name, None)
        self._silent.add(name)
        self._left.discard(name)
        if has_left:
            self._left.add(name)

    def watch_former(self, view: View) -> None:
        """Count the time of the former members.

        :param view: adopted view.
        """
        now_s = self._context.clock()
        self._former_since_s = {
            member: self._former_since_s.get(member, now_s)
            for member in view.former
        }

    def join(self, view: View) -> View | None:
        """Add this process.

        :param view: stored view.
        :returns: the next view, or ``None`` if there is nothing to change.
        """
        own = member_of(view, self._state.member.name)
        if self._state.is_listed(view) or (own and self._state.was_listed):
            # A newer incarnation under our name has replaced this process.
            return None
        self._note_replaced(own)
        return change_members(view, (self._state.member,), (), _new_change_id())

    def leave(self, view: View) -> View | None:
        """Remove this process.

        :param view: stored view.
        :returns: the next view, or ``None`` if there is nothing to change.
        """
        if not self._state.is_listed(view):
            return None
        name = self._state.member.name
        return change_members(view, (), (name,), _new_change_id())

    def maintain(self, view: View) -> View | None:
        """Add and remove all members that come and go, in one change.

        :param view: stored view.
        :returns: the next view, or ``None`` if there is nothing to change.
        """
        if not self._state.is_listed(view):
            return None
        added, removed = self._pending(view)
        now_s = self._context.clock()
        if self._state.confirmation.is_held(now_s):
            # Previous owners that we cannot reach must stay listed until they
            # cannot act, so that later members know them as well.
            removed = set()
        else:
            removed |= self._presence.silent_names(now_s)
        ended = self._ended_names(view, now_s)
        if not added and not removed and not ended:
            return None
        return change_members(
            view,
            added,
            removed,
            _new_change_id(),
            ended | self._left,
        )

    def _note_replaced(self, old: Member | None) -> None:
        """Note an earlier process of our name that may still run.

        At our own address it cannot run any more, as we listen there.
        """
        own = self._state.member
        if old and (old.host, old.port) != (own.host, own.port):
            self._state.replaced = old

    def _ended_names(self, view: View, now_s: float) -> set[str]:
        """Name the former members that need not be remembered any more."""
        return {
            member.name
            for member in view.former
            if member.name in self._left
            or now_s - self._former_since_s.get(member, now_s) >= FORMER_S
        }

    def _pending(self, view: View) -> tuple[list[Member], set[str]]:
        listed = {member.name: member for member in view.members}
        added = [
            member
            for member in self._wanted.values()
            if listed.get(member.name) != member
        ]
        return added, self._silent & listed.keys()


def _new_change_id() -> str:
    return secrets.token_hex(8)


def only_if_allowed(state: ViewState, change: ChangeView) -> ChangeView:
    """Restrict a change to what this process may write.

    A promise forbids to write a view that may not be adopted yet. A stored
    view older than the adopted one is a fault of the store.

    :param state: adopted view and promises.
    :param change: change to restrict.
    :returns: the same change, or none while it is not allowed.
    """

    def change_if_allowed(view: View) -> View | None:
        is_allowed = state.may_adopt() and view.epoch >= state.view.epoch
        return change(view) if is_allowed else None

    return change_if_allowed
