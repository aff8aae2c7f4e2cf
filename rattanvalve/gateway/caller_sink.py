"""Sends the response to one request to its caller over HTTP."""

import time
from collections.abc import Callable
from typing import Any

import msgspec
from aiohttp import web

from rattanvalve.gateway.caller_connection import connection_of
from rattanvalve.gateway.calls import Refusal
from rattanvalve.gateway.response_parser import ResponseHead
from rattanvalve.platform import names
from rattanvalve.platform.requests import forwarded_headers
from rattanvalve.resultcodes import result_code_info

__all__ = ('CallerSink',)

#: Smallest value of a Retry-After, so that callers do not retry immediately.
RETRY_AFTER_MIN_S = 0.05
#: Larger bodies are sent in pieces of this size, so that no second copy waits
#: for a slow caller.
PIECE_BYTES = 64 * 1024


class CallerSink:
    """Sends one response with aiohttp.

    ``response`` is ``None`` until a response is prepared for sending.

    :param request: request of the caller.
    :param is_stopping: returns whether the process stops, so that the
        connection has to close after the response.
    """

    def __init__(
        self, request: web.BaseRequest, is_stopping: Callable[[], bool]
    ) -> None:
        self.response: web.StreamResponse | None = None
        self._request = request
        self._is_stopping = is_stopping
        self._is_last = False
        self._holding = connection_of(request).holding

    def hold(self, count: int) -> None:
        """Account for bytes of the response.

        :param count: number of bytes.
        :raises CallerMemoryError: if callers hold too many bytes.
        """
        self._holding.take(count)

    async def send_response(
        self, head: ResponseHead, body: bytes | bytearray
    ) -> None:
        """Send a complete response.

        :param head: status and headers from the server.
        :param body: body from the server.
        """
        if len(body) > PIECE_BYTES:
            await self._send_pieces(head, body)
            return
        response = web.Response(
            status=head.status,
            body=bytes(body),
            headers=_response_headers(head),
        )
        await self._prepare(response)
        await response.write_eof()

    async def begin(self, head: ResponseHead) -> None:
        """Send the head of a streamed response; called once per request.

        :param head: status and headers from the server.
        """
        response = web.StreamResponse(
            status=head.status,
            headers=_response_headers(head),
        )
        await self._prepare(response)

    async def write(self, chunk: bytes) -> None:
        """Send a part of a stream that has begun.

        :param chunk: complete events from the server.
        """
        with self._holding.waiting(self._evict):
            await self.response.write(chunk)
        self._holding.record_progress(len(chunk), time.monotonic())

    async def finish(self) -> None:
        """Terminate a stream as complete."""
        await self.response.write_eof()

    async def refuse(self, refusal: Refusal) -> None:
        """Send a refusal that the gateway itself decided on.

        :param refusal: result code and optional retry delay.
        """
        info = result_code_info(refusal.code)
        headers = {'Content-Type': 'application/json'}
        if refusal.retry_after_s is not None:
            seconds = max(refusal.retry_after_s, RETRY_AFTER_MIN_S)
            headers[names.RETRY_AFTER] = f'{seconds:.2f}'
        body = msgspec.json.encode(
            {'code': int(refusal.code), 'message': info.text},
        )
        response = web.Response(
            status=info.http_status,
            body=body,
            headers=headers,
        )
        await self._prepare(response)
        await response.write_eof()

    def close_after(self) -> None:
        """Close the connection after the response; call before it begins."""
        self._is_last = True

    def abort(self) -> None:
        """Close the connection, so that a stream stays incomplete."""
        if self._request.transport is not None:
            self._request.transport.close()

    def _evict(self) -> None:
        """Close the connection without waiting for the caller to read."""
        if self._request.transport is not None:
            self._request.transport.abort()

    async def _send_pieces(
        self, head: ResponseHead, body: bytes | bytearray
    ) -> None:
        response = web.StreamResponse(
            status=head.status, headers=_response_headers(head)
        )
        response.content_length = len(body)
        await self._prepare(response)
        for start in range(0, len(body), PIECE_BYTES):
            await self.write(bytes(body[start : start + PIECE_BYTES]))
        await response.write_eof()

    async def _prepare(self, response: web.StreamResponse) -> None:
        self.response = response
        if self._is_last or self._is_stopping():
            response.force_close()
        await response.prepare(self._request)


def _response_headers(head: ResponseHead) -> Any:
    raw = tuple(
        (name.encode('latin-1'), content.encode('latin-1'))
        for name, content in head.headers.items()
    )
    return forwarded_headers(raw)
