"""State of one accepted run and the relay of its response to the ingress."""

import asyncio
from dataclasses import dataclass, field, replace
from typing import Any

from rattanvalve.channels import Send
from rattanvalve.chatstream import is_event_stream, resume_event
from rattanvalve.messages import Chunk, End, Head, Refusal, Run, Ticket
from rattanvalve.records import RecordStore
from rattanvalve.server_session import Sink

__all__ = ('Job',)

#: Messages buffered for the ingress; a full buffer pauses reading from the
#: server (backpressure).
_OUTBOX_CAPACITY = 16


def _new_outbox() -> asyncio.Queue[Any]:
    return asyncio.Queue(_OUTBOX_CAPACITY)


@dataclass(slots=True, eq=False)
class Job:
    """State of a run from its acceptance to its completion.

    ``is_attached`` states whether the connection of the run is open,
    ``is_delivered`` whether the ingress got the last message, and
    ``is_outcome_requested`` whether a ``Settle`` asked for the outcome.
    ``deadline_s`` is a monotonic time in seconds.
    """

    run: Run
    deadline_s: float
    records: RecordStore
    timer: asyncio.TimerHandle | None = None
    task: asyncio.Task | None = None
    is_attached: bool = True
    is_delivered: bool = False
    is_outcome_requested: bool = False
    done: asyncio.Event = field(default_factory=asyncio.Event)
    outbox: asyncio.Queue[Any] = field(default_factory=_new_outbox)

    @property
    def ticket(self) -> Ticket:
        """Return the ticket of the run.

        :returns: ticket that the run was accepted with.
        """
        return self.run.ticket

    @property
    def number(self) -> str:
        """Return the ticket number, by which the run is identified.

        :returns: ticket number.
        """
        return self.run.ticket.number

    def sink(self) -> Sink:
        """Build a sink that records and relays the response.

        :returns: sink for the client of the server.
        """
        return Sink(start=self._start, append=self._append)

    async def put(self, message: Any) -> None:
        """Queue a message for the ingress; drop it if the connection is closed.

        Waits while the outbox is full.

        :param message: part of the response, its end or a refusal.
        """
        if self.is_attached:
            await self.outbox.put(message)

    async def relay(self, send: Send) -> None:
        """Send the queued messages to the ingress until the last one.

        :param send: sends one message on the connection of the run.
        :raises OSError: if the connection is broken.
        """
        while not self.is_delivered:
            message = await self.outbox.get()
            await send(message)
            self.is_delivered = isinstance(message, (End, Refusal))

    def detach(self) -> None:
        """Continue without the connection; unblock a waiting :meth:`put`."""
        self.is_attached = False
        while not self.outbox.empty():
            self.outbox.get_nowait()

    async def _start(self, head: Head) -> None:
        self.records.start(self.number, head)
        if is_event_stream(head.headers):
            # The record holds the whole text for a later replay; the caller
            # of this run already has the text before the resumption.
            resumed = resume_event(self.run.resume_text)
            self.records.append(self.number, resumed)
        await self.put(replace(head, number=self.number))

    async def _append(self, content: bytes) -> None:
        self.records.append(self.number, content)
        await self.put(Chunk(number=self.number, content=content))
