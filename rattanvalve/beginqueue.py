"""Queues of requests waiting for a takeover, their program or the rate."""

import asyncio

from rattanvalve.idempotency import Attempt
from rattanvalve.keyed_queues import KeyedQueues, wait_with_timeout
from rattanvalve.messages import Begin, Outcome, Refusal, Settled, Ticket
from rattanvalve.ownercontext import OwnerContext, Wait, refuse
from rattanvalve.ownerports import OwnerPorts
from rattanvalve.ownership import Owner
from rattanvalve.ratelimit import RATE_WAIT_MAX_S
from rattanvalve.resultcodes import ResultCode
from rattanvalve.settling import Settler
from rattanvalve.shardtable import ShardName
from rattanvalve.takeover import Takeover

__all__ = ('OWNER_WAIT_MAX_S', 'BeginQueue')

#: Longest wait of a request for the takeover of its shard.
OWNER_WAIT_MAX_S = 15.0
#: Further calls of a program are refused while more than this many are queued.
MAX_WAITING_PER_PROGRAM_COUNT = 100
#: A ticket is settled if no report of its end has arrived this long after its
#: deadline.
OVERDUE_GRACE_S = 30.0
#: Longest wait for an available endpoint. A restarted endpoint process appears
#: in the view within about two heartbeat intervals.
ENDPOINT_WAIT_MAX_S = 2.0
ENDPOINT_POLL_S = 0.1
_DEFAULT_TIMEOUT_S = 600.0
_OVERDUE_RETRY_S = 5.0

ProgramKey = tuple[str, int, str]


