"""Registry of open requests and the digests of their API keys.

It cancels requests whose key was withdrawn, and signals when all are finished.
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
    """A request that is queued or running.

    ``may_have_run`` states that the request was dispatched to an endpoint
    process and not settled as not run. ``key_digest`` is empty on an open
    route. ``is_cut`` states that the request was cancelled because its key was
    withdrawn.
    """

    key_digest: str
    task: asyncio.Task | None = None
    is_cut: bool = False
    may_have_run: bool = False

    def cut(self) -> None:
        """Cancel the task of the request; a repeated call does nothing."""
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
        """Register the request of the current task during the block.

        :param entry: request to register.
        :raises KeyWithdrawnError: at the end of the block, if the request was
            cut.
        """
        entry.task = asyncio.current_task()
        self._requests.add(entry)
        self._idle.clear()
        try:
            yield
            if entry.is_cut:
                # The cancellation is raised at the next suspension point.
                await asyncio.sleep(0)
        except asyncio.CancelledError as error:
            # A second cancellation, by the server, must propagate.
            if not entry.is_cut or entry.task.uncancel():
                raise
            raise KeyWithdrawnError('key withdrawn') from error
        finally:
            # A finished request must not be cut.
            entry.task = None
            self._requests.discard(entry)
            self._update_idle()

    def keep(self, task: asyncio.Task) -> None:
        """Track a task that continues after its caller disconnected.

        :param task: task that completes the run or its cleanup.
        """
        self._background.add(task)
        self._idle.clear()
        task.add_done_callback(self._remove_background)

    def cut_withdrawn(self, catalog: Catalog) -> None:
        """Cancel all requests whose key is not in the catalog.

        :param catalog: current configuration.
        """
        for entry in tuple(self._requests):
            digest = entry.key_digest
            is_known = not digest or catalog.workspace_of_key(digest)
            if not is_known and not entry.is_cut:
                self._metrics.count(Counter.STREAM_CUT_KEY)
                entry.cut()

    async def watch(self, blackboard: Blackboard) -> None:
        """Apply each change of the configuration until cancelled.

        :param blackboard: shared state of the process.
        """
        while True:
            self.cut_withdrawn(blackboard.catalog)
            await blackboard.wait_changed()

    async def wait_idle(self) -> None:
        """Wait until no request is open and no background task runs."""
        await self._idle.wait()

    def _remove_background(self, task: asyncio.Task) -> None:
        self._background.discard(task)
        if not task.cancelled():
            # Retrieving the exception keeps asyncio from logging it.
            task.exception()
        self._update_idle()

    def _update_idle(self) -> None:
        if not self._requests and not self._background:
            self._idle.set()
