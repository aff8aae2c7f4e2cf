"""Queue before one server: bounded slots, ordered by a named policy."""

from collections import Counter as CountTable
from dataclasses import dataclass

from rattanvalve.errors import InvariantError
from rattanvalve.grouporder import GroupOrder
from rattanvalve.lazyheap import LazyHeap
from rattanvalve.messages import Refusal, Ticket, Usage
from rattanvalve.preemption import Preemption
from rattanvalve.queuepolicies import QUEUE_POLICIES, timeout_s_of
from rattanvalve.resultcodes import ResultCode

__all__ = ('QUEUE_POLICIES', 'RunQueue')

#: Run time assumed for retry times before the first run has finished.
_FIRST_RUN_S = 1.0
#: Weight of the newest run in the moving mean of run times.
_MEAN_WEIGHT = 0.2
_MS_PER_S = 1000


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
        self._order = GroupOrder(QUEUE_POLICIES[policy_name])
        self._waiting: dict[str, Ticket] = {}
        self._running: dict[str, _Running] = {}
        self._deadlines = LazyHeap()
        self._counts: CountTable[str] = CountTable()
        self._expired: list[Ticket] = []
        self._mean_run_s = _FIRST_RUN_S
        self._preemption = Preemption(capacity_count)

    @property
    def running_count(self) -> int:
        """Count the running requests.

        :returns: number of slots in use.
        """
        return len(self._running) - self._preemption.paused_count

    @property
    def queued_count(self) -> int:
        """Count the waiting requests.

        :returns: number of requests without a slot, paused ones included.
        """
        return len(self._waiting) + self._preemption.paused_count

    def follow(self, policy_name: str) -> None:
        """Change the order; waiting requests keep their order of arrival.

        Service that groups received under the earlier policy is forgotten.

        :param policy_name: name in :data:`QUEUE_POLICIES`; others are ignored,
            so that an entry of a later version cannot stop the queue.
        """
        policy = QUEUE_POLICIES.get(policy_name, self._order.policy)
        if policy is self._order.policy:
            return
        self._order = GroupOrder(policy)
        for run in self._running.values():
            self._order.charge_running(run.ticket, run.charged)
        for ticket in self._waiting.values():
            self._order.enter(ticket)

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
            share_s = self._mean_run_s * max(len(self._order), 1)
            return Refusal(
                code=ResultCode.QUEUE_FULL,
                retry_after_ms=_retry_after_ms(share_s, self._capacity_count),
            )
        self._waiting[ticket.number] = ticket
        self._counts[ticket.workspace] += 1
        self._deadlines.push(ticket.number, now_s + timeout_s_of(ticket))
        self._order.enter(ticket)
        return None

    def pop_ready(self, now_s: float) -> Ticket | None:
        """Start the next request if a slot is free.

        :param now_s: monotonic time in seconds.
        :returns: ticket that runs now, or ``None``.
        """
        self._collect_expired(now_s)
        number = self._order.first()
        if number is None or self.running_count >= self._capacity_count:
            return None
        if self._resumable(now_s):
            return None
        ticket = self._leave(number)
        charged = max(ticket.reserved_tokens, 1)
        self._order.start(ticket, charged)
        self._running[ticket.number] = _Running(ticket, now_s, charged)
        if self.running_count > self._capacity_count:
            raise InvariantError('more requests run than there are slots')
        return ticket

    def pop_resumable(self, now_s: float) -> str | None:
        """Give a paused request its slot back if one is free.

        A higher class that waits goes first, unless the paused request has
        been paused for the longest time allowed.

        :param now_s: monotonic time in seconds.
        :returns: number of the request to resume, or ``None``.
        """
        self._collect_expired(now_s)
        number = self._resumable(now_s)
        if number is not None:
            self._preemption.resume(number)
        return number

    def choose_pause(self) -> str | None:
        """Choose a running request that gives way to the highest class.

        :returns: number of a request to pause, or ``None``; the result goes
            to :meth:`note_pause`.
        """
        is_full = self.running_count >= self._capacity_count
        wanted_count = self._order.waiting_count(0)
        if not (is_full and wanted_count and self._order.policy.is_preemptive):
            return None
        return self._preemption.choose(
            (
                (number, run.ticket.priority, run.started_s)
                for number, run in self._running.items()
            ),
            wanted_count,
        )

    def note_pause(self, number: str, is_paused: bool, now_s: float) -> None:
        """Note the result of a pause; a paused request frees its slot.

        :param number: number by :meth:`choose_pause`.
        :param is_paused: whether the server has paused it.
        :param now_s: monotonic time in seconds.
        """
        self._preemption.note_result(number, is_paused, now_s)

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
        self._preemption.forget(number)
        run_s = now_s - run.started_s
        self._mean_run_s += _MEAN_WEIGHT * (run_s - self._mean_run_s)
        used = usage.prompt_tokens + usage.output_tokens
        self._order.finish(run.ticket, max(used, 1) - run.charged)

    def withdraw(self, number: str) -> bool:
        """Remove a waiting request.

        :param number: ticket number.
        :returns: whether the request was waiting, so that it never ran.
        """
        if number not in self._waiting:
            return False
        self._order.leave(self._leave(number))
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

    def _leave(self, number: str) -> Ticket:
        ticket = self._waiting.pop(number)
        self._counts[ticket.workspace] -= 1
        if not self._counts[ticket.workspace]:
            self._counts.pop(ticket.workspace)
        self._deadlines.discard(number)
        if len(self._deadlines) != len(self._waiting):
            raise InvariantError('a waiting request has no deadline')
        return ticket

    def _resumable(self, now_s: float) -> str | None:
        if self.running_count >= self._capacity_count:
            return None
        return self._preemption.resumable(
            lambda number: self._order.class_of(self._running[number].ticket),
            self._order.first_class(),
            now_s,
        )

    def _collect_expired(self, now_s: float) -> None:
        found = self._deadlines.first()
        while found is not None and found[0] <= now_s:
            ticket = self._leave(found[1])
            self._expired.append(ticket)
            self._order.leave(ticket)
            found = self._deadlines.first()


def _retry_after_ms(share_s: float, capacity_count: int) -> int:
    """Estimate when a place of one group becomes free.

    The slots free up at ``capacity / mean run time`` and are shared by the
    groups that wait.
    """
    return max(int(_MS_PER_S * share_s / capacity_count), 1)
