"""Combines the runs of one request into a single response."""

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

#: A response other than an event stream is buffered up to this size and sent
#: when it is complete, so that a failed run can be retried transparently.
MAX_BUFFERED_BYTES = 256 * 1024

_MIN_STATUS = 200
_MAX_STATUS = 599


class Delivery:
    """Writes the response to the caller and tracks how much was sent.

    :param responder: connection to the caller.
    :param is_chat: whether event streams follow the chat protocol.
    :param is_resumable: whether an engine can continue a partial text.
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
        self._received_bytes = 0
        self._buffered: list[bytes] = []

    @property
    def can_retry(self) -> bool:
        """Whether another run can complete the response."""
        if not self._responder.is_started:
            return True
        return self._is_events and self._is_chat and self._chat.is_resumable

    @property
    def is_complete(self) -> bool:
        """Whether the end marker of the stream was forwarded."""
        return self._is_events and self._is_chat and self._chat.is_done

    @property
    def resume_text(self) -> str:
        """Text that was already sent and that the next run continues."""
        return self._chat.text if self._responder.is_started else ''

    def start_run(self, number: str) -> None:
        """Reset the state of the current run before a new one.

        :param number: ticket number of the new run.
        """
        self._number = number
        # The record of a resumed run starts with the event of the earlier text.
        self._received_bytes = len(resume_event(self.resume_text))
        self._buffered.clear()
        self._chat.start_run()

    def apply_head(self, head: Head) -> None:
        """Set status and headers of the run.

        :param head: status and headers from the endpoint process.
        :raises PeerError: if the status is out of range, or if the head does
            not match the response that has already started.
        """
        is_events = is_event_stream(head.headers)
        if not _MIN_STATUS <= head.http_status <= _MAX_STATUS:
            raise PeerError(f'HTTP status {head.http_status} is out of range')
        if not self._responder.is_started:
            self._is_events = is_events
        elif (is_events, head.http_status) != (
            self._is_events,
            self._head.http_status,
        ):
            raise PeerError('the run does not continue the response')
        self._head = head

    async def feed(self, content: bytes) -> None:
        """Send or buffer a part of the body.

        :param content: next bytes of the run.
        :raises CallerDisconnectedError: if the caller has disconnected.
        """
        self._received_bytes += len(content)
        if self._is_events:
            await self._write(
                self._chat.feed(content) if self._is_chat else content,
            )
        elif self._responder.is_started:
            await self._write(content)
        else:
            self._buffered.append(content)
            if self._received_bytes > MAX_BUFFERED_BYTES:
                await self._write(b''.join(self._buffered))
                self._buffered.clear()

    async def finish(self) -> None:
        """Complete the response after the end of a run.

        :raises CallerDisconnectedError: if the caller has disconnected.
        """
        if self._is_events:
            await self._write(self._chat.flush())
        if self._responder.is_started:
            await self._responder.finish()
            return
        await self._responder.send_complete(
            self._head.http_status,
            self._head.headers,
            b''.join(self._buffered),
        )

    async def replay(self, settled: Settled) -> None:
        """Complete the response from the record of a run.

        :param settled: recorded response.
        :raises PeerError: if there is no recorded response, or if it does not
            continue the part that was already sent.
        :raises CallerDisconnectedError: if the caller has disconnected.
        """
        if settled.outcome != outcomes.ANSWERED:
            raise PeerError(f'no recorded response: {settled.outcome}')
        if settled.number != self._number:
            if self._responder.is_started:
                raise PeerError('the record belongs to another run')
            self.start_run(settled.number)
        self.apply_head(
            Head(http_status=settled.http_status, headers=settled.headers),
        )
        await self.feed(settled.body[self._received_bytes :])
        await self.finish()

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
