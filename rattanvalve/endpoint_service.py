"""Handlers of the messages that peers send to an endpoint process.

A non-repeatable run continues after its connection closes. A repeatable run
is cancelled after ``DETACHED_GRACE_S``, unless a ``Settle`` has requested its
outcome by then: after a broken connection the ingress or owner sends one at
once, whereas none follows the disconnect of a caller.
"""

import asyncio
from contextlib import suppress

from rattanvalve import outcomes
from rattanvalve.channels import Handler, Send
from rattanvalve.counters import Counter
from rattanvalve.endpoint_parts import EndpointParts
from rattanvalve.jobrunner import JobRunner
from rattanvalve.messages import (
    Ack,
    Refusal,
    Release,
    Run,
    Seal,
    Settle,
    Settled,
    View,
)
from rattanvalve.queuepolicies import timeout_s_of
from rattanvalve.resultcodes import ResultCode
from rattanvalve.runjob import Job
from rattanvalve.server_session import is_valid_target
from rattanvalve.workset import WorkSet

__all__ = ('EndpointService',)

#: Longest wait of a ``Settle``, in seconds.
MAX_SETTLE_WAIT_S = 60.0
_MAINTENANCE_INTERVAL_S = 1.0
_MS_PER_S = 1000


class EndpointService:
    """Queues, runs, records and settles the requests to one server.

    :param parts: state and clients of the process.
    """

    def __init__(self, parts: EndpointParts) -> None:
        self.runner = JobRunner(parts)
        self.is_refusing = False
        self._parts = parts
        self._relays = WorkSet()

    def handlers(self) -> dict[type, Handler]:
        """Return the message handlers of this service.

        :returns: handlers by message class.
        """
        return {
            Run: self._on_run,
            Settle: self._on_settle,
            Seal: self._on_seal,
            Release: self._on_release,
        }

    def adopt_view(self, view: View) -> None:
        """Adopt a newer view; an older one is ignored.

        :param view: view that a peer sent.
        """
        self._parts.records.observe_epoch(view.epoch)
        self._parts.client.observe_epoch(view.epoch)
        if view.epoch > self._parts.board.view.epoch:
            self._parts.board.view = view
            self._parts.board.publish()
            self._parts.metrics.count(Counter.VIEW_CHANGED)

    async def maintain(self) -> None:
        """Expire records and dispatch runs each second, until cancelled."""
        while True:
            records = self._parts.records
            records.expire(self._parts.clock())
            self.runner.undelivered.retain(records.records)
            self.runner.dispatch()
            await asyncio.sleep(_MAINTENANCE_INTERVAL_S)

    async def drain(self, grace_s: float, stop_timeout_s: float) -> None:
        """Finish the queued and running work before the process leaves.

        New runs are accepted during the grace period, because owners may not
        know yet that this process is leaving, and refused after it.

        :param grace_s: grace period in seconds; also the longest wait for
            responses that no peer has received and for outcome reports.
        :param stop_timeout_s: time limit of queued and running work, in
            seconds; unfinished work is then cancelled.
        """
        await asyncio.sleep(grace_s)
        self.is_refusing = True
        if not await self.runner.unfinished.wait_empty(stop_timeout_s):
            self.runner.cancel_all()
            await self.runner.unfinished.wait_empty(grace_s)
        # A slow ingress may still be receiving a response.
        await self._relays.wait_empty(stop_timeout_s)
        await self.runner.undelivered.wait_empty(grace_s)
        await self._parts.reports.tasks.wait_empty(grace_s)

    async def _on_run(self, run: Run, send: Send) -> None:
        ticket, parts = run.ticket, self._parts
        now_s = parts.clock()
        # The records are checked first: a duplicate of an accepted run must
        # not get a refusal that means "not run".
        refusal = parts.records.check_ticket(ticket)
        refusal = refusal or self._check_admission(run)
        refusal = refusal or parts.records.accept(ticket, now_s)
        job = Job(run, now_s + timeout_s_of(ticket), parts.records)
        refusal = refusal or self.runner.submit(job)
        if refusal is not None:
            parts.metrics.count_code(refusal.code)
            await send(refusal)
            return
        self._relays.add(job)
        try:
            await job.relay(send)
        finally:
            self._relays.discard(job)
            if not job.is_delivered:
                self._detach(job)

    async def _on_release(self, release: Release, send: Send) -> None:
        records = self._parts.records
        if release.epoch >= self._parts.board.view.epoch:
            records.observe_epoch(release.epoch)
            self._parts.keeper.release_program(
                release.workspace,
                release.program_id,
            )
        await send(Ack(epoch=self._parts.board.view.epoch))

    async def _on_settle(self, settle: Settle, send: Send) -> None:
        settled = self._settle(settle)
        job = self.runner.jobs.get(settle.number)
        if settled.outcome == outcomes.RUNNING and job is not None:
            job.is_outcome_requested = True
            wait_s = min(settle.wait_ms / _MS_PER_S, MAX_SETTLE_WAIT_S)
            with suppress(TimeoutError):
                async with asyncio.timeout(wait_s):
                    await job.done.wait()
            settled = self._settle(settle)
        await send(settled)
        if settled.outcome == outcomes.ANSWERED:
            self.runner.undelivered.discard(settle.number)

    async def _on_seal(self, seal: Seal, send: Send) -> None:
        sealed = self._parts.records.seal(
            seal.view,
            seal.owner,
            self._parts.clock(),
        )
        if isinstance(sealed, Refusal):
            self._parts.metrics.count_code(sealed.code)
        else:
            self.adopt_view(seal.view)
            self._parts.metrics.count(Counter.SEALED)
        await send(sealed)

    def _settle(self, settle: Settle) -> Settled:
        return self._parts.records.settle(settle, self._parts.clock())

    def _check_admission(self, run: Run) -> Refusal | None:
        if self.is_refusing:
            return Refusal(code=ResultCode.ENDPOINT_LEAVING)
        if not is_valid_target(run):
            return Refusal(code=ResultCode.BAD_FIELD, detail='request line')
        if not self._parts.may_run(run.ticket):
            return Refusal(code=ResultCode.NOT_CONFIRMED)
        return None

    def _detach(self, job: Job) -> None:
        job.detach()
        if job.done.is_set():
            record = self._parts.records.records.get(job.number)
            if record is not None and record.outcome == outcomes.ANSWERED:
                self.runner.undelivered.add(job.number)
        elif job.ticket.is_repeatable:
            asyncio.get_running_loop().call_later(
                self._parts.detached_grace_s,
                self._cancel_detached,
                job,
            )

    def _cancel_detached(self, job: Job) -> None:
        if not (job.is_outcome_requested or job.done.is_set()):
            self._parts.metrics.count(Counter.CALLER_DISCONNECTED)
            self.runner.cancel(job)
