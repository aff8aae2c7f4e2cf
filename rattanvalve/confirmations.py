"""Confirmation of the view: decides how far an owner may act now.

A confirmation states that no epoch newer than ours existed at some moment. It
counts for ``LEASE_S`` after that moment. All moments are on the monotonic
clock of this process; the mode is computed when it is used, so a process that
was paused finds its confirmation expired.
"""

import math
from collections.abc import Iterable

from rattanvalve.actmode import ActMode
from rattanvalve.errors import InvariantError
from rattanvalve.messages import Member, View
from rattanvalve.views import endpoints_of, entries_of, member_of

__all__ = (
    'HALF_S',
    'LEASE_S',
    'STATEMENTS_MAX_S',
    'UNCONFIRMED_AGE_MS',
    'Confirmation',
    'age_to_ms',
)

LEASE_S = 10.0
#: How long an owner admits repeatable work after its confirmation expired.
HALF_S = 3900.0
#: Statements of peers count for this long after the last store read, so that
#: a new member that can reach none of them knows how long they may act.
STATEMENTS_MAX_S = 3900.0
#: Age sent by a process without any confirmation.
UNCONFIRMED_AGE_MS = 10**12
_MS_PER_S = 1000
_NEVER = -math.inf


def age_to_ms(age_s: float) -> int:
    """Convert the age of a confirmation for a message.

    :param age_s: age in seconds; infinite if there is no confirmation.
    :returns: age in milliseconds, rounded up.
    """
    return math.ceil(min(age_s * _MS_PER_S, UNCONFIRMED_AGE_MS))


