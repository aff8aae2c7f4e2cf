"""Which entries answered lately, and who maintains the view."""

from rattanvalve.messages import Member

__all__ = ('MINORITY_SILENT_S', 'SILENT_S', 'Presence')

#: An entry without a message for this long is removed from the view.
SILENT_S = 3.0
#: The same for a process that hears less than half of the entries. It is
#: probably cut off itself, so the others get the time to remove it first.
MINORITY_SILENT_S = 6.0
#: A longer time between two rounds means that this process was paused.
PAUSE_S = 2.0


#: Name and incarnation.
_Key = tuple[str, str]


class Presence:
    """Time of the last message of each other entry of the view.

    :param own_name: name of this process, which always counts as live.
    """

    def __init__(self, own_name: str) -> None:
        self._own_name = own_name
        # By name and incarnation: a restarted entry is another one.
        self._contact_at_s: dict[_Key, float] = {}
        self._round_at_s: float = 0

    def begin_round(self, entries: tuple[Member, ...], now_s: float) -> None:
        """Start counting for new entries, and anew after a pause.

        After a pause of this process the peers only seem silent: their
        heartbeats wait in its socket buffers.

        :param entries: entries of the current view.
        :param now_s: current time.
        """
        was_paused = now_s - self._round_at_s > PAUSE_S
        known = {} if was_paused else self._contact_at_s
        self._contact_at_s = {
            _key_of(member): known.get(_key_of(member), now_s)
            for member in entries
        }
        self._round_at_s = now_s

    def note_contact(self, member: Member, now_s: float) -> None:
        """Record a message of a member; others are ignored.

        :param member: the process that sent it.
        :param now_s: current time, or minus infinity if it is leaving.
        """
        if _key_of(member) in self._contact_at_s:
            self._contact_at_s.update({_key_of(member): now_s})

    def live_names(self, now_s: float) -> set[str]:
        """List the entries with a recent message.

        :param now_s: current time.
        :returns: names, with the own one.
        """
        return {self._own_name} | {
            name
            for (name, _), heard_at_s in self._contact_at_s.items()
            if now_s - heard_at_s <= SILENT_S
        }

    def silent_names(self, now_s: float) -> set[str]:
        """List the entries to remove from the view.

        :param now_s: current time.
        :returns: names, without the own one.
        """
        if now_s - self._round_at_s > PAUSE_S:
            # The store loop may run before the first round after a pause.
            return set()
        heard = self.live_names(now_s)
        is_minority = 2 * len(heard) < len(self._contact_at_s)
        limit_s = MINORITY_SILENT_S if is_minority else SILENT_S
        return {
            name
            for (name, _), heard_at_s in self._contact_at_s.items()
            if now_s - heard_at_s > limit_s and name != self._own_name
        }

    def is_maintainer(self, now_s: float) -> bool:
        """Return whether this process maintains the view.

        :param now_s: current time.
        :returns: whether it is the first in name order of those heard.
        """
        return min(self.live_names(now_s)) == self._own_name


def _key_of(member: Member) -> _Key:
    return member.name, member.incarnation