class BeginQueue:
    """Admits requests in order of arrival, per program and per shard.

    :param owner: owner role of this process.
    :param ports: clock, configuration, placement and lookups.
    :param takeover: tracks which shards this process may serve.
    :param settler: settles overdue tickets.
    """

    def __init__(
        self,
        owner: Owner,
        ports: OwnerPorts,
        takeover: Takeover,
        settler: Settler,
    ) -> None:
        self._owner = owner
        self._ports = ports
        self._takeover = takeover
        self._settler = settler
        self._program_queues = KeyedQueues(ports.sleep)
        self._rate_queues = KeyedQueues(ports.sleep)
        self._finish_events: dict[ProgramKey, asyncio.Event] = {}

    async def begin(self, begin: Begin) -> Ticket | Refusal | Outcome:
        """Admit a request once its shard is served and its program is idle.

        :param begin: request.
        :returns: ticket, location of the record of an earlier run, or refusal
            (the request did not run).
        """
        name = (begin.workspace, begin.shard)
        timeout_s = begin.timeout_ms / 1000 or _DEFAULT_TIMEOUT_S
        deadline_s = self._ports.clock() + timeout_s
        refusal = await self._takeover.wait_serving(
            name,
            min(timeout_s, OWNER_WAIT_MAX_S),
        )
        if refusal is not None:
            return refusal
        earlier = self._owner.find_earlier(begin, self._ports.clock())
        if earlier is not None:
            return earlier
        program = (*name, begin.program_id)
        if self._program_queues.length(program) > MAX_WAITING_PER_PROGRAM_COUNT:
            return refuse(ResultCode.PROGRAM_BUSY)
        remaining_s = deadline_s - self._ports.clock()
        async with self._program_queues.enter(program, remaining_s) as is_first:
            if not is_first:
                return refuse(ResultCode.TIMEOUT_QUEUED)
            return await self._begin_at_head(begin, deadline_s)

    def context(
        self,
        name: ShardName,
        remaining_wait_s: float,
        deadline_s: float = 0,
        is_first: bool = False,
    ) -> OwnerContext:
        """Build the inputs of an admission decision.

        :param name: workspace and shard index.
        :param remaining_wait_s: how long the request may still wait for the
            rate limit, in seconds.
        :param deadline_s: deadline of the request on the clock; 0 for none.
        :param is_first: whether the request is at the head of the rate queue.
        :returns: context at the current time.
        """
        now_s = self._ports.clock()
        queue_position = 0 if is_first else self._rate_queues.length(name)
        return OwnerContext(
            catalog=self._ports.blackboard.catalog,
            view=self._takeover.view(),
            mode=self._ports.mode(now_s),
            place=self._ports.place,
            owner_of=self._ports.lookups.owner_of,
            rate_queue_position=queue_position,
            remaining_rate_wait_s=remaining_wait_s,
            timeout_s=max(0, deadline_s - now_s),
        )

    def wake(self, attempt: Attempt | None) -> None:
        """Wake the next call of the program of a finished attempt.

        :param attempt: finished attempt; ``None`` is ignored.
        """
        if attempt is None:
            return
        ticket = attempt.ticket
        program = (ticket.workspace, ticket.shard, ticket.program_id)
        event = self._finish_events.get(program)
        if event is not None:
            event.set()

    async def _begin_at_head(
        self,
        begin: Begin,
        deadline_s: float,
    ) -> Ticket | Refusal | Outcome:
        """Admit the call at the head of the queue of its program."""
        name = (begin.workspace, begin.shard)
        arrived_s = self._ports.clock()
        while True:
            remaining_s = deadline_s - self._ports.clock()
            if remaining_s <= 0:
                return refuse(ResultCode.TIMEOUT_QUEUED)
            refusal = await self._takeover.wait_serving(
                name,
                min(remaining_s, OWNER_WAIT_MAX_S),
            )
            if refusal is not None:
                return refusal
            decision = self._owner.begin(
                begin,
                self.context(name, RATE_WAIT_MAX_S, deadline_s),
                self._ports.clock(),
            )
            if self._should_wait_for_endpoint(decision, arrived_s, deadline_s):
                await self._ports.sleep(ENDPOINT_POLL_S)
            elif not isinstance(decision, Wait):
                return decision
            elif decision.is_for_rate:
                return await self._begin_at_rate(begin, deadline_s)
            else:
                await self._wait_idle(begin, deadline_s)

    def _should_wait_for_endpoint(
        self,
        decision: object,
        arrived_s: float,
        deadline_s: float,
    ) -> bool:
        """Return whether a request refused for lack of endpoints retries."""
        if not isinstance(decision, Refusal):
            return False
        limit_s = min(arrived_s + ENDPOINT_WAIT_MAX_S, deadline_s)
        return (
            decision.code == ResultCode.NO_ENDPOINT
            and self._ports.clock() < limit_s
        )

    async def _begin_at_rate(
        self,
        begin: Begin,
        deadline_s: float,
    ) -> Ticket | Refusal | Outcome:
        """Admit a call in order of arrival as the rate limit permits."""
        name = (begin.workspace, begin.shard)
        rate_deadline_s = min(deadline_s, self._ports.clock() + RATE_WAIT_MAX_S)
        async with self._rate_queues.enter(
            name,
            rate_deadline_s - self._ports.clock(),
        ) as is_first:
            while True:
                refusal = await self._takeover.wait_serving(name, timeout_s=0)
                if refusal is not None:
                    return refusal
                remaining_s = max(0, rate_deadline_s - self._ports.clock())
                decision = self._owner.begin(
                    begin,
                    self.context(name, remaining_s, deadline_s, is_first),
                    self._ports.clock(),
                )
                if not isinstance(decision, Wait):
                    return decision
                if not is_first or not decision.is_for_rate:
                    return refuse(ResultCode.RATE_EXCEEDED)
                await self._ports.sleep(decision.wait_s)

    async def _wait_idle(self, begin: Begin, deadline_s: float) -> None:
        """Wait until the program is idle; settle its ticket if overdue."""
        running = self._owner.find_running_attempt(begin)
        if running is None:
            return
        now_s = self._ports.clock()
        timeout_s = running.ticket.timeout_ms / 1000
        overdue_s = running.issued_s + timeout_s + OVERDUE_GRACE_S
        if now_s >= overdue_s:
            settled = await self._settler.settle(running)
            self._settler.finish(running, Settled(outcome=settled))
            overdue_s = now_s + _OVERDUE_RETRY_S
        program = (begin.workspace, begin.shard, begin.program_id)
        if self._owner.find_running_attempt(begin) is None:
            return
        event = self._finish_events.setdefault(program, asyncio.Event())
        try:
            await wait_with_timeout(
                event,
                min(deadline_s, overdue_s) - now_s,
                self._ports.sleep,
            )
        finally:
            self._finish_events.pop(program, None)
