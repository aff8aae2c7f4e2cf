"""Tracks which members of the turn store are reachable."""

from collections.abc import Sequence
from dataclasses import dataclass

from rattanvalve.channels import Address
from rattanvalve.logs import LogPart, part_logger
from rattanvalve.sharedstate.members import StoreMember

__all__ = ('ReachTable',)

_log = part_logger(LogPart.PEER)

#: A member that answered within this time counts as reachable even if its last
#: call failed, as a short stall of this process makes many calls time out.
RECENT_ANSWER_S = 0.6


@dataclass(slots=True)
class _Contact:
    answered_s: float = float('-inf')
    failed_s: float = float('-inf')
    #: Monotonic time in seconds at which the member became unreachable;
    #: ``None`` while it is reachable or was not called yet.
    lost_since_s: float | None = None


class ReachTable:
    """Records the last answer and last failure of each member."""

    def __init__(self) -> None:
        self._contacts: dict[Address, _Contact] = {}

    def record_answer(self, address: Address, now_s: float) -> None:
        """Record an answer of a member; log the end of an outage.

        :param address: address of the member.
        :param now_s: monotonic time in seconds.
        """
        contact = self._contacts.setdefault(address, _Contact())
        if contact.lost_since_s is not None:
            _log.info(
                'turn store reached',
                extra={
                    'host': address.host,
                    'lost_for_s': round(now_s - contact.lost_since_s, 2),
                },
            )
            contact.lost_since_s = None
        contact.answered_s = now_s

    def record_failure(self, address: Address, now_s: float) -> None:
        """Record a failed call of a member; log the start of an outage.

        :param address: address of the member.
        :param now_s: monotonic time in seconds.
        """
        contact = self._contacts.setdefault(address, _Contact())
        contact.failed_s = now_s
        is_lost = contact.lost_since_s is not None
        if not (is_lost or self._has_answered(address, now_s)):
            contact.lost_since_s = now_s
            _log.warning('turn store lost', extra={'host': address.host})

    def has_failed(self, address: Address) -> bool:
        """Return whether the last call of a member failed.

        :param address: address of the member.
        :returns: whether it failed; false before the first call.
        """
        contact = self._contacts.get(address)
        return contact is not None and contact.failed_s > contact.answered_s

    def sort_failed_last(
        self, members: Sequence[StoreMember]
    ) -> list[StoreMember]:
        """Move members whose last call failed to the end.

        :param members: members to sort.
        :returns: sorted members; the sort is stable.
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
        """Sort members by failure of the last call, then by zone.

        :param members: members to sort.
        :param zone: zone of this process.
        :returns: sorted members; those of the own zone precede others.
        """
        own_zone_first = sorted(members, key=lambda member: member.zone != zone)
        return self.sort_failed_last(own_zone_first)

    def has_majority(
        self,
        members: Sequence[StoreMember],
        now_s: float,
    ) -> bool:
        """Return whether a majority of the members is reachable.

        :param members: all members.
        :param now_s: monotonic time in seconds.
        :returns: whether more than half answered their last call, or another
            one recently.
        """
        addresses = [member.address for member in members]
        return 2 * len(self.unreachable(addresses, now_s)) < len(addresses)

    def unreachable(
        self,
        addresses: Sequence[Address],
        now_s: float,
    ) -> list[Address]:
        """List the unreachable members.

        :param addresses: addresses of the members to check.
        :param now_s: monotonic time in seconds.
        :returns: addresses of members that were not called yet, or whose last
            call failed without a recent answer.
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
