"""Reads the run of a ticket from an endpoint process."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

from rattanvalve.channels import Address
from rattanvalve.errors import NotSentError, PeerError
from rattanvalve.messages import End, Refusal, Run
from rattanvalve.peers import PeerPool
from rattanvalve.responder import CallerGoneError
from rattanvalve.streams import OpenRequest, OpenRequests

__all__ = ('open_run',)

#: Time beyond the limit of the ticket for the report of the endpoint process.
_REPORT_GRACE_S = 5.0


class _KeptRun:
    """A run that goes on when its caller leaves.

    A task of its own reads the stream, one message ahead of the relay.
    """

    def __init__(self, pool: PeerPool, run: Run) -> None:
        self._pool = pool
        self._run = run
        self._is_left = False
        self._ahead: asyncio.Queue[Any] = asyncio.Queue(1)
        self.task = asyncio.ensure_future(self._read())

    async def messages(self) -> AsyncIterator[Any]:
        """Iterate over the messages of the run.

        :yields: messages of the endpoint process.
        :raises PeerError: if the run broke.
        """
        is_last = False
        while not is_last:
            message = await self._ahead.get()
            if isinstance(message, Exception):
                raise message
            is_last = isinstance(message, (End, Refusal))
            yield message

    def leave(self) -> None:
        """Read the rest without keeping it."""
        self._is_left = True
        while not self._ahead.empty():
            self._ahead.get_nowait()

    async def _read(self) -> None:
        limit_s = self._run.ticket.timeout_ms / 1000 + _REPORT_GRACE_S
        try:
            async with asyncio.timeout(limit_s):
                await self._read_all()
        except NotSentError as error:
            await self._put(error)
        except (PeerError, TimeoutError):
            await self._put(PeerError('the run broke off'))

    async def _read_all(self) -> None:
        address = _address_of(self._run)
        async with self._pool.stream(address, self._run) as stream:
            async for message in stream:
                await self._put(message)

    async def _put(self, message: Any) -> None:
        if not self._is_left:
            await self._ahead.put(message)


@asynccontextmanager
async def open_run(
    pool: PeerPool,
    run: Run,
    entry: OpenRequest,
    open_requests: OpenRequests,
) -> AsyncIterator[AsyncIterator[Any]]:
    """Hand a ticket to its endpoint process and read what comes back.

    When the caller leaves, the run of a repeatable request is cancelled and
    any other goes on to its end. A withdrawn key cancels both; the endpoint
    process then lets finish what must not be interrupted.

    :param pool: connections to endpoint processes.
    :param run: ticket and request.
    :param entry: the open request.
    :param open_requests: keeps runs without a caller.
    :returns: iterator that ends after ``End`` or ``Refusal``.
    :raises NotSentError: if the run was not handed over.
    :raises PeerError: if the run broke.
    """
    if run.ticket.is_repeatable:
        async with pool.stream(_address_of(run), run) as stream:
            yield stream
        return
    kept = _KeptRun(pool, run)
    is_kept = False
    try:
        yield kept.messages()
    except (asyncio.CancelledError, CallerGoneError):
        is_kept = not entry.is_cut
        raise
    finally:
        if is_kept:
            kept.leave()
            open_requests.keep(kept.task)
        elif not kept.task.done():
            await _settle_task(kept.task)


async def _settle_task(task: asyncio.Task) -> None:
    """Let a task that has read the last message end, else cancel it."""
    # After the last message the task needs one step to return its connection.
    try:
        await asyncio.sleep(0)
    finally:
        task.cancel()


def _address_of(run: Run) -> Address:
    return Address(run.ticket.host, run.ticket.port)
