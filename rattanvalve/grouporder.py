"""Order of waiting requests: classes, shares of groups, ranks in a group."""

from collections.abc import Hashable
from dataclasses import dataclass, field

from rattanvalve.lazyheap import LazyHeap
from rattanvalve.messages import Ticket
from rattanvalve.queuepolicies import QueuePolicy

__all__ = ('GroupOrder',)


@dataclass(slots=True)
class _Group:
    """Waiting requests of one group, and the service it has received."""

    waiting: LazyHeap = field(default_factory=LazyHeap)
    service: float = 0
    running_count: int = 0


class GroupOrder:
    """Groups of requests in the order of a policy.

    The service of a group is charged when a request starts and corrected
    when its usage is known.

    :param policy: the policy.
    """

    def __init__(self, policy: QueuePolicy) -> None:
        self.policy = policy
        self._groups: dict[Hashable, _Group] = {}
        self._active = LazyHeap()
        self._floors: dict[int, float] = {}
        self._arrival_count = 0

    def __len__(self) -> int:
        """Count the groups that wait.

        :returns: number of groups.
        """
        return len(self._active)

    def class_of(self, ticket: Ticket) -> int:
        """Give the class of a request.

        :param ticket: ticket.
        :returns: number; lower ones go first.
        """
        return self.policy.group_of(ticket)[0]

    def first_class(self) -> int | None:
        """Give the class of the request that is next.

        :returns: class, or ``None`` if none waits.
        """
        first = self._active.first()
        return first[1][0] if first else None

    def first(self) -> str | None:
        """Name the request that is next.

        :returns: ticket number, or ``None`` if none waits.
        """
        first = self._active.first()
        return self._groups[first[1]].waiting.first()[1] if first else None

    def waiting_count(self, priority: int) -> int:
        """Count the waiting requests of a class.

        :param priority: the class.
        :returns: number of requests.
        """
        return sum(
            len(group.waiting)
            for key, group in self._groups.items()
            if key[0] == priority
        )

    def enter(self, ticket: Ticket) -> None:
        """Add a request behind those that arrived before.

        :param ticket: its ticket.
        """
        key = self.policy.group_of(ticket)
        group = self._groups.setdefault(key, _Group())
        if not group.waiting:
            # An idle group does not save up service for later.
            floor = self._floors.get(key[0], 0)
            group.service = max(group.service, floor)
        rank = self.policy.rank_of(ticket, self._arrival_count)
        self._arrival_count += 1
        group.waiting.push(ticket.number, rank)
        self._settle(key)

    def leave(self, ticket: Ticket) -> None:
        """Remove a waiting request.

        :param ticket: its ticket.
        """
        key = self.policy.group_of(ticket)
        self._groups[key].waiting.discard(ticket.number)
        self._settle(key)

    def start(self, ticket: Ticket, charged: float) -> None:
        """Move a request from waiting to running.

        :param ticket: its ticket.
        :param charged: service that it is expected to receive.
        """
        key = self.policy.group_of(ticket)
        group = self._groups[key]
        group.waiting.discard(ticket.number)
        floor = self._floors.get(key[0], 0)
        self._floors[key[0]] = max(floor, group.service)
        self.charge_running(ticket, charged)

    def charge_running(self, ticket: Ticket, charged: float) -> None:
        """Count a running request.

        :param ticket: its ticket.
        :param charged: service that it is expected to receive.
        """
        key = self.policy.group_of(ticket)
        group = self._groups.setdefault(key, _Group())
        group.service += charged * self.policy.weight_of(ticket)
        group.running_count += 1
        self._settle(key)

    def finish(self, ticket: Ticket, correction: float) -> None:
        """Remove a running request.

        :param ticket: its ticket.
        :param correction: service received beyond what was charged.
        """
        key = self.policy.group_of(ticket)
        group = self._groups[key]
        group.running_count -= 1
        group.service += correction * self.policy.weight_of(ticket)
        self._settle(key)

    def _settle(self, key: tuple[int, str]) -> None:
        """Bring the place of a group up to date, or forget an idle one."""
        group = self._groups[key]
        if group.waiting:
            self._active.push(key, (key[0], group.service))
            return
        self._active.discard(key)
        if group.running_count == 0 and (
            group.service <= self._floors.get(key[0], 0)
        ):
            self._groups.pop(key)
