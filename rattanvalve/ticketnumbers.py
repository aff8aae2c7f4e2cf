"""Ticket numbers whose records an endpoint process has evicted."""

from collections import OrderedDict

__all__ = ('TicketHighWaterMarks',)

#: Largest number of issuers. An issuer is one incarnation of an entry, and a
#: cell has at most 12 entries, so this covers hundreds of restarts of each.
MAX_ISSUER_COUNT = 4096


class TicketHighWaterMarks:
    """Highest evicted sequence of each issuer of tickets.

    A number is ``<owner>/<incarnation>/<sequence>``.
    """

    def __init__(self) -> None:
        self._highest: OrderedDict[str, int] = OrderedDict()

    def is_new(self, number: str) -> bool:
        """Check that no record of a number can have been evicted.

        :param number: ticket number.
        :returns: whether its sequence is above the mark of its issuer.
        """
        issuer, sequence = _parse(number)
        return sequence > self._highest.get(issuer, -1)

    def advance(self, number: str) -> None:
        """Raise the mark of an issuer to the number of an evicted record.

        :param number: ticket number; one below the mark does not lower it.
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
    # A malformed number is its own issuer, so it is refused after its record
    # was evicted.
    return number, 0
