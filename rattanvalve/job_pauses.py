"""Pauses and resumes runs at the server for the queue."""

import asyncio
from collections.abc import Callable, Coroutine

from rattanvalve.counters import Counter
from rattanvalve.endpoint_parts import EndpointParts
from rattanvalve.runjob import Job
from rattanvalve.workset import WorkSet

__all__ = ('JobPauses',)

#: Pause before a resume that failed is repeated, in seconds.
RETRY_S = 0.5


class JobPauses:
    """Sends the pauses and resumes that the queue decides.

    :param parts: state and clients of the process.
    :param pump: called when a slot has become free.
    """

    def __init__(
        self,
        parts: EndpointParts,
        pump: Callable[[], None],
    ) -> None:
        self._parts = parts
        self._pump = pump
        self._tasks = WorkSet()

    def make_room(self, jobs: dict[str, Job]) -> None:
        """Pause a run for a waiting one of the highest class.

        :param jobs: jobs by ticket number.
        """
        if not self._parts.client.can_pause:
            return
        number = self._parts.queue.choose_pause()
        while number is not None:
            self._start(self._pause(jobs[number]))
            number = self._parts.queue.choose_pause()

    def resume(self, job: Job) -> None:
        """Resume a run that has a slot again.

        :param job: its job.
        """
        self._parts.metrics.count(Counter.RUN_RESUMED)
        self._start(self._resume(job))

    def _start(self, work: Coroutine) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _pause(self, job: Job) -> None:
        is_paused = await self._parts.client.pause(job.number)
        self._parts.metrics.count(
            Counter.RUN_PAUSED if is_paused else Counter.PAUSE_REFUSED,
        )
        now_s = self._parts.clock()
        self._parts.queue.note_pause(job.number, bool(is_paused), now_s)
        if is_paused is None:
            # The response was lost, so the run may be paused.
            self._start(self._resume(job))
        self._pump()

    async def _resume(self, job: Job) -> None:
        """Repeat until the server confirms it, else the run would be lost."""
        while not job.done.is_set():
            if await self._parts.client.resume(job.number):
                return
            await asyncio.sleep(RETRY_S)
