"""Ticket numbers whose records an endpoint process has forgotten."""

from collections import OrderedDict

__all__ = ('TicketMarks',)

#: Issuers remembered. An issuer is one incarnation of an entry, and a cell
#: has at most 12 entries, so this covers hundreds of restarts of each.
MAX_ISSUER_COUNT = 4096


class TicketMarks:
    """Highest forgotten sequence of each issuer of tickets.

    A number is ``<owner>/<incarnation>/<sequence>``.
    """

    def __init__(self) -> None:
        self._highest: OrderedDict[str, int] = OrderedDict()

    def is_new(self, number: str) -> bool:
        """Return whether no record of this number can have been forgotten.

        :param number: ticket number.
        :returns: whether its sequence is above those forgotten.
        """
        issuer, sequence = _parse(number)
        return sequence > self._highest.get(issuer, -1)

    def forget(self, number: str) -> None:
        """Note that the record of a number is no longer kept.

        :param number: ticket number.
        """
        issuer, sequence = _parse(number)
        self._highest[issuer] = max(self._highest.get(issuer, -1), sequence)
        self._highest.move_to_end(issuer)
        if len(self._highest) > MAX_ISSUER_COUNT:
            self._highest.popitem(last=False)


def _parse(number: str) -> tuple[str, int]:
    issuer, _, sequence = number.rpartition('/')
    if sequence.isascii() and sequence.isdigit():
        return issuer, int(sequence)
    # A malformed number is its own issuer, so it is never accepted again
    # after it was forgotten.
    return number, 0
