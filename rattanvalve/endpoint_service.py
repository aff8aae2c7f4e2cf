"""Handlers of messages to an endpoint process.

A run whose connection closes goes on if it is not repeatable. A repeatable
one is cancelled after ``DETACHED_GRACE_S``, unless its outcome was asked for
by ``Settle`` in the meantime: after a broken connection the ingress or owner
asks at once, while a caller that is gone never does.
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
        self._relaying = WorkSet()

    def handlers(self) -> dict[type, Handler]:
        """List the handlers of this service.

        :returns: handler by message class.
        """
        return {
            Run: self._on_run,
            Settle: self._on_settle,
            Seal: self._on_seal,
            Release: self._on_release,
        }

    def adopt_view(self, view: View) -> None:
        """Take a newer view; an older one is ignored.

        :param view: view from a peer.
        """
        self._parts.records.observe_epoch(view.epoch)
        self._parts.client.observe_epoch(view.epoch)
        if view.epoch > self._parts.board.view.epoch:
            self._parts.board.view = view
            self._parts.board.publish()
            self._parts.metrics.count(Counter.VIEW_CHANGED)

    async def maintain(self) -> None:
        """Forget old records, until cancelled."""
        while True:
            records = self._parts.records
            records.expire(self._parts.clock())
            self.runner.unfetched.keep(records.records)
            self.runner.pump()
            await asyncio.sleep(_MAINTENANCE_INTERVAL_S)

    async def drain(self, grace_s: float, stop_timeout_s: float) -> None:
        """Finish the work of a process that is leaving.

        New runs are accepted for the grace period, as owners may not know
        yet that this process leaves, and refused after it.

        :param grace_s: grace period in seconds; answers that nobody has
            received are kept for as long once more.
        :param stop_timeout_s: limit of queued and running work, in seconds;
            what is left then is cancelled.
        """
        await asyncio.sleep(grace_s)
        self.is_refusing = True
        if not await self.runner.unfinished.wait_empty(stop_timeout_s):
            self.runner.cancel_all()
            await self.runner.unfinished.wait_empty(grace_s)
        # A response may still be on its way to a slow ingress.
        await self._relaying.wait_empty(stop_timeout_s)
        await self.runner.unfetched.wait_empty(grace_s)
        await self._parts.reports.tasks.wait_empty(grace_s)

    async def _on_run(self, run: Run, send: Send) -> None:
        ticket, parts = run.ticket, self._parts
        now_s = parts.clock()
        # The record comes first: a copy of a run that was accepted must not
        # get a refusal that says "not run".
        refusal = parts.records.refusal_of(ticket)
        refusal = refusal or self._refusal_by_state(run)
        refusal = refusal or parts.records.accept(ticket, now_s)
        job = Job(run, now_s + timeout_s_of(ticket), parts.records)
        refusal = refusal or self.runner.submit(job)
        if refusal is not None:
            parts.metrics.count_code(refusal.code)
            await send(refusal)
            return
        self._relaying.add(job)
        try:
            await job.relay(send)
        finally:
            self._relaying.discard(job)
            if not job.is_delivered:
                self._detach(job)

    async def _on_release(self, release: Release, send: Send) -> None:
        records = self._parts.records
        if release.epoch >= self._parts.board.view.epoch:
            records.observe_epoch(release.epoch)
            self._parts.keeper.program_left(
                release.workspace,
                release.program_id,
            )
        await send(Ack(epoch=self._parts.board.view.epoch))

    async def _on_settle(self, settle: Settle, send: Send) -> None:
        settled = self._settle(settle)
        job = self.runner.jobs.get(settle.number)
        if settled.outcome == outcomes.RUNNING and job is not None:
            job.is_wanted = True
            wait_s = min(settle.wait_ms / _MS_PER_S, MAX_SETTLE_WAIT_S)
            with suppress(TimeoutError):
                async with asyncio.timeout(wait_s):
                    await job.done.wait()
            settled = self._settle(settle)
        await send(settled)
        if settled.outcome == outcomes.ANSWERED:
            self.runner.unfetched.discard(settle.number)

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

    def _refusal_by_state(self, run: Run) -> Refusal | None:
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
                self.runner.unfetched.add(job.number)
        elif job.ticket.is_repeatable:
            asyncio.get_running_loop().call_later(
                self._parts.detached_grace_s,
                self._cancel_unwanted,
                job,
            )

    def _cancel_unwanted(self, job: Job) -> None:
        if not (job.is_wanted or job.done.is_set()):
            self._parts.metrics.count(Counter.CALLER_DISCONNECTED)
            self.runner.cancel(job)
