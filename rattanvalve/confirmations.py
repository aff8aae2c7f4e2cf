"""Confirmation of the view; it determines the admission mode of an owner.

A confirmation states that no epoch newer than that of this process existed at
a point in time. It is valid for ``LEASE_S`` from then. All times are on the
monotonic clock of this process. The mode is computed at each use, so a process
that resumes after a pause finds that its confirmation has expired.
"""

import math
from collections.abc import Iterable

from rattanvalve.admission_mode import AdmissionMode
from rattanvalve.errors import InvariantError
from rattanvalve.messages import Member, View
from rattanvalve.views import endpoints_of, entries_of, find_member

__all__ = (
    'HALF_S',
    'LEASE_S',
    'STATEMENTS_MAX_S',
    'UNCONFIRMED_AGE_MS',
    'Confirmation',
    'age_to_ms',
)

#: Validity of a confirmation, in seconds.
LEASE_S = 10.0
#: Time in seconds for which an owner admits repeatable work after its
#: confirmation expired.
HALF_S = 3900.0
#: Time in seconds after the last store read for which statements of peers
#: count. The bound tells a new member that can reach none of these peers how
#: long they may act.
STATEMENTS_MAX_S = 3900.0
#: Age in milliseconds that a process without a confirmation sends.
UNCONFIRMED_AGE_MS = 10**12
_MS_PER_S = 1000
_NEVER = -math.inf


def age_to_ms(age_s: float) -> int:
    """Convert the age of a confirmation to the milliseconds of a message.

    :param age_s: age in seconds; infinite if there is no confirmation.
    :returns: age in milliseconds, rounded up, at most ``UNCONFIRMED_AGE_MS``.
    """
    return math.ceil(min(age_s * _MS_PER_S, UNCONFIRMED_AGE_MS))


