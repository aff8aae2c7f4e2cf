"""Dispatches accepted jobs to the server and completes their records."""

import asyncio
from functools import partial
from typing import Any

from rattanvalve import outcomes
from rattanvalve.counters import Counter
from rattanvalve.endpoint_parts import EndpointParts
from rattanvalve.errors import BodyError, FencedError, InvariantError
from rattanvalve.job_pauses import JobPauses
from rattanvalve.logs import LogPart, part_logger
from rattanvalve.messages import End, Head, Refusal, Usage
from rattanvalve.queuepolicies import timeout_s_of
from rattanvalve.resultcodes import ResultCode
from rattanvalve.runjob import Job
from rattanvalve.server_session import LIMIT_HEADER, Sink
from rattanvalve.workset import WorkSet

__all__ = ('JobRunner',)

#: Added to timers, which may fire early by up to the clock resolution.
_TIMER_MARGIN_S = 0.005

#: Outcome and result code of a failed run, by exception class.
_FAILURES = {
    BodyError: (outcomes.NOT_RUN, ResultCode.BAD_JSON),
    FencedError: (outcomes.NOT_RUN, ResultCode.STALE_FENCING_TOKEN),
    TimeoutError: (outcomes.UNKNOWN, ResultCode.BACKEND_TIMEOUT),
    asyncio.CancelledError: (outcomes.UNKNOWN, ResultCode.CALLER_GONE),
}
_UNEXPECTED_FAILURE = (outcomes.UNKNOWN, ResultCode.INTERNAL_ERROR)

#: Result code of a run that ended without an exception, by outcome.
_CODE_OF_OUTCOME = {
    outcomes.NOT_RUN: ResultCode.NO_ENDPOINT,
    outcomes.UNKNOWN: ResultCode.BACKEND_FAILED,
    outcomes.ANSWERED: ResultCode.OK,
}

_log = part_logger(LogPart.ENDPOINT)


