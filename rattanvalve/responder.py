"""Writes the HTTP response to a caller."""

from aiohttp import web

from rattanvalve import outcomes
from rattanvalve.errors import RattanvalveError
from rattanvalve.messages import Header, Refusal
from rattanvalve.responses import (
    OUTCOME_HEADER,
    PROGRAM_HEADER,
    allowed_headers,
    error_body,
    error_event,
    error_headers,
)
from rattanvalve.resultcodes import result_code_info

__all__ = ('CallerDisconnectedError', 'Responder')


class CallerDisconnectedError(RattanvalveError):
    """The caller closed its connection before the response was complete."""


class Responder:
    """HTTP response to one request, sent whole or in parts.

    :param request: request of the caller.
    :param is_closing: whether the connection is closed after this response.
    """

    def __init__(
        self,
        request: web.Request,
        *,
        is_closing: bool = False,
    ) -> None:
        self.program_id = ''
        self._request = request
        self._is_closing = is_closing
        self._is_events = False
        self._response: web.StreamResponse | None = None

    @property
    def is_started(self) -> bool:
        """Whether sending of the response has started."""
        return self._response is not None

    @property
    def response(self) -> web.StreamResponse | None:
        """Response that was started, or ``None``."""
        return self._response

    async def start(
        self,
        http_status: int,
        headers: tuple[Header, ...],
        *,
        is_events: bool,
    ) -> None:
        """Send status and headers; the body follows in parts.

        :param http_status: status of the endpoint.
        :param headers: headers of the endpoint; only allowed ones are sent.
        :param is_events: whether the body is a stream of events.
        :raises CallerDisconnectedError: if the caller has disconnected.
        """
        self._is_events = is_events
        await self._send(
            web.StreamResponse(
                status=http_status,
                headers=self._headers(headers),
            ),
        )

    async def write(self, content: bytes) -> None:
        """Send a part of the body; waits while the send buffer is full.

        :param content: bytes to send.
        :raises CallerDisconnectedError: if the caller has disconnected.
        """
        try:
            await self._response.write(content)
        except OSError as error:
            raise CallerDisconnectedError('caller disconnected') from error

    async def finish(self) -> None:
        """End a response that was sent in parts.

        :raises CallerDisconnectedError: if the caller has disconnected.
        """
        try:
            await self._response.write_eof()
        except OSError as error:
            raise CallerDisconnectedError('caller disconnected') from error

    async def send_complete(
        self,
        http_status: int,
        headers: tuple[Header, ...],
        body: bytes,
    ) -> None:
        """Send a complete response.

        :param http_status: status of the endpoint.
        :param headers: headers of the endpoint; only allowed ones are sent.
        :param body: complete body.
        :raises CallerDisconnectedError: if the caller has disconnected.
        """
        await self._send(
            web.Response(
                status=http_status,
                headers=self._headers(headers),
                body=body,
            ),
        )
        await self.finish()

    async def fail(self, refusal: Refusal, outcome: str) -> None:
        """End the response with a refusal.

        A stream of events ends with an error event. Any other response that
        has started is aborted, so that the caller cannot mistake it for a
        complete one.

        :param refusal: refusal with a result code.
        :param outcome: outcome name.
        :raises CallerDisconnectedError: if the caller has disconnected.
        """
        if not self.is_started:
            await self._send(
                web.Response(
                    status=result_code_info(refusal.code).http_status,
                    headers=error_headers(refusal, self.program_id, outcome),
                    body=error_body(refusal),
                ),
            )
            await self.finish()
        elif self._is_events:
            await self.write(error_event(refusal))
            await self.finish()
        else:
            self.abort()

    def abort(self) -> None:
        """Abort the connection to the caller without flushing its buffer."""
        if self._request.transport is not None:
            self._request.transport.abort()

    def _headers(self, headers: tuple[Header, ...]) -> dict[str, str]:
        return {
            **allowed_headers(headers),
            PROGRAM_HEADER: self.program_id,
            OUTCOME_HEADER: outcomes.ANSWERED,
        }

    async def _send(self, response: web.StreamResponse) -> None:
        if self._is_closing:
            response.force_close()
        self._response = response
        try:
            await response.prepare(self._request)
        except OSError as error:
            raise CallerDisconnectedError('caller disconnected') from error
