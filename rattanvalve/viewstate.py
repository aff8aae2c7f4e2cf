"""Rules for adopting views and for confirming them to peers.

While the store cannot be reached, a process may send peers a statement: it
knows no newer epoch and promises to adopt none for ``LEASE_S``. This module
enforces the promise.
"""

import math
import secrets
from collections.abc import Callable
from dataclasses import replace

from rattanvalve.confirmations import (
    LEASE_S,
    UNCONFIRMED_AGE_MS,
    Confirmation,
    age_to_ms,
)
from rattanvalve.control import ControlContext
from rattanvalve.counters import Counter
from rattanvalve.logs import LogPart, part_logger
from rattanvalve.messages import Ack, Member, View
from rattanvalve.views import entries_of, find_member
from rattanvalve.viewstore import StoredView

__all__ = ('ViewChanged', 'ViewState')

#: Entries make statements once the newest known store read is this old. The
#: rest of the lease is left for collecting the statements of all peers.
STATE_AFTER_S = LEASE_S / 2

#: Called with the old and the new view.
ViewChanged = Callable[[View, View], None]

_log = part_logger(LogPart.VIEW)


class ViewState:
    """The adopted view of an entry process and its promises.

    :param member: this process.
    :param context: blackboard, clock and counters.
    :param confirmation: updated on each adopted view and store read.
    :param on_view_changed: called after a view was adopted.
    """

    def __init__(
        self,
        member: Member,
        context: ControlContext,
        confirmation: Confirmation,
        on_view_changed: ViewChanged,
    ) -> None:
        self.member = member
        self.confirmation = confirmation
        #: Set while a change of the view is being written. A statement made
        #: meanwhile would forbid to adopt the view that is written.
        self.is_changing = False
        self.was_listed = False
        #: Earlier process of this name that may still run at another address.
        self.replaced_member: Member | None = None
        self._context = context
        self._on_view_changed = on_view_changed
        self._observed_epoch = 0
        self._promised_until_s = -math.inf
        confirmation.incarnation = member.incarnation

    @property
    def view(self) -> View:
        """The adopted view."""
        return self._context.blackboard.view

    def is_listed(self, view: View) -> bool:
        """Return whether a view lists this incarnation of this process.

        :param view: view of the cell.
        :returns: whether it does.
        """
        own = find_member(view, self.member.name)
        return own is not None and own.incarnation == self.member.incarnation

    def may_adopt(self) -> bool:
        """Return whether no promise forbids to adopt a newer view now.

        :returns: whether the last promise has expired.
        """
        return self._context.clock() >= self._promised_until_s

    def knows_newest(self) -> bool:
        """Return whether no message carried a newer epoch.

        :returns: whether the adopted epoch is the highest one observed.
        """
        return self._observed_epoch <= self.view.epoch

    def observe_epoch(self, epoch: int) -> bool:
        """Record the epoch carried by a message.

        :param epoch: highest epoch known to the sender.
        :returns: whether it is higher than all epochs observed before. Later
            messages with the same epoch must not trigger more calls, as a
            promise may delay the adoption.
        """
        is_newer = epoch > max(self._observed_epoch, self.view.epoch)
        self._observed_epoch = max(self._observed_epoch, epoch)
        return is_newer

    def apply_stored(self, stored: StoredView) -> None:
        """Adopt and confirm a view read from or written to the store.

        An older epoch than the adopted one is logged and ignored.

        :param stored: the view and the time before the store call.
        """
        if stored.view.epoch < self.view.epoch:
            _log.error('stored view has older epoch %s', stored.view.epoch)
            return
        self.adopt(stored.view)
        if stored.view.epoch == self.view.epoch:
            self.confirmation.confirm(stored.read_at_s)

    def process_ack(self, member: Member, ack: Ack, began_s: float) -> None:
        """Renew the confirmation from the answer to a heartbeat.

        :param member: entry that answered.
        :param ack: its answer.
        :param began_s: time in seconds before the heartbeat was sent.
        """
        self.observe_epoch(ack.epoch)
        # A peer with another epoch does not confirm the adopted view.
        if ack.epoch != self.view.epoch:
            return
        age_s = ack.confirmation_age_ms / 1000
        if ack.is_store_reachable:
            self.confirmation.confirm(began_s - age_s)
        else:
            self.confirmation.record_statement(member.name, ack.epoch, began_s)
        if age_s < LEASE_S:
            self.confirmation.end_hold()

    def adopt(self, view: View) -> bool:
        """Adopt a view if it is newer and no promise forbids it.

        :param view: view from the store or a peer.
        :returns: whether the view was adopted.
        :raises InvariantError: if two different views have one epoch.
        """
        old = self.view
        self._observed_epoch = max(self._observed_epoch, view.epoch)
        self._context.check(
            view.epoch != old.epoch or view.change_id == old.change_id,
            f'two different views of epoch {view.epoch}',
        )
        if view.epoch <= old.epoch or not self.may_adopt():
            return False
        self._context.blackboard.view = view
        self._update_listing(view)
        self._context.metrics.count(Counter.VIEW_CHANGED)
        _log.info('adopted epoch %s', view.epoch)
        self._on_view_changed(old, view)
        self._context.blackboard.publish()
        return True

    def record_own_statement(self) -> bool:
        """Record this process's own statement, if one may be made now.

        :returns: whether the statement was recorded.
        """
        now_s = self._context.clock()
        if not self._can_state(now_s):
            return False
        self.confirmation.record_statement(
            self.member.name,
            self.view.epoch,
            now_s,
        )
        return True

    def make_entry_ack(self, sender: Member) -> Ack:
        """Build the answer to a heartbeat.

        A statement to a member of the view starts a promise of ``LEASE_S``.

        :param sender: entry that sent the heartbeat.
        :returns: the answer. In a statement ``is_store_reachable`` is false;
            otherwise it is true and the age is that of a store read.
        """
        now_s = self._context.clock()
        is_statement = self._can_state(now_s)
        if is_statement and find_member(self.view, sender.name):
            self._promised_until_s = now_s + LEASE_S
        return self._make_ack(
            now_s,
            self.confirmation.age_s(now_s)
            if is_statement
            else self.confirmation.read_age_s(now_s),
            is_store_reachable=not is_statement,
        )

    def make_endpoint_ack(self) -> Ack:
        """Build the answer to an announce.

        :returns: the answer, with the age of the newest confirmation of any
            kind and the queue policy.
        """
        now_s = self._context.clock()
        blackboard = self._context.blackboard
        ack = self._make_ack(
            now_s,
            self.confirmation.age_s(now_s),
            is_store_reachable=blackboard.is_store_reachable,
        )
        rules = blackboard.catalog.config.rules
        return replace(ack, queue_policy=rules.queue_policy)

    def _can_state(self, now_s: float) -> bool:
        return (
            self.was_listed
            and not self.is_changing
            and self._observed_epoch <= self.view.epoch
            and self.confirmation.read_age_s(now_s) >= STATE_AFTER_S
        )

    def _make_ack(
        self,
        now_s: float,
        age_s: float,
        *,
        is_store_reachable: bool,
    ) -> Ack:
        is_current = (
            self.was_listed
            and self._observed_epoch <= self.view.epoch
            and not self.confirmation.is_held(now_s)
        )
        return Ack(
            epoch=max(self._observed_epoch, self.view.epoch),
            generation=self._context.blackboard.catalog.generation,
            confirmation_age_ms=(
                age_to_ms(age_s) if is_current else UNCONFIRMED_AGE_MS
            ),
            is_store_reachable=is_store_reachable,
        )

    def _update_listing(self, view: View) -> None:
        now_s = self._context.clock()
        is_listed = self.is_listed(view)
        is_removed = find_member(view, self.member.name) is None
        if self.was_listed and is_removed:
            # The removed incarnation must not be listed again, as its
            # tickets are void.
            self.member = replace(self.member, incarnation=secrets.token_hex(8))
            self.confirmation.incarnation = self.member.incarnation
            _log.warning('removed from the view')
        if is_listed and not self.was_listed:
            self.confirmation.begin_hold(
                replace(view, epoch=view.epoch - 1),
                _predecessors(self, view),
                now_s,
            )
        if is_listed or is_removed:
            self.was_listed = is_listed
        self.confirmation.set_view(view, self.member.name, now_s)


def _predecessors(state: ViewState, view: View) -> list[Member]:
    others = [
        member
        for member in entries_of(view)
        if member.name != state.member.name
    ]
    return [state.replaced_member, *others] if state.replaced_member else others
