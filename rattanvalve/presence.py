"""Liveness of the entries of a view, and choice of its maintainer."""

from rattanvalve.messages import Member

__all__ = ('MINORITY_SILENT_S', 'SILENT_S', 'Presence')

#: Seconds without a message after which an entry is removed from the view.
SILENT_S = 3.0
#: The same limit in a process that gets messages from less than half of the
#: entries. It is probably partitioned itself, so the majority gets the time to
#: remove it first.
MINORITY_SILENT_S = 6.0
#: A longer time in seconds between two rounds means that this process was
#: paused.
PAUSE_S = 2.0


#: Name and incarnation.
_Key = tuple[str, str]


class Presence:
    """Time of the last message of each other entry of the view.

    :param own_name: name of this process, which always counts as live.
    """

    def __init__(self, own_name: str) -> None:
        self._own_name = own_name
        # The key includes the incarnation, as a restart makes a new member.
        self._contact_at_s: dict[_Key, float] = {}
        self._round_at_s: float = 0

    def begin_round(self, entries: tuple[Member, ...], now_s: float) -> None:
        """Start the silence timers of new entries, or of all after a pause.

        After a pause of this process the peers only appear silent, as their
        heartbeats are still in its socket buffers.

        :param entries: entries of the current view.
        :param now_s: current time in seconds.
        """
        was_paused = now_s - self._round_at_s > PAUSE_S
        known = {} if was_paused else self._contact_at_s
        self._contact_at_s = {
            _key_of(member): known.get(_key_of(member), now_s)
            for member in entries
        }
        self._round_at_s = now_s

    def record_contact(self, member: Member, now_s: float) -> None:
        """Record a message; one from a process not in the view is ignored.

        :param member: process that sent the message.
        :param now_s: current time in seconds, or minus infinity if the sender
            is leaving.
        """
        if _key_of(member) in self._contact_at_s:
            self._contact_at_s.update({_key_of(member): now_s})

    def live_names(self, now_s: float) -> set[str]:
        """Return the entries with a message in the last ``SILENT_S`` seconds.

        :param now_s: current time in seconds.
        :returns: entry names, always including this process.
        """
        return {self._own_name} | {
            name
            for (name, _), received_at_s in self._contact_at_s.items()
            if now_s - received_at_s <= SILENT_S
        }

    def silent_names(self, now_s: float) -> set[str]:
        """Return the entries to remove from the view.

        :param now_s: current time in seconds.
        :returns: entry names, never including this process; empty after a
            pause of this process until the next round begins.
        """
        if now_s - self._round_at_s > PAUSE_S:
            # The store loop may run before the first round after a pause.
            return set()
        live = self.live_names(now_s)
        is_minority = 2 * len(live) < len(self._contact_at_s)
        limit_s = MINORITY_SILENT_S if is_minority else SILENT_S
        return {
            name
            for (name, _), received_at_s in self._contact_at_s.items()
            if now_s - received_at_s > limit_s and name != self._own_name
        }

    def is_maintainer(self, now_s: float) -> bool:
        """Return whether this process maintains the view.

        :param now_s: current time in seconds.
        :returns: whether its name is the first one among the live entries.
        """
        return min(self.live_names(now_s)) == self._own_name


def _key_of(member: Member) -> _Key:
    return member.name, member.incarnation
