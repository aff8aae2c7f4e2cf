"""Registry of open requests, by the digest of the key they came with.

It ends requests whose key was withdrawn, and tells when all are finished.
"""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass

from rattanvalve.blackboard import Blackboard
from rattanvalve.catalog import Catalog
from rattanvalve.counters import Counter, Metrics
from rattanvalve.errors import RattanvalveError

__all__ = ('KeyWithdrawnError', 'OpenRequest', 'OpenRequests')


class KeyWithdrawnError(RattanvalveError):
    """The key of an open request was withdrawn."""


@dataclass(slots=True, eq=False)
class OpenRequest:
    """A request that is queued or streams.

    ``may_have_run`` states that the request was handed to an endpoint process
    and not settled as not run. An empty digest stands for an open route.
    """

    key_digest: str
    task: asyncio.Task | None = None
    is_cut: bool = False
    may_have_run: bool = False

    def cut(self) -> None:
        """End the request by cancelling its task."""
        if not self.is_cut and self.task is not None:
            self.is_cut = True
            self.task.cancel()


class OpenRequests:
    """All open requests of one entry process.

    :param metrics: counters.
    """

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics
        self._requests: set[OpenRequest] = set()
        self._background: set[asyncio.Task] = set()
        self._idle = asyncio.Event()
        self._idle.set()

    @asynccontextmanager
    async def enter(self, entry: OpenRequest) -> AsyncIterator[None]:
        """Register the request that the current task handles.

        :param entry: the request.
        :raises KeyWithdrawnError: at the end of the block, if it was cut.
        """
        entry.task = asyncio.current_task()
        self._requests.add(entry)
        self._idle.clear()
        try:
            yield
            if entry.is_cut:
                # The cancellation is due at the next step of the task.
                await asyncio.sleep(0)
        except asyncio.CancelledError as error:
            # A cancellation by the server adds to ours and must go on.
            if not entry.is_cut or entry.task.uncancel():
                raise
            raise KeyWithdrawnError('key withdrawn') from error
        finally:
            # A request that just ended must not be cut any more.
            entry.task = None
            self._requests.discard(entry)
            self._update_idle()

    def keep(self, task: asyncio.Task) -> None:
        """Let a run go on after its caller has left.

        :param task: task that reads the rest of the run.
        """
        self._background.add(task)
        self._idle.clear()
        task.add_done_callback(self._forget)

    def cut_withdrawn(self, catalog: Catalog) -> None:
        """End all requests whose key is not in the catalog.

        :param catalog: newest configuration.
        """
        for entry in tuple(self._requests):
            digest = entry.key_digest
            is_known = not digest or catalog.workspace_of_key(digest)
            if not is_known and not entry.is_cut:
                self._metrics.count(Counter.STREAM_CUT_KEY)
                entry.cut()

    async def watch(self, blackboard: Blackboard) -> None:
        """Follow the configuration until cancelled.

        :param blackboard: state of the process.
        """
        while True:
            self.cut_withdrawn(blackboard.catalog)
            await blackboard.wait_changed()

    async def wait_idle(self) -> None:
        """Wait until no request is open and no run goes on."""
        await self._idle.wait()

    def _forget(self, task: asyncio.Task) -> None:
        self._background.discard(task)
        if not task.cancelled():
            # Reading the exception keeps asyncio from logging it again.
            task.exception()
        self._update_idle()

    def _update_idle(self) -> None:
        if not self._requests and not self._background:
            self._idle.set()
