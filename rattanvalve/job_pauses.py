"""Pauses and resumes runs at the server, as the queue decides."""

import asyncio
from collections.abc import Callable, Coroutine

from rattanvalve.counters import Counter
from rattanvalve.endpoint_parts import EndpointParts
from rattanvalve.runjob import Job
from rattanvalve.workset import WorkSet

__all__ = ('JobPauses',)

#: Delay before a failed resume is retried, in seconds.
RETRY_S = 0.5


class JobPauses:
    """Sends pause and resume commands to the server.

    :param parts: state and clients of the process.
    :param dispatch: called after each pause, which may have freed a slot.
    """

    def __init__(
        self,
        parts: EndpointParts,
        dispatch: Callable[[], None],
    ) -> None:
        self._parts = parts
        self._dispatch = dispatch
        self._tasks = WorkSet()

    def preempt(self, jobs: dict[str, Job]) -> None:
        """Pause runs to free slots for queued ones of the highest class.

        :param jobs: jobs by ticket number.
        """
        if not self._parts.client.can_pause:
            return
        number = self._parts.queue.choose_pause()
        while number is not None:
            self._spawn(self._pause(jobs[number]))
            number = self._parts.queue.choose_pause()

    def resume(self, job: Job) -> None:
        """Resume a paused run that has got a slot again.

        :param job: job of the paused run.
        """
        self._parts.metrics.count(Counter.RUN_RESUMED)
        self._spawn(self._resume(job))

    def _spawn(self, coroutine: Coroutine) -> None:
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _pause(self, job: Job) -> None:
        is_paused = await self._parts.client.pause(job.number)
        self._parts.metrics.count(
            Counter.RUN_PAUSED if is_paused else Counter.PAUSE_REFUSED,
        )
        now_s = self._parts.clock()
        self._parts.queue.record_pause(job.number, bool(is_paused), now_s)
        if is_paused is None:
            # The response was lost, so the run may be paused.
            self._spawn(self._resume(job))
        self._dispatch()

    async def _resume(self, job: Job) -> None:
        """Retry until the server confirms; otherwise the run stays paused."""
        while not job.done.is_set():
            if await self._parts.client.resume(job.number):
                return
            await asyncio.sleep(RETRY_S)
