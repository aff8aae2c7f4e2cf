"""Passes the runs of one request on as one complete response."""

from rattanvalve import outcomes
from rattanvalve.chatstream import (
    ChatStream,
    is_event_stream,
    resume_event,
)
from rattanvalve.errors import PeerError
from rattanvalve.messages import Head, Settled
from rattanvalve.responder import Responder

__all__ = ('Delivery',)

#: A response up to this size is sent when it is complete, so that a broken
#: run can be repeated without the caller noticing.
HELD_BYTES = 256 * 1024

_MIN_STATUS = 200
_MAX_STATUS = 599


class Delivery:
    """How much of the response the caller has.

    :param responder: connection to the caller.
    :param is_chat: whether event streams follow the chat protocol.
    :param is_resumable: whether the engine can continue a text.
    """

    def __init__(
        self,
        responder: Responder,
        *,
        is_chat: bool,
        is_resumable: bool,
    ) -> None:
        self._responder = responder
        self._is_chat = is_chat
        self._chat = ChatStream(is_resumable=is_resumable)
        self._number = ''
        self._head = Head()
        self._is_events = False
        self._taken_bytes = 0
        self._held: list[bytes] = []

    @property
    def can_run_again(self) -> bool:
        """Whether another run can complete the response."""
        if not self._responder.is_started:
            return True
        return self._is_events and self._is_chat and self._chat.is_resumable

    @property
    def is_complete(self) -> bool:
        """Whether the caller has the end marker of the stream."""
        return self._is_events and self._is_chat and self._chat.is_done

    @property
    def resume_text(self) -> str:
        """Text that the next run continues."""
        return self._chat.text if self._responder.is_started else ''

    def start_run(self, number: str) -> None:
        """Expect the response of another run.

        :param number: ticket number of the run.
        """
        self._number = number
        # The record of a resumed run begins with the text before it.
        self._taken_bytes = len(resume_event(self.resume_text))
        self._held.clear()
        self._chat.start_run()

    def head(self, head: Head) -> None:
        """Take status and headers.

        :param head: start of the response.
        :raises PeerError: if the status is impossible, or if it does not fit
            the response that has begun.
        """
        is_events = is_event_stream(head.headers)
        if not _MIN_STATUS <= head.http_status <= _MAX_STATUS:
            raise PeerError(f'impossible status {head.http_status}')
        if not self._responder.is_started:
            self._is_events = is_events
        elif (is_events, head.http_status) != (
            self._is_events,
            self._head.http_status,
        ):
            raise PeerError('the run does not continue the response')
        self._head = head

    async def take(self, content: bytes) -> None:
        """Take a part of the body.

        :param content: next bytes of the run.
        :raises CallerGoneError: if the caller has left.
        """
        self._taken_bytes += len(content)
        if self._is_events:
            await self._write(
                self._chat.feed(content) if self._is_chat else content,
            )
        elif self._responder.is_started:
            await self._write(content)
        else:
            self._held.append(content)
            if self._taken_bytes > HELD_BYTES:
                await self._write(b''.join(self._held))
                self._held.clear()

    async def end(self) -> None:
        """Complete the response after the end of a run.

        :raises CallerGoneError: if the caller has left.
        """
        if self._is_events:
            await self._write(self._chat.flush())
        if self._responder.is_started:
            await self._responder.finish()
            return
        await self._responder.send_all(
            self._head.http_status,
            self._head.headers,
            b''.join(self._held),
        )

    async def settle(self, settled: Settled) -> None:
        """Complete the response from the record of a run.

        :param settled: recorded response.
        :raises PeerError: if the record does not continue what was sent.
        :raises CallerGoneError: if the caller has left.
        """
        if settled.outcome != outcomes.ANSWERED:
            raise PeerError(f'no recorded response: {settled.outcome}')
        if settled.number != self._number:
            if self._responder.is_started:
                raise PeerError('the record belongs to another run')
            self.start_run(settled.number)
        self.head(
            Head(http_status=settled.http_status, headers=settled.headers),
        )
        await self.take(settled.body[self._taken_bytes :])
        await self.end()

    async def _write(self, content: bytes) -> None:
        if not content:
            return
        if not self._responder.is_started:
            await self._responder.start(
                self._head.http_status,
                self._head.headers,
                is_events=self._is_events,
            )
        await self._responder.write(content)
