"""Which members of the turn store answered their last call."""

from collections.abc import Sequence
from dataclasses import dataclass

from rattanvalve.channels import Address
from rattanvalve.logs import LogPart, part_logger
from rattanvalve.sharedstate.members import StoreMember

__all__ = ('ReachTable',)

_log = part_logger(LogPart.PEER)

#: A member that answered within this time counts as reached, whatever became
#: of its last call: a short stall of this process lets many calls time out.
RECENT_ANSWER_S = 0.6


@dataclass(slots=True)
class _Contact:
    answered_s: float = float('-inf')
    failed_s: float = float('-inf')
    #: Since when the member counts as lost, in seconds.
    lost_s: float | None = None


class ReachTable:
    """Last answer and last failure of each member, by address."""

    def __init__(self) -> None:
        self._contacts: dict[Address, _Contact] = {}

    def note_answer(self, address: Address, now_s: float) -> None:
        """Note that a member answered.

        :param address: the member.
        :param now_s: monotonic time in seconds.
        """
        contact = self._contacts.setdefault(address, _Contact())
        if contact.lost_s is not None:
            _log.info(
                'turn store reached',
                extra={
                    'host': address.host,
                    'lost_for_s': round(now_s - contact.lost_s, 2),
                },
            )
            contact.lost_s = None
        contact.answered_s = now_s

    def note_failure(self, address: Address, now_s: float) -> None:
        """Note that a call of a member failed.

        :param address: the member.
        :param now_s: monotonic time in seconds.
        """
        contact = self._contacts.setdefault(address, _Contact())
        contact.failed_s = now_s
        is_known = contact.lost_s is not None
        if not (is_known or self._has_answered(address, now_s)):
            contact.lost_s = now_s
            _log.warning('turn store lost', extra={'host': address.host})

    def has_failed(self, address: Address) -> bool:
        """Return whether the last call of a member failed.

        :param address: the member.
        :returns: whether it did; false before the first call.
        """
        contact = self._contacts.get(address)
        return contact is not None and contact.failed_s > contact.answered_s

    def failed_last(self, members: Sequence[StoreMember]) -> list[StoreMember]:
        """Order members by whether their last call failed.

        :param members: members.
        :returns: those that did not fail first, else in the order given.
        """
        return sorted(
            members,
            key=lambda member: self.has_failed(member.address),
        )

    def nearest_first(
        self,
        members: Sequence[StoreMember],
        zone: str,
    ) -> list[StoreMember]:
        """Order members by failure and zone.

        :param members: members.
        :param zone: zone of this process.
        :returns: members, best first.
        """
        own_first = sorted(members, key=lambda member: member.zone != zone)
        return self.failed_last(own_first)

    def has_majority(
        self,
        members: Sequence[StoreMember],
        now_s: float,
    ) -> bool:
        """Return whether most members answer.

        :param members: all members.
        :param now_s: monotonic time in seconds.
        :returns: whether more than half answered their last call, or did so
            a moment ago.
        """
        addresses = [member.address for member in members]
        return 2 * len(self.unreached(addresses, now_s)) < len(addresses)

    def unreached(
        self,
        addresses: Sequence[Address],
        now_s: float,
    ) -> list[Address]:
        """List the members that do not answer.

        :param addresses: members.
        :param now_s: monotonic time in seconds.
        :returns: those that were not called yet or failed.
        """
        return [
            address
            for address in addresses
            if not self._has_answered(address, now_s)
        ]

    def _has_answered(self, address: Address, now_s: float) -> bool:
        contact = self._contacts.get(address)
        if contact is None:
            return False
        is_recent = now_s - contact.answered_s < RECENT_ANSWER_S
        return is_recent or contact.answered_s > contact.failed_s