class Confirmation:
    """Evidence that the current view is still the newest one.

    :param incarnation: incarnation of this process; a view that contains its
        name with another incarnation does not list this process. Empty to
        compare names only.
    """

    def __init__(self, incarnation: str = '') -> None:
        self.incarnation = incarnation
        self._epoch = 0
        self._store_read_at_s = _NEVER
        self._statements: dict[str, float] = {}
        self._required: frozenset[str] = frozenset()
        self._is_listed = False
        self._hold_began_at_s = _NEVER
        self._previous_epoch = 0
        self._unsealed: set[str] = set()
        self._predecessors: dict[str, Member] = {}

    def confirm(self, read_at_s: float) -> None:
        """Record a store read that found no newer epoch.

        :param read_at_s: time just before the store was read, on the clock of
            this process. For the read of a peer, it is the time just before
            the request to the peer, minus the age in its response.
        """
        self._store_read_at_s = max(self._store_read_at_s, read_at_s)

    def record_statement(self, name: str, epoch: int, now_s: float) -> None:
        """Record that an entry knows no newer epoch and will not adopt one yet.

        The statement of this process itself is required as well. It records
        that the process was running at that time and could not reach the store.

        :param name: name of the entry, which may be this one.
        :param epoch: newest epoch that the entry knows.
        :param now_s: time just before the request to the entry, which will not
            adopt a newer epoch for at least ``LEASE_S`` from then.
        """
        if epoch == self._epoch and name in self._required:
            known_s = self._statements.get(name, _NEVER)
            self._statements[name] = max(known_s, now_s)

    def set_view(self, view: View, own_name: str, now_s: float) -> None:
        """Set the adopted view.

        An earlier store read stays valid, since no epoch newer than that of
        the adopted view existed at that time. Statements are discarded, since
        the new view may have members that made none.

        :param view: the adopted view.
        :param own_name: name of this process.
        :param now_s: current time in seconds.
        :raises InvariantError: if the epoch decreases.
        """
        if view.epoch < self._epoch:
            raise InvariantError(
                f'the epoch decreases from {self._epoch} to {view.epoch}',
            )
        if view.epoch > self._epoch:
            self._statements.clear()
        self._epoch = view.epoch
        self._required = frozenset(member.name for member in entries_of(view))
        self._drop_replaced(view)
        own = find_member(view, own_name)
        self._is_listed = own is not None and (
            self.incarnation in {'', own.incarnation}
        )

    def begin_hold(
        self,
        previous: View,
        predecessors: Iterable[Member],
        now_s: float,
    ) -> None:
        """Restrict a new member until the previous owners cannot act.

        The entries of the previous view may confirm each other without the
        store and without knowing about this member. The hold ends when a
        confirmed entry knows the epoch of this process (:meth:`end_hold`), when
        all endpoints of the previous view refuse older epochs
        (:meth:`record_sealed`), when another process runs at the address of
        each previous entry (:meth:`set_view`), or after the longest time for
        which the previous entries may act.

        :param previous: view before this process joined.
        :param predecessors: entries of the previous view that may still run.
        :param now_s: current time in seconds.
        """
        self._previous_epoch = previous.epoch
        self._unsealed = {
            member.name
            for member in (*endpoints_of(previous), *previous.former)
        }
        self._predecessors = {member.name: member for member in predecessors}
        # Without endpoints, the previous owners cannot run any work.
        has_owners = bool(self._unsealed) and bool(self._predecessors)
        self._hold_began_at_s = now_s if has_owners else _NEVER

    def end_hold(self) -> None:
        """End the hold; called once the previous owners cannot act."""
        self._hold_began_at_s = _NEVER

    def record_sealed(self, endpoint: str, epoch: int) -> None:
        """Record that an endpoint refuses epochs older than ``epoch``.

        :param endpoint: name of the endpoint.
        :param epoch: epoch of the view that the endpoint has adopted.
        """
        if self._unsealed and epoch > self._previous_epoch:
            self._unsealed.discard(endpoint)
            if not self._unsealed:
                self.end_hold()

    def is_held(self, now_s: float) -> bool:
        """Check whether the hold of a new member restricts this process.

        :param now_s: current time in seconds.
        :returns: whether the hold limits the mode.
        """
        return self._hold_mode(now_s) is not AdmissionMode.FULL

    def mode(self, now_s: float) -> AdmissionMode:
        """Compute which work this process may admit.

        :param now_s: time of the admission in seconds.
        :returns: the mode; ``NONE`` if the view does not list this process.
        """
        if not self._is_listed:
            return AdmissionMode.NONE
        hold_mode = self._hold_mode(now_s)
        age_s = self.age_s(now_s)
        if age_s < LEASE_S:
            return hold_mode
        # An owner whose hold limits it to half admits nothing after its
        # confirmation expired: its predecessor may use one half of the rate
        # and its successor the other.
        if age_s < LEASE_S + HALF_S and hold_mode is AdmissionMode.FULL:
            return AdmissionMode.HALF
        return AdmissionMode.NONE

    def age_s(self, now_s: float) -> float:
        """Return the age of the newest store read or set of statements.

        :param now_s: current time in seconds.
        :returns: age in seconds; infinite if there is none.
        """
        return now_s - max(self._store_read_at_s, self._statements_at_s())

    def read_age_s(self, now_s: float) -> float:
        """Return the age of the newest store read of this process or a peer.

        :param now_s: current time in seconds.
        :returns: age in seconds; infinite if there is none.
        """
        return now_s - self._store_read_at_s

    def _drop_replaced(self, view: View) -> None:
        """Remove predecessors whose address another process uses now."""
        for name, old in tuple(self._predecessors.items()):
            new = find_member(view, name) or old
            is_same_address = (new.host, new.port) == (old.host, old.port)
            if is_same_address and new.incarnation != old.incarnation:
                self._predecessors.pop(name)
        if not self._predecessors:
            self.end_hold()

    def _statements_at_s(self) -> float:
        if not self._required:
            return _NEVER
        oldest_s = min(
            self._statements.get(name, _NEVER) for name in self._required
        )
        return min(oldest_s, self._store_read_at_s + STATEMENTS_MAX_S)

    def _hold_mode(self, now_s: float) -> AdmissionMode:
        held_s = now_s - self._hold_began_at_s
        if held_s < STATEMENTS_MAX_S + LEASE_S:
            return AdmissionMode.NONE
        if held_s < STATEMENTS_MAX_S + LEASE_S + HALF_S:
            return AdmissionMode.HALF
        return AdmissionMode.FULL