class Confirmation:
    """What is known about the validity of the current view.

    :param incarnation: incarnation of this process; a view that lists another
        one does not list this process. Empty to compare names only.
    """

    def __init__(self, incarnation: str = '') -> None:
        self.incarnation = incarnation
        self._epoch = 0
        self._read_at_s = _NEVER
        self._statements: dict[str, float] = {}
        self._required: frozenset[str] = frozenset()
        self._is_listed = False
        self._joined_at_s = _NEVER
        self._held_epoch = 0
        self._unsealed: set[str] = set()
        self._predecessors: dict[str, Member] = {}

    def confirm(self, read_at_s: float) -> None:
        """Note that no newer epoch existed at a moment.

        :param read_at_s: latest moment before the store was read, on the
            clock of this process. For a peer's read this is the moment before
            the peer was asked, minus the age that it gave.
        """
        self._read_at_s = max(self._read_at_s, read_at_s)

    def state_of_peer(self, name: str, epoch: int, now_s: float) -> None:
        """Note that an entry knows no newer epoch and will adopt none yet.

        The own statement is required as well: it records that this process
        was running, and could not reach the store, at that moment.

        :param name: name of the entry, which may be this one.
        :param epoch: newest epoch that it knows.
        :param now_s: moment before it was asked; its promise not to adopt a
            newer epoch holds for ``LEASE_S`` from then at least.
        """
        if epoch == self._epoch and name in self._required:
            known_s = self._statements.get(name, _NEVER)
            self._statements[name] = max(known_s, now_s)

    def set_view(self, view: View, own_name: str, now_s: float) -> None:
        """Note the adopted view.

        An earlier store read still counts: when it was made, no epoch newer
        than this one existed. Statements do not, as the new view may have
        members that made none.

        :param view: the adopted view.
        :param own_name: name of this process.
        :param now_s: current time.
        :raises InvariantError: if the epoch decreases.
        """
        if view.epoch < self._epoch:
            raise InvariantError(
                f'epoch decreases from {self._epoch} to {view.epoch}',
            )
        if view.epoch > self._epoch:
            self._statements.clear()
        self._epoch = view.epoch
        self._required = frozenset(member.name for member in entries_of(view))
        self._drop_replaced(view)
        own = member_of(view, own_name)
        self._is_listed = own is not None and (
            self.incarnation in {'', own.incarnation}
        )

    def begin_hold(
        self,
        previous: View,
        predecessors: Iterable[Member],
        now_s: float,
    ) -> None:
        """Hold back a new member until the previous owners cannot act.

        The entries of the previous view may confirm each other without the
        store, and then do not know about this member. The hold ends when a
        confirmed entry knows our epoch (:meth:`end_hold`), when all endpoints
        of the previous view refuse older epochs (:meth:`note_sealed`), when
        another process runs at the address of each previous entry
        (:meth:`set_view`), or after the longest time that they may act.

        :param previous: view before this process joined.
        :param predecessors: entries of it that may still run.
        :param now_s: current time.
        """
        self._held_epoch = previous.epoch
        self._unsealed = {
            member.name
            for member in (*endpoints_of(previous), *previous.former)
        }
        self._predecessors = {member.name: member for member in predecessors}
        # Without endpoints the previous owners have nowhere to send work.
        has_owners = bool(self._unsealed) and bool(self._predecessors)
        self._joined_at_s = now_s if has_owners else _NEVER

    def end_hold(self) -> None:
        """Note that the previous owners cannot act any more."""
        self._joined_at_s = _NEVER

    def note_sealed(self, endpoint: str, epoch: int) -> None:
        """Note that an endpoint refuses epochs older than one.

        :param endpoint: name of the endpoint.
        :param epoch: epoch of the view that the endpoint has adopted.
        """
        if self._unsealed and epoch > self._held_epoch:
            self._unsealed.discard(endpoint)
            if not self._unsealed:
                self.end_hold()

    def is_held(self, now_s: float) -> bool:
        """Return whether this process is held back as a new member.

        :param now_s: current time.
        :returns: whether the hold limits the mode.
        """
        return self._hold_mode(now_s) is not ActMode.FULL

    def mode(self, now_s: float) -> ActMode:
        """Decide how far this process may act.

        :param now_s: moment of acting.
        :returns: the mode.
        """
        if not self._is_listed:
            return ActMode.NONE
        hold_mode = self._hold_mode(now_s)
        age_s = self.age_s(now_s)
        if age_s < LEASE_S:
            return hold_mode
        # An expired owner that was itself limited to half gets nothing: the
        # other half may be in use by its predecessor, and its successor
        # counts on the rest.
        if age_s < LEASE_S + HALF_S and hold_mode is ActMode.FULL:
            return ActMode.HALF
        return ActMode.NONE

    def age_s(self, now_s: float) -> float:
        """Give the age of the newest confirmation of any kind.

        :param now_s: current time.
        :returns: seconds; infinite if there is none.
        """
        return now_s - max(self._read_at_s, self._stated_at_s())

    def read_age_s(self, now_s: float) -> float:
        """Give the age of the newest store read, own or of a peer.

        :param now_s: current time.
        :returns: seconds; infinite if there is none.
        """
        return now_s - self._read_at_s

    def _drop_replaced(self, view: View) -> None:
        """Drop predecessors whose address another process has taken."""
        for name, old in tuple(self._predecessors.items()):
            new = member_of(view, name) or old
            is_same_place = (new.host, new.port) == (old.host, old.port)
            if is_same_place and new.incarnation != old.incarnation:
                self._predecessors.pop(name)
        if not self._predecessors:
            self.end_hold()

    def _stated_at_s(self) -> float:
        if not self._required:
            return _NEVER
        oldest_s = min(
            self._statements.get(name, _NEVER) for name in self._required
        )
        return min(oldest_s, self._read_at_s + STATEMENTS_MAX_S)

    def _hold_mode(self, now_s: float) -> ActMode:
        held_s = now_s - self._joined_at_s
        if held_s < STATEMENTS_MAX_S + LEASE_S:
            return ActMode.NONE
        if held_s < STATEMENTS_MAX_S + LEASE_S + HALF_S:
            return ActMode.HALF
        return ActMode.FULL
