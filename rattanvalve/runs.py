"""Hands runs over to endpoint processes and reads their messages."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

from rattanvalve.channels import Address
from rattanvalve.errors import NotSentError, PeerError
from rattanvalve.messages import End, Refusal, Run
from rattanvalve.open_requests import OpenRequest, OpenRequests
from rattanvalve.peers import PeerPool
from rattanvalve.responder import CallerDisconnectedError

__all__ = ('open_run',)

#: Added to the timeout of a ticket, in which the endpoint process reports the
#: timeout itself; in seconds.
_REPORT_GRACE_S = 5.0


class _NonRepeatableRun:
    """A non-repeatable run, which continues when its caller disconnects.

    A separate task reads the stream and buffers one message for the relay.
    """

    def __init__(self, pool: PeerPool, run: Run) -> None:
        self._pool = pool
        self._run = run
        self._is_detached = False
        self._buffer: asyncio.Queue[Any] = asyncio.Queue(1)
        self.task = asyncio.ensure_future(self._read())

    async def messages(self) -> AsyncIterator[Any]:
        """Iterate over the messages of the run.

        :yields: messages of the endpoint process, up to ``End`` or ``Refusal``.
        :raises PeerError: if the connection broke or the run timed out.
        """
        is_last = False
        while not is_last:
            message = await self._buffer.get()
            if isinstance(message, Exception):
                raise message
            is_last = isinstance(message, (End, Refusal))
            yield message

    def detach(self) -> None:
        """Discard the buffered message and all that follow."""
        self._is_detached = True
        while not self._buffer.empty():
            self._buffer.get_nowait()

    async def _read(self) -> None:
        timeout_s = self._run.ticket.timeout_ms / 1000 + _REPORT_GRACE_S
        try:
            async with asyncio.timeout(timeout_s):
                await self._read_all()
        except NotSentError as error:
            await self._put(error)
        except (PeerError, TimeoutError):
            await self._put(
                PeerError('the connection of the run broke or timed out')
            )

    async def _read_all(self) -> None:
        address = _address_of(self._run)
        async with self._pool.stream(address, self._run) as stream:
            async for message in stream:
                await self._put(message)

    async def _put(self, message: Any) -> None:
        if not self._is_detached:
            await self._buffer.put(message)


@asynccontextmanager
async def open_run(
    pool: PeerPool,
    run: Run,
    caller_request: OpenRequest,
    open_requests: OpenRequests,
) -> AsyncIterator[AsyncIterator[Any]]:
    """Hand a run over to its endpoint process and read its messages.

    When the caller disconnects, a repeatable run is cancelled and any other
    continues to its end. A withdrawn key closes the connection of both; the
    endpoint process then still finishes a non-repeatable run.

    :param pool: connections to endpoint processes.
    :param run: request with its ticket.
    :param caller_request: open request of the caller.
    :param open_requests: registry that keeps runs without a caller.
    :returns: message iterator that ends after ``End`` or ``Refusal``.
    :raises NotSentError: if the run was not handed over.
    :raises PeerError: if the connection broke after the hand-over.
    """
    if run.ticket.is_repeatable:
        async with pool.stream(_address_of(run), run) as stream:
            yield stream
        return
    detachable = _NonRepeatableRun(pool, run)
    is_detached = False
    try:
        yield detachable.messages()
    except (asyncio.CancelledError, CallerDisconnectedError):
        is_detached = not caller_request.is_cut
        raise
    finally:
        if is_detached:
            detachable.detach()
            open_requests.keep(detachable.task)
        elif not detachable.task.done():
            await _settle_task(detachable.task)


async def _settle_task(task: asyncio.Task) -> None:
    """Let a task end that has read the last message; cancel any other."""
    # After the last message the task needs one loop iteration to return its
    # connection to the pool.
    try:
        await asyncio.sleep(0)
    finally:
        task.cancel()


def _address_of(run: Run) -> Address:
    return Address(run.ticket.host, run.ticket.port)
