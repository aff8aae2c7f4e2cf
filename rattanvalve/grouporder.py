"""Order of waiting requests by class, fair share of groups, and rank."""

from collections.abc import Hashable
from dataclasses import dataclass, field

from rattanvalve.lazyheap import LazyHeap
from rattanvalve.messages import Ticket
from rattanvalve.queuepolicies import QueuePolicy

__all__ = ('GroupOrder',)


@dataclass(slots=True)
class _Group:
    """Waiting requests of one group, and the service charged to it."""

    waiting: LazyHeap = field(default_factory=LazyHeap)
    service: float = 0
    running_count: int = 0


class GroupOrder:
    """Fair queue of request groups.

    Within a class, the group with the least service goes next. A group is
    charged the expected service when a request starts, and the charge is
    corrected when the usage is known. Service is in weighted tokens.

    :param policy: defines classes, groups, ranks and weights.
    """

    def __init__(self, policy: QueuePolicy) -> None:
        self.policy = policy
        self._groups: dict[Hashable, _Group] = {}
        self._waiting_groups = LazyHeap()
        self._virtual_times: dict[int, float] = {}
        self._arrival_count = 0

    def __len__(self) -> int:
        """Return the number of groups with waiting requests.

        :returns: number of groups; idle groups do not count.
        """
        return len(self._waiting_groups)

    def class_of(self, ticket: Ticket) -> int:
        """Return the class of a request.

        :param ticket: ticket of the request.
        :returns: class number; lower classes go first.
        """
        return self.policy.group_of(ticket)[0]

    def next_class(self) -> int | None:
        """Return the class of the next request.

        :returns: class, or ``None`` if no request waits.
        """
        first = self._waiting_groups.peek()
        return first[1][0] if first else None

    def next_number(self) -> str | None:
        """Return the ticket number of the next request.

        :returns: ticket number, or ``None`` if no request waits.
        """
        first = self._waiting_groups.peek()
        return self._groups[first[1]].waiting.peek()[1] if first else None

    def waiting_count(self, priority: int) -> int:
        """Count the waiting requests of a class.

        :param priority: class number.
        :returns: number of requests in all groups of the class.
        """
        return sum(
            len(group.waiting)
            for key, group in self._groups.items()
            if key[0] == priority
        )

    def add(self, ticket: Ticket) -> None:
        """Add a waiting request; later arrivals rank lower on a tie.

        :param ticket: ticket of the request.
        """
        key = self.policy.group_of(ticket)
        group = self._groups.setdefault(key, _Group())
        if not group.waiting:
            # A group that was idle gets no credit for unused service.
            virtual_time = self._virtual_times.get(key[0], 0)
            group.service = max(group.service, virtual_time)
        rank = self.policy.rank_of(ticket, self._arrival_count)
        self._arrival_count += 1
        group.waiting.push(ticket.number, rank)
        self._update_group(key)

    def remove(self, ticket: Ticket) -> None:
        """Remove a request that leaves the queue without running.

        :param ticket: ticket of a waiting request.
        """
        key = self.policy.group_of(ticket)
        self._groups[key].waiting.discard(ticket.number)
        self._update_group(key)

    def start(self, ticket: Ticket, charged_tokens: float) -> None:
        """Move a request from waiting to running and charge its group.

        :param ticket: ticket of a waiting request.
        :param charged_tokens: expected service in tokens.
        """
        key = self.policy.group_of(ticket)
        group = self._groups[key]
        group.waiting.discard(ticket.number)
        virtual_time = self._virtual_times.get(key[0], 0)
        self._virtual_times[key[0]] = max(virtual_time, group.service)
        self.add_running(ticket, charged_tokens)

    def add_running(self, ticket: Ticket, charged_tokens: float) -> None:
        """Add a running request and charge its group.

        :param ticket: ticket of a request that is not waiting in this order.
        :param charged_tokens: expected service in tokens.
        """
        key = self.policy.group_of(ticket)
        group = self._groups.setdefault(key, _Group())
        group.service += charged_tokens * self.policy.weight_of(ticket)
        group.running_count += 1
        self._update_group(key)

    def finish(self, ticket: Ticket, correction: float) -> None:
        """Remove a running request and correct the charge of its group.

        :param ticket: ticket of a running request.
        :param correction: actual minus charged service in tokens; negative
            if less was used.
        """
        key = self.policy.group_of(ticket)
        group = self._groups[key]
        group.running_count -= 1
        group.service += correction * self.policy.weight_of(ticket)
        self._update_group(key)

    def _update_group(self, key: tuple[int, str]) -> None:
        """Update the position of a group, or remove it once it is idle."""
        group = self._groups[key]
        if group.waiting:
            self._waiting_groups.push(key, (key[0], group.service))
            return
        self._waiting_groups.discard(key)
        if group.running_count == 0 and (
            group.service <= self._virtual_times.get(key[0], 0)
        ):
            self._groups.pop(key)
