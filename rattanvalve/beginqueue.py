"""Requests that wait for a takeover, their program or the rate."""

import asyncio

from rattanvalve.idempotency import Attempt
from rattanvalve.lines import Lines, wait_event
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

#: Longest wait of a request for a takeover.
OWNER_WAIT_MAX_S = 15.0
#: More calls of one program than this are refused instead of waiting.
MAX_WAITING_PER_PROGRAM_COUNT = 100
#: A ticket without a report this long after its deadline is settled.
OVERDUE_GRACE_S = 30.0
#: Longest wait for an endpoint. A restarted endpoint process is listed in the
#: view within about two rounds of heartbeats.
ENDPOINT_WAIT_MAX_S = 2.0
ENDPOINT_POLL_S = 0.1
_DEFAULT_TIMEOUT_S = 600.0
_OVERDUE_RETRY_S = 5.0

ProgramName = tuple[str, int, str]


class BeginQueue:
    """Lets requests wait in order of arrival.

    :param owner: owner role of this process.
    :param ports: collaborators.
    :param takeover: knows which shards may be served.
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
        self._programs = Lines(ports.sleep)
        self._rates = Lines(ports.sleep)
        self._finished: dict[ProgramName, asyncio.Event] = {}

    async def begin(self, begin: Begin) -> Ticket | Refusal | Outcome:
        """Admit a request once its shard is served and its program is idle.

        :param begin: request.
        :returns: ticket, place of an earlier record, or refusal ("not run").
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
        known = self._owner.known(begin, self._ports.clock())
        if known is not None:
            return known
        program = (*name, begin.program_id)
        if self._programs.length(program) > MAX_WAITING_PER_PROGRAM_COUNT:
            return refuse(ResultCode.PROGRAM_BUSY)
        left_s = deadline_s - self._ports.clock()
        async with self._programs.stand(program, left_s) as is_first:
            if not is_first:
                return refuse(ResultCode.TIMEOUT_QUEUED)
            return await self._begin_first(begin, deadline_s)

    def context(
        self,
        name: ShardName,
        wait_left_s: float,
        deadline_s: float = 0,
        is_first: bool = False,
    ) -> OwnerContext:
        """Collect what a decision depends on.

        :param name: workspace and shard index.
        :param wait_left_s: how long the request may wait for the rate.
        :param deadline_s: deadline of the request on the clock; 0 for none.
        :param is_first: whether no request waits for the rate before it.
        :returns: context at the current time.
        """
        now_s = self._ports.clock()
        ahead_count = 0 if is_first else self._rates.length(name)
        return OwnerContext(
            catalog=self._ports.blackboard.catalog,
            view=self._takeover.view(),
            mode=self._ports.mode(now_s),
            place=self._ports.place,
            owner_of=self._ports.lookups.owner_of,
            rate_ahead_count=ahead_count,
            rate_wait_left_s=wait_left_s,
            timeout_s=max(0, deadline_s - now_s),
        )

    def wake(self, attempt: Attempt | None) -> None:
        """Let the next call of a program begin.

        :param attempt: attempt that has ended.
        """
        if attempt is None:
            return
        ticket = attempt.ticket
        program = (ticket.workspace, ticket.shard, ticket.program_id)
        event = self._finished.get(program)
        if event is not None:
            event.set()

    async def _begin_first(
        self,
        begin: Begin,
        deadline_s: float,
    ) -> Ticket | Refusal | Outcome:
        """Begin the call that is first in the line of its program."""
        name = (begin.workspace, begin.shard)
        arrived_s = self._ports.clock()
        while True:
            left_s = deadline_s - self._ports.clock()
            if left_s <= 0:
                return refuse(ResultCode.TIMEOUT_QUEUED)
            refusal = await self._takeover.wait_serving(
                name,
                min(left_s, OWNER_WAIT_MAX_S),
            )
            if refusal is not None:
                return refusal
            answer = self._owner.begin(
                begin,
                self.context(name, RATE_WAIT_MAX_S, deadline_s),
                self._ports.clock(),
            )
            if self._may_find_endpoint(answer, arrived_s, deadline_s):
                await self._ports.sleep(ENDPOINT_POLL_S)
            elif not isinstance(answer, Wait):
                return answer
            elif answer.is_for_rate:
                return await self._begin_at_rate(begin, deadline_s)
            else:
                await self._wait_idle(begin, deadline_s)

    def _may_find_endpoint(
        self,
        answer: object,
        arrived_s: float,
        deadline_s: float,
    ) -> bool:
        """Return whether a request without an endpoint should wait for one."""
        if not isinstance(answer, Refusal):
            return False
        limit_s = min(arrived_s + ENDPOINT_WAIT_MAX_S, deadline_s)
        return (
            answer.code == ResultCode.NO_ENDPOINT
            and self._ports.clock() < limit_s
        )

    async def _begin_at_rate(
        self,
        begin: Begin,
        deadline_s: float,
    ) -> Ticket | Refusal | Outcome:
        """Begin a call in its order among those that wait for the rate."""
        name = (begin.workspace, begin.shard)
        give_up_s = min(deadline_s, self._ports.clock() + RATE_WAIT_MAX_S)
        async with self._rates.stand(
            name,
            give_up_s - self._ports.clock(),
        ) as is_first:
            while True:
                refusal = await self._takeover.wait_serving(name, timeout_s=0)
                if refusal is not None:
                    return refusal
                left_s = max(0, give_up_s - self._ports.clock())
                answer = self._owner.begin(
                    begin,
                    self.context(name, left_s, deadline_s, is_first),
                    self._ports.clock(),
                )
                if not isinstance(answer, Wait):
                    return answer
                if not is_first or not answer.is_for_rate:
                    return refuse(ResultCode.RATE_EXCEEDED)
                await self._ports.sleep(answer.wait_s)

    async def _wait_idle(self, begin: Begin, deadline_s: float) -> None:
        """Wait until the program is idle, or settle an overdue ticket."""
        running = self._owner.running_of(begin)
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
        if self._owner.running_of(begin) is None:
            return
        event = self._finished.setdefault(program, asyncio.Event())
        try:
            await wait_event(
                event,
                min(deadline_s, overdue_s) - now_s,
                self._ports.sleep,
            )
        finally:
            self._finished.pop(program, None)
