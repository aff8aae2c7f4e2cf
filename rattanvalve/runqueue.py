"""Queue before one server: bounded slots, ordered by a named policy."""

from collections import Counter as CountTable
from collections.abc import Hashable
from dataclasses import dataclass, field

from rattanvalve.errors import InvariantError
from rattanvalve.lazyheap import LazyHeap
from rattanvalve.messages import Refusal, Ticket, Usage
from rattanvalve.queuepolicies import QUEUE_POLICIES, timeout_s_of
from rattanvalve.resultcodes import ResultCode

__all__ = ('QUEUE_POLICIES', 'RunQueue')

#: Run time assumed for retry times before the first run has finished.
_FIRST_RUN_S = 1.0
#: Weight of the newest run in the moving mean of run times.
_MEAN_WEIGHT = 0.2
_MS_PER_S = 1000


@dataclass(slots=True)
class _Group:
    """Waiting requests of one group, and the service it has received."""

    waiting: LazyHeap = field(default_factory=LazyHeap)
    service: float = 0
    running_count: int = 0


@dataclass(slots=True)
class _Running:
    ticket: Ticket
    started_s: float
    charged: float


class RunQueue:
    """Waiting and running requests of one server.

    The service of a group is charged with the reserved tokens when a request
    starts and corrected when its usage is known; a request costs at least 1.

    :param capacity_count: how many requests run at once.
    :param max_per_workspace_count: how many requests of a workspace wait.
    :param policy_name: name in :data:`QUEUE_POLICIES`.
    """

    def __init__(
        self,
        capacity_count: int,
        max_per_workspace_count: int,
        policy_name: str,
    ) -> None:
        self._capacity_count = capacity_count
        self._max_per_workspace_count = max_per_workspace_count
        self._policy = QUEUE_POLICIES[policy_name]
        self._groups: dict[Hashable, _Group] = {}
        self._active = LazyHeap()
        self._floors: dict[int, float] = {}
        self._waiting: dict[str, Ticket] = {}
        self._running: dict[str, _Running] = {}
        self._deadlines = LazyHeap()
        self._counts: CountTable[str] = CountTable()
        self._expired: list[Ticket] = []
        self._arrival_count = 0
        self._mean_run_s = _FIRST_RUN_S

    @property
    def running_count(self) -> int:
        """Count the running requests.

        :returns: number of slots in use.
        """
        return len(self._running)

    @property
    def queued_count(self) -> int:
        """Count the waiting requests.

        :returns: number of requests without a slot.
        """
        return len(self._waiting)

    def follow(self, policy_name: str) -> None:
        """Change the order; waiting requests keep their order of arrival.

        Service that groups received under the earlier policy is forgotten.

        :param policy_name: name in :data:`QUEUE_POLICIES`; others are ignored,
            so that an entry of a later version cannot stop the queue.
        """
        policy = QUEUE_POLICIES.get(policy_name, self._policy)
        if policy is self._policy:
            return
        self._policy = policy
        self._groups.clear()
        self._floors.clear()
        self._active = LazyHeap()
        for run in self._running.values():
            group = self._groups.setdefault(
                policy.group_of(run.ticket), _Group()
            )
            group.running_count += 1
            group.service += run.charged
        for arrival, ticket in enumerate(self._waiting.values()):
            self._enter_group(ticket, arrival)
        self._arrival_count = len(self._waiting)

    def offer(self, ticket: Ticket, now_s: float) -> Refusal | None:
        """Put a request into the queue.

        :param ticket: accepted ticket.
        :param now_s: monotonic time in seconds.
        :returns: ``None`` if the request waits now, else ``QUEUE_FULL``.
        :raises InvariantError: if the number is waiting or running already.
        """
        if ticket.number in self._waiting or ticket.number in self._running:
            raise InvariantError(f'{ticket.number} is queued twice')
        if self._counts[ticket.workspace] >= self._max_per_workspace_count:
            return Refusal(
                code=ResultCode.QUEUE_FULL,
                retry_after_ms=self._retry_after_ms(),
            )
        self._waiting[ticket.number] = ticket
        self._counts[ticket.workspace] += 1
        self._deadlines.push(ticket.number, now_s + timeout_s_of(ticket))
        self._enter_group(ticket, self._arrival_count)
        self._arrival_count += 1
        return None

    def pop_ready(self, now_s: float) -> Ticket | None:
        """Start the next request if a slot is free.

        :param now_s: monotonic time in seconds.
        :returns: ticket that runs now, or ``None``.
        """
        self._collect_expired(now_s)
        first = self._active.first()
        if first is None or len(self._running) >= self._capacity_count:
            return None
        key = first[1]
        rank_and_number = self._groups[key].waiting.first()
        ticket = self._leave(rank_and_number[1])
        self._start(key, ticket, now_s)
        return ticket

    def finished(self, number: str, usage: Usage, now_s: float) -> None:
        """Free the slot of a request.

        :param number: ticket number of a running request.
        :param usage: tokens that the run used.
        :param now_s: monotonic time in seconds.
        :raises InvariantError: if the number is not running.
        """
        run = self._running.pop(number, None)
        if run is None:
            raise InvariantError(f'{number} finished but was not running')
        run_s = now_s - run.started_s
        self._mean_run_s += _MEAN_WEIGHT * (run_s - self._mean_run_s)
        key = self._policy.group_of(run.ticket)
        group = self._groups[key]
        group.running_count -= 1
        used = usage.prompt_tokens + usage.output_tokens
        group.service += max(used, 1) - run.charged
        self._settle_group(key)

    def withdraw(self, number: str) -> bool:
        """Remove a waiting request.

        :param number: ticket number.
        :returns: whether the request was waiting, so that it never ran.
        """
        if number not in self._waiting:
            return False
        ticket = self._leave(number)
        self._settle_group(self._policy.group_of(ticket))
        return True

    def take_expired(self, now_s: float) -> list[Ticket]:
        """Remove the waiting requests whose deadline has passed.

        :param now_s: monotonic time in seconds.
        :returns: their tickets; they were not run.
        """
        self._collect_expired(now_s)
        expired = self._expired
        self._expired = []
        return expired

    def _retry_after_ms(self) -> int:
        """Estimate when a place of one group becomes free.

        The slots free up at ``capacity / mean run time`` and are shared by
        the groups that wait.
        """
        share_s = self._mean_run_s * max(len(self._active), 1)
        return max(int(_MS_PER_S * share_s / self._capacity_count), 1)

    def _enter_group(self, ticket: Ticket, arrival: int) -> None:
        key = self._policy.group_of(ticket)
        group = self._groups.setdefault(key, _Group())
        if not group.waiting:
            # An idle group does not save up service for later.
            floor = self._floors.get(key[0], 0)
            group.service = max(group.service, floor)
        rank = self._policy.rank_of(ticket, arrival)
        group.waiting.push(ticket.number, rank)
        self._settle_group(key)

    def _leave(self, number: str) -> Ticket:
        ticket = self._waiting.pop(number)
        self._counts[ticket.workspace] -= 1
        if not self._counts[ticket.workspace]:
            self._counts.pop(ticket.workspace)
        self._deadlines.discard(number)
        group = self._groups[self._policy.group_of(ticket)]
        group.waiting.discard(number)
        if len(self._deadlines) != len(self._waiting):
            raise InvariantError('a waiting request has no deadline')
        return ticket

    def _start(self, key: tuple[int, str], ticket: Ticket, now_s: float):
        group = self._groups[key]
        charged = max(ticket.reserved_tokens, 1)
        floor = self._floors.get(key[0], 0)
        self._floors[key[0]] = max(floor, group.service)
        group.service += charged
        group.running_count += 1
        self._running[ticket.number] = _Running(ticket, now_s, charged)
        self._settle_group(key)
        if len(self._running) > self._capacity_count:
            raise InvariantError('more requests run than there are slots')

    def _settle_group(self, key: tuple[int, str]) -> None:
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

    def _collect_expired(self, now_s: float) -> None:
        found = self._deadlines.first()
        while found is not None and found[0] <= now_s:
            ticket = self._leave(found[1])
            self._expired.append(ticket)
            self._settle_group(self._policy.group_of(ticket))
            found = self._deadlines.first()
