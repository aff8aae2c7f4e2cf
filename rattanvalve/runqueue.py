"""Run queue of one server: limited slots and a named scheduling policy."""

from collections import Counter as CountTable
from dataclasses import dataclass

from rattanvalve.counters import Metrics
from rattanvalve.errors import InvariantError
from rattanvalve.grouporder import GroupOrder
from rattanvalve.lazyheap import LazyHeap
from rattanvalve.messages import Refusal, Ticket, Usage
from rattanvalve.preemption import Preemption
from rattanvalve.queuepolicies import QUEUE_POLICIES, timeout_s_of
from rattanvalve.resultcodes import ResultCode
from rattanvalve.server_rate import ServerRate

__all__ = ('QUEUE_POLICIES', 'RunQueue')

#: Run time assumed for ``retry_after_ms`` until the first run has finished.
_FIRST_RUN_S = 1.0
#: Weight of the latest run in the moving average of run times.
_MEAN_WEIGHT = 0.2
#: Longest wait for tokens of the server's limit, and largest share of the time
#: limit of a request, for which it is accepted.
LIMIT_WAIT_MAX_S = 5.0
LIMIT_WAIT_SHARE = 0.5
_MS_PER_S = 1000


@dataclass(slots=True)
class _Running:
    ticket: Ticket
    started_s: float
    charged_tokens: float