class JobRunner:
    """Queues, runs, cancels and completes jobs.

    :param parts: state and clients of the process.
    """

    def __init__(self, parts: EndpointParts) -> None:
        self.jobs: dict[str, Job] = {}
        #: Ticket numbers of recorded responses that no peer has received.
        self.undelivered = WorkSet()
        self.unfinished = WorkSet()
        self._parts = parts
        self._pauses = JobPauses(parts, self.dispatch)
        self._token_timer: asyncio.TimerHandle | None = None

    def submit(self, job: Job) -> Refusal | None:
        """Queue a job whose ticket was accepted.

        :param job: new job.
        :returns: ``None`` if the job was queued, else the refusal; the
            record of a refused job is completed as not run.
        """
        now_s = self._parts.clock()
        self.jobs[job.number] = job
        self.unfinished.add(job.number)
        refusal = self._parts.queue.offer(job.ticket, now_s)
        if refusal is not None:
            self._complete(job, outcomes.NOT_RUN, Usage())
            return refusal
        job.timer = asyncio.get_running_loop().call_later(
            timeout_s_of(job.ticket) + _TIMER_MARGIN_S,
            self.dispatch,
        )
        self.dispatch()
        return None

    def dispatch(self) -> None:
        """Start queued runs in free slots; refuse those past their deadline."""
        queue, now_s = self._parts.queue, self._parts.clock()
        has_dispatched = True
        while has_dispatched:
            while number := queue.pop_resumable(now_s):
                self._pauses.resume(self.jobs[number])
            ticket = queue.pop_ready(now_s)
            has_dispatched = ticket is not None
            if ticket is not None:
                job = self.jobs[ticket.number]
                job.task = asyncio.ensure_future(self._execute(job))
        self._pauses.preempt(self.jobs)
        for expired in queue.take_expired(now_s):
            job = self.jobs[expired.number]
            self._complete(job, outcomes.NOT_RUN, Usage())
            self._parts.metrics.count_code(ResultCode.TIMEOUT_QUEUED)
            _put_final(job, Refusal(code=ResultCode.TIMEOUT_QUEUED))
        self._dispatch_later(queue.token_wait_s)

    def cancel(self, job: Job) -> None:
        """Remove a job from the queue, or cancel it at the server.

        :param job: job whose outcome nothing waits for, or that runs past the
            limit of a shutdown.
        """
        if self._parts.queue.withdraw(job.number):
            self._complete(job, outcomes.NOT_RUN, Usage())
            _put_final(job, Refusal(code=ResultCode.STOPPING))
        elif job.task is not None:
            # A task cancelled before its first step would not complete its
            # record, so the cancellation follows in the next loop iteration.
            asyncio.get_running_loop().call_soon(_cancel_task, job)

    def cancel_all(self) -> None:
        """Cancel all queued and running jobs after the drain timeout."""
        for job in tuple(self.jobs.values()):
            self.cancel(job)

    def _dispatch_later(self, wait_s: float) -> None:
        """Dispatch again when the server's limit has a token."""
        if self._token_timer is not None:
            self._token_timer.cancel()
            self._token_timer = None
        if wait_s:
            self._token_timer = asyncio.get_running_loop().call_later(
                wait_s + _TIMER_MARGIN_S, self.dispatch
            )

    async def _execute(self, job: Job) -> None:
        """Run a job in its slot and complete it also after a failure."""
        usage = Usage()
        try:
            outcome, usage, code = await self._run_on_server(job)
        except (asyncio.CancelledError, Exception) as error:
            outcome, code = self._classify_failure(job, error)
        if code != ResultCode.OK:
            self._parts.metrics.count_code(code)
        self._complete(job, outcome, usage)
        await job.put(self._final_message(job, outcome, usage, code))

    def _classify_failure(
        self,
        job: Job,
        error: BaseException,
    ) -> tuple[str, ResultCode]:
        failure = _FAILURES.get(type(error))
        if isinstance(error, InvariantError):
            self._parts.metrics.count(Counter.INVARIANT_VIOLATED)
        if failure is None:
            _log.error('run %s failed', job.number, exc_info=error)
            return _UNEXPECTED_FAILURE
        _log.info('run %s ended as %s', job.number, failure[1].name)
        return failure

    async def _run_on_server(self, job: Job) -> tuple[str, Usage, ResultCode]:
        parts = self._parts
        # The confirmation may have expired while the run was queued.
        if not parts.may_run(job.ticket):
            return outcomes.NOT_RUN, Usage(), ResultCode.NOT_CONFIRMED
        parts.records.mark_dispatched(job.number)
        parts.keeper.turn_started(job.ticket)
        try:
            async with asyncio.timeout(job.deadline_s - parts.clock()):
                outcome, usage = await parts.client.run(
                    job.run,
                    self._observing_sink(job),
                    parts.records.newest_epoch,
                )
        finally:
            parts.keeper.turn_ended(job.ticket)
        return outcome, usage, _CODE_OF_OUTCOME[outcome]

    def _observing_sink(self, job: Job) -> Sink:
        """Build the sink of a job, which also reads the server's limit."""
        sink = job.sink()
        sent_s = self._parts.clock()
        return Sink(
            start=partial(self._start, sink, sent_s), append=sink.append
        )

    async def _start(self, sink: Sink, sent_s: float, head: Head) -> None:
        texts = [
            header.content
            for header in head.headers
            if header.name.lower() == LIMIT_HEADER
        ]
        now_s = self._parts.clock()
        self._parts.rate.apply_response(texts, sent_s, now_s)
        await sink.start(head)

    def _complete(self, job: Job, outcome: str, usage: Usage) -> None:
        """Complete the record of a job, free its slot, report its outcome."""
        parts, now_s = self._parts, self._parts.clock()
        self.jobs.pop(job.number)
        self.unfinished.discard(job.number)
        parts.records.complete(job.number, outcome, usage, now_s)
        if job.timer is not None:
            job.timer.cancel()
        if job.task is not None:
            parts.queue.finish(job.number, usage, now_s)
        if outcome == outcomes.ANSWERED and not job.is_attached:
            self.undelivered.add(job.number)
        job.done.set()
        parts.metrics.count(f'outcome.{outcome}')
        parts.reports.send(job.ticket, outcome, usage)
        asyncio.get_running_loop().call_soon(self.dispatch)

    def _final_message(
        self,
        job: Job,
        outcome: str,
        usage: Usage,
        code: ResultCode,
    ) -> Any:
        if outcome == outcomes.NOT_RUN:
            return Refusal(code=code)
        return End(
            number=job.number,
            outcome=outcome,
            usage=usage,
            running_count=self._parts.queue.running_count,
            queued_count=self._parts.queue.queued_count,
        )


def _put_final(job: Job, message: Any) -> None:
    # The outbox of a job that never ran is empty, so this cannot raise.
    if job.is_attached:
        job.outbox.put_nowait(message)


def _cancel_task(job: Job) -> None:
    if job.task is not None and not job.done.is_set():
        job.task.cancel()
