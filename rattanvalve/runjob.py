"""One accepted run: its way from the server to the ingress connection."""

import asyncio
from dataclasses import dataclass, field, replace
from typing import Any

from rattanvalve.channels import Send
from rattanvalve.chatstream import is_event_stream, resume_event
from rattanvalve.messages import Chunk, End, Head, Refusal, Run, Ticket
from rattanvalve.records import RecordBook
from rattanvalve.server_session import Sink

__all__ = ('Job',)

#: Messages that wait for the ingress before the server is slowed down.
_OUTBOX_COUNT = 16


def _outbox() -> asyncio.Queue[Any]:
    return asyncio.Queue(_OUTBOX_COUNT)


@dataclass(slots=True, eq=False)
class Job:
    """State of a run from its acceptance to its completion.

    ``is_attached`` tells whether the connection it came on is open;
    ``is_wanted`` whether somebody asked for its outcome since.
    """

    run: Run
    deadline_s: float
    records: RecordBook
    timer: asyncio.TimerHandle | None = None
    task: asyncio.Task | None = None
    is_attached: bool = True
    is_delivered: bool = False
    is_wanted: bool = False
    done: asyncio.Event = field(default_factory=asyncio.Event)
    outbox: asyncio.Queue[Any] = field(default_factory=_outbox)

    @property
    def ticket(self) -> Ticket:
        """Give the ticket of the run.

        :returns: ticket.
        """
        return self.run.ticket

    @property
    def number(self) -> str:
        """Give the ticket number of the run.

        :returns: ticket number.
        """
        return self.run.ticket.number

    def sink(self) -> Sink:
        """Build the receiver of the response, which records and relays it.

        :returns: sink for the client of the server.
        """
        return Sink(start=self._start, append=self._append)

    async def put(self, message: Any) -> None:
        """Relay a message, or drop it if the connection is closed.

        :param message: part of the response, its end or a refusal.
        """
        if self.is_attached:
            await self.outbox.put(message)

    async def relay(self, send: Send) -> None:
        """Send the response to the ingress as it arrives.

        :param send: sends one message on the connection of the run.
        :raises OSError: if the connection is broken.
        """
        while not self.is_delivered:
            message = await self.outbox.get()
            await send(message)
            self.is_delivered = isinstance(message, (End, Refusal))

    def detach(self) -> None:
        """Go on without the connection; a blocked relay is released."""
        self.is_attached = False
        while not self.outbox.empty():
            self.outbox.get_nowait()

    async def _start(self, head: Head) -> None:
        self.records.start(self.number, head)
        if is_event_stream(head.headers):
            # A later replay delivers the whole text; the caller of this run
            # has the beginning already.
            resumed = resume_event(self.run.resume_text)
            self.records.append(self.number, resumed)
        await self.put(replace(head, number=self.number))

    async def _append(self, content: bytes) -> None:
        self.records.append(self.number, content)
        await self.put(Chunk(number=self.number, content=content))