class RunQueue:
    """Waiting and running requests of one server.

    A request charges its reserved tokens to its group when it starts. The
    charge is corrected when the usage is known, and is at least 1 token.

    :param capacity_count: number of slots, the limit of concurrent requests.
    :param max_per_workspace_count: limit of waiting requests per workspace.
    :param policy_name: name in :data:`QUEUE_POLICIES`.
    :param rate: limit that the server states; none if omitted.
    """

    def __init__(
        self,
        capacity_count: int,
        max_per_workspace_count: int,
        policy_name: str,
        rate: ServerRate | None = None,
    ) -> None:
        #: Time in seconds until the next request has a token of the server's
        #: limit; 0 if it does not wait for one.
        self.token_wait_s = float(0)
        self._rate = rate or ServerRate(Metrics())
        self._capacity_count = capacity_count
        self._max_per_workspace_count = max_per_workspace_count
        self._order = GroupOrder(QUEUE_POLICIES[policy_name])
        self._waiting: dict[str, Ticket] = {}
        self._running: dict[str, _Running] = {}
        self._deadlines = LazyHeap()
        self._waiting_counts: CountTable[str] = CountTable()
        self._expired: list[Ticket] = []
        self._mean_run_s = _FIRST_RUN_S
        self._preemption = Preemption(capacity_count)

    @property
    def running_count(self) -> int:
        """Return the number of slots in use.

        :returns: running requests without the paused ones.
        """
        return len(self._running) - self._preemption.paused_count

    @property
    def queued_count(self) -> int:
        """Return the number of requests without a slot.

        :returns: waiting and paused requests.
        """
        return len(self._waiting) + self._preemption.paused_count

    def set_policy(self, policy_name: str) -> None:
        """Change the policy; waiting requests keep their order of arrival.

        The service charged to groups under the previous policy is reset.

        :param policy_name: name in :data:`QUEUE_POLICIES`. Unknown names are
            ignored, so that an entry of a later version cannot stop the queue.
        """
        policy = QUEUE_POLICIES.get(policy_name, self._order.policy)
        if policy is self._order.policy:
            return
        self._order = GroupOrder(policy)
        for run in self._running.values():
            self._order.add_running(run.ticket, run.charged_tokens)
        for ticket in self._waiting.values():
            self._order.add(ticket)

    def offer(self, ticket: Ticket, now_s: float) -> Refusal | None:
        """Enqueue a request unless its workspace has too many waiting.

        :param ticket: accepted ticket.
        :param now_s: monotonic time in seconds.
        :returns: ``None`` if the request was enqueued, else ``QUEUE_FULL``, or
            ``ENDPOINTS_LIMITED`` if the server's limit leaves no token in time.
        :raises InvariantError: if the number is waiting or running already.
        """
        if ticket.number in self._waiting or ticket.number in self._running:
            raise InvariantError(f'ticket {ticket.number} is already queued')
        if (
            self._waiting_counts[ticket.workspace]
            >= self._max_per_workspace_count
        ):
            share_s = self._mean_run_s * max(len(self._order), 1)
            return Refusal(
                code=ResultCode.QUEUE_FULL,
                retry_after_ms=_retry_after_ms(share_s, self._capacity_count),
            )
        wait_s = float(0)
        if self._rate.is_limited:
            own_class = self._order.class_of(ticket)
            ahead_count = sum(
                map(self._order.waiting_count, range(own_class + 1))
            )
            wait_s = self._rate.wait_s(ahead_count, now_s)
        if wait_s > _limit_wait_max_s(ticket):
            return Refusal(
                code=ResultCode.ENDPOINTS_LIMITED,
                retry_after_ms=int(_MS_PER_S * wait_s),
            )
        self._waiting[ticket.number] = ticket
        self._waiting_counts[ticket.workspace] += 1
        self._deadlines.push(ticket.number, now_s + timeout_s_of(ticket))
        self._order.add(ticket)
        return None

    def pop_ready(self, now_s: float) -> Ticket | None:
        """Start the next waiting request if a slot is free.

        :param now_s: monotonic time in seconds.
        :returns: ticket to run, or ``None`` if no slot is free, no request
            waits, or a paused request resumes first.
        """
        self._collect_expired(now_s)
        self.token_wait_s = 0
        number = self._order.next_number()
        if number is None or self.running_count >= self._capacity_count:
            return None
        if self._next_resumable(now_s):
            return None
        self.token_wait_s = self._rate.wait_s(0, now_s)
        if not self._rate.take(now_s):
            return None
        ticket = self._remove_waiting(number)
        charged_tokens = max(ticket.reserved_tokens, 1)
        self._order.start(ticket, charged_tokens)
        self._running[ticket.number] = _Running(ticket, now_s, charged_tokens)
        if self.running_count > self._capacity_count:
            raise InvariantError('more requests run than there are slots')
        return ticket

    def pop_resumable(self, now_s: float) -> str | None:
        """Resume a paused request if a slot is free.

        Waiting requests of a higher class go first, unless the request has
        been paused for the maximum time.

        :param now_s: monotonic time in seconds.
        :returns: number of the request to resume, or ``None``.
        """
        self._collect_expired(now_s)
        number = self._next_resumable(now_s)
        if number is not None:
            self._preemption.resume(number)
        return number

    def choose_pause(self) -> str | None:
        """Choose a running request to preempt for the highest class.

        :returns: number of the request to pause, or ``None``. The caller
            reports the result to :meth:`record_pause`.
        """
        is_full = self.running_count >= self._capacity_count
        waiting_count = self._order.waiting_count(0)
        if not (is_full and waiting_count and self._order.policy.is_preemptive):
            return None
        return self._preemption.choose(
            (
                (number, run.ticket.priority, run.started_s)
                for number, run in self._running.items()
            ),
            waiting_count,
        )

    def record_pause(self, number: str, is_paused: bool, now_s: float) -> None:
        """Record the result of a pause; a paused request frees its slot.

        :param number: number from :meth:`choose_pause`.
        :param is_paused: whether the server has paused the request.
        :param now_s: monotonic time in seconds.
        """
        self._preemption.record_result(number, is_paused, now_s)

    def finish(self, number: str, usage: Usage, now_s: float) -> None:
        """Remove a running request and correct its charge.

        :param number: ticket number of a running or paused request.
        :param usage: tokens that the run used.
        :param now_s: monotonic time in seconds.
        :raises InvariantError: if the number is not running.
        """
        run = self._running.pop(number, None)
        if run is None:
            raise InvariantError(
                f'ticket {number} finished but was not running'
            )
        self._preemption.discard(number)
        run_s = now_s - run.started_s
        self._mean_run_s += _MEAN_WEIGHT * (run_s - self._mean_run_s)
        used = usage.prompt_tokens + usage.output_tokens
        self._order.finish(run.ticket, max(used, 1) - run.charged_tokens)

    def withdraw(self, number: str) -> bool:
        """Remove a waiting request.

        :param number: ticket number.
        :returns: whether the request was waiting; if so, it never ran.
        """
        if number not in self._waiting:
            return False
        self._order.remove(self._remove_waiting(number))
        return True

    def take_expired(self, now_s: float) -> list[Ticket]:
        """Remove and return the waiting requests that have timed out.

        :param now_s: monotonic time in seconds.
        :returns: tickets that were not run; each is returned once.
        """
        self._collect_expired(now_s)
        expired = self._expired
        self._expired = []
        return expired

    def _remove_waiting(self, number: str) -> Ticket:
        ticket = self._waiting.pop(number)
        self._waiting_counts[ticket.workspace] -= 1
        if not self._waiting_counts[ticket.workspace]:
            self._waiting_counts.pop(ticket.workspace)
        self._deadlines.discard(number)
        if len(self._deadlines) != len(self._waiting):
            raise InvariantError('a waiting request has no deadline')
        return ticket

    def _next_resumable(self, now_s: float) -> str | None:
        if self.running_count >= self._capacity_count:
            return None
        return self._preemption.next_resumable(
            lambda number: self._order.class_of(self._running[number].ticket),
            self._order.next_class(),
            now_s,
        )

    def _collect_expired(self, now_s: float) -> None:
        found = self._deadlines.peek()
        while found is not None and found[0] <= now_s:
            ticket = self._remove_waiting(found[1])
            self._expired.append(ticket)
            self._order.remove(ticket)
            found = self._deadlines.peek()


def _limit_wait_max_s(ticket: Ticket) -> float:
    return min(LIMIT_WAIT_MAX_S, timeout_s_of(ticket) * LIMIT_WAIT_SHARE)


def _retry_after_ms(share_s: float, capacity_count: int) -> int:
    """Estimate when a request of one group leaves the queue.

    Slots become free at the rate ``capacity / mean run time`` and are shared
    by the waiting groups, so that a group gets one every ``share_s /
    capacity_count`` seconds.
    """
    return max(int(_MS_PER_S * share_s / capacity_count), 1)
