"""Connection of a caller whose heads and pipelined requests are bounded.

aiohttp bounds the size and number of the fields of a request, but not their
total size, and reads up to 32 requests ahead.
"""

import asyncio
import time
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager

import msgspec
from aiohttp import web, web_protocol
from aiohttp.http import RawRequestMessage
from aiohttp.http_exceptions import BadHttpMessage, LineTooLong
from aiohttp.streams import StreamReader
from multidict import CIMultiDict, CIMultiDictProxy

from rattanvalve.gateway.caller_memory import (
    LIMITED_RETRY_AFTER_S,
    CallerMemoryError,
    Holding,
)
from rattanvalve.gateway.connection_guard import ConnectionGuard
from rattanvalve.platform import names
from rattanvalve.resultcodes import ResultCode, result_code_info

__all__ = ('CallerConnection', 'CallerServer', 'connection_of')

#: Memory of a field as parsed and as forwarded, estimated from the sizes of its
#: objects: six byte strings or texts and three tuples for a short field.
FIELD_BYTES = 700
#: Memory of a field that the parser keeps until the next request begins.
PARSED_FIELD_BYTES = 350
#: Copies of the bytes of a head: received, parsed and forwarded.
HEAD_COPIES = 3
#: Bytes that a connection holds unread behind a running request: two reads,
#: one in the process and one in the kernel.
UNREAD_BYTES = 96 * 1024
_HEAD_END = b'\r\n\r\n'
_TOO_MANY_FIELDS = 'Too many headers received'

# Bounds the parsed requests behind the running one; 32 by default. Each may
# consist of thousands of fields. aiohttp has no option for it.
web_protocol.MAX_MSG_QUEUE_SIZE = 1

_Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


class CallerConnection(web.RequestHandler):
    """HTTP connection that accounts for what its caller holds.

    ``waiting_since_s`` is the monotonic time in seconds of the start of the
    wait for a complete head; ``refusal`` is a result code if the next request
    must be refused unread. ``head_since_s`` is the monotonic time of the first
    byte of an incomplete head, ``has_served`` whether a handler was called.
    """

    __slots__ = (
        '_guard',
        '_head_bytes',
        '_payload',
        '_unparsed',
        'has_served',
        'head_since_s',
        'holding',
        'is_serving',
        'raw_transport',
        'refusal',
        'waiting_since_s',
    )

    def __init__(
        self, server: web.Server, guard: ConnectionGuard, **options
    ) -> None:
        super().__init__(server, **options)
        self._guard = guard
        self._head_bytes = 0
        self.head_since_s: float | None = None
        self._payload: StreamReader | None = None
        #: Bytes after the newest request, which the parser keeps for later.
        self._unparsed = b''
        self.raw_transport: asyncio.Transport | None = None
        self.holding: Holding | None = None
        self.is_serving = False
        self.has_served = False
        self.refusal: ResultCode | None = None
        self.waiting_since_s = time.monotonic()

    def connection_made(self, transport) -> None:
        """Open the holding; close this or another connection if over the bound.

        :param transport: transport of the connection.
        """
        super().connection_made(transport)
        now_s = time.monotonic()
        self.raw_transport = transport
        self.holding = self._guard.memory.open(now_s)
        self.holding.evict = self._evict
        self._guard.add(self, now_s)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Release what the connection holds.

        :param exc: cause, or ``None`` after a regular close.
        """
        super().connection_lost(exc)
        self.raw_transport = None
        self._guard.remove(self)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes and account for heads.

        :param data: next bytes of the stream, split at any position.
        """
        is_in_body = self._is_in_body()
        queued_count = len(self._messages)
        received = self._unparsed + data
        self._unparsed = b''
        super().data_received(data)
        if self.transport is None or is_in_body:
            return
        if len(self._messages) > queued_count:
            self._begin_request(received)
        elif received:
            self._add_to_head(received)

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Answer a request that could not be parsed or whose handler failed.

        :param request: the request, or a placeholder for one without a head.
        :param status: status of the response.
        :param exc: the error.
        :param message: text of the response.
        :returns: the response; a head that is too large gets status 431.
        """
        response = super().handle_error(request, status, exc, message)
        is_too_large = isinstance(exc, LineTooLong) or (
            isinstance(exc, BadHttpMessage) and exc.message == _TOO_MANY_FIELDS
        )
        if not is_too_large:
            return response
        self._guard.count_refusal(ResultCode.HEADER_TOO_LONG)
        response = _refusal_response(ResultCode.HEADER_TOO_LONG)
        response.force_close()
        return response

    def close_with(self, code: ResultCode) -> None:
        """Refuse an incomplete head and close the connection.

        Nothing is sent if a response may be under way, and the connection of a
        running request is closed after its response.

        :param code: result code of the refusal.
        """
        self._guard.count_refusal(code)
        self._unparsed = b''
        self.head_since_s = None
        if self.is_serving:
            self.close()
            return
        transport = self.raw_transport
        if transport.get_write_buffer_size():
            transport.abort()
        elif not (self._messages or transport.is_closing()):
            transport.write(_refusal_bytes(code))
        self.force_close()

    @contextmanager
    def serving(self, request: web.BaseRequest) -> Iterator[None]:
        """Mark the connection as busy within the ``with`` block.

        :param request: request that a handler serves.
        """
        self.is_serving = True
        self.has_served = True
        self._payload = request.content
        self.holding.evict = None
        try:
            yield
        finally:
            self.is_serving = False
            now_s = self.waiting_since_s = time.monotonic()
            if self.raw_transport is not None:
                self.holding.stalled_since_s = now_s
                self.holding.evict = None if self._messages else self._evict
                parsed_bytes = len(request.raw_headers) * PARSED_FIELD_BYTES
                self.holding.reset(self._queued_bytes() + parsed_bytes)

    def _is_in_body(self) -> bool:
        payload = self._messages[-1][1] if self._messages else self._payload
        return payload is not None and not payload.is_eof()

    def _begin_request(self, received: bytes) -> None:
        """Account for a request whose head is complete."""
        self._head_bytes = 0
        self.head_since_s = None
        self.holding.evict = None
        if not self._is_in_body():
            self._unparsed = _rest(*self._messages[-1], received)
        self._account(self._queued_bytes() + len(received) * HEAD_COPIES)

    def _add_to_head(self, received: bytes) -> None:
        """Account for bytes of an incomplete head."""
        if self.head_since_s is None and not received.strip(b'\r\n'):
            # Empty lines before a request are allowed and ignored.
            return
        now_s = time.monotonic()
        if self.head_since_s is None:
            self.head_since_s = now_s
            self.holding.stalled_since_s = now_s
        self._head_bytes += len(received)
        self.holding.record_progress(len(received), now_s)
        field_count = received.count(b'\n')
        self._account(field_count * FIELD_BYTES + len(received) * HEAD_COPIES)

    def _queued_bytes(self) -> int:
        """Return the memory of the requests that wait for their handler."""
        field_count = sum(
            len(head.raw_headers)
            for head, _ in self._messages
            if isinstance(head, RawRequestMessage)
        )
        count = field_count * FIELD_BYTES
        is_behind = self.is_serving and self._messages
        return count + UNREAD_BYTES if is_behind else count

    def _account(self, count: int) -> None:
        if self._head_bytes > self._guard.head_bytes_max():
            self.close_with(ResultCode.HEADER_TOO_LONG)
            return
        try:
            self.holding.take(count)
        except CallerMemoryError:
            if self._head_bytes or self.is_serving:
                self.close_with(ResultCode.CALLERS_LIMITED)
            else:
                self._refuse_newest(ResultCode.CALLERS_LIMITED)

    def _refuse_newest(self, code: ResultCode) -> None:
        """Let the handler refuse the newest request, and drop its head now.

        Many connections are read before the first handler runs, and a parser
        keeps the fields of its last request. Nothing more is read.
        """
        self.refusal = code
        self.close()
        self._parser = None
        self._unparsed = b''
        head, payload = self._messages[-1]
        if isinstance(head, RawRequestMessage):
            empty = CIMultiDictProxy(CIMultiDict())
            light = head._replace(headers=empty, raw_headers=())
            self._messages[-1] = light, payload

    def _evict(self) -> None:
        """Close the connection, which waits for a head or is idle."""
        if self.head_since_s is None:
            self.force_close()
        else:
            self.close_with(ResultCode.REQUEST_TIMEOUT)


class CallerServer(web.Server):
    """HTTP server whose connections are bounded.

    :param handle: serves one request.
    :param guard: bounds of the connections.
    :param handler_cancellation: whether a handler is cancelled when its caller
        disconnects.
    :param options: options of the connections.
    """

    def __init__(
        self,
        handle: _Handler,
        guard: ConnectionGuard,
        *,
        handler_cancellation: bool = False,
        **options,
    ) -> None:
        super().__init__(
            self._handle, handler_cancellation=handler_cancellation
        )
        self._handle_request = handle
        self._guard = guard
        self._options = options

    def __call__(self) -> CallerConnection:
        """Create the protocol of a new connection.

        :returns: the protocol.
        """
        return CallerConnection(
            self, self._guard, loop=self._loop, **self._options
        )

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        connection = connection_of(request)
        with connection.serving(request):
            code = connection.refusal
            if code is None:
                return await self._handle_request(request)
            self._guard.count_refusal(code)
            response = _refusal_response(code)
            response.force_close()
            return response


def connection_of(request: web.BaseRequest) -> CallerConnection:
    """Return the connection of a request.

    :param request: request of a caller.
    :returns: its connection.
    """
    return request.protocol


def _rest(
    head: RawRequestMessage, payload: StreamReader, received: bytes
) -> bytes:
    """Return the bytes after a complete request in the bytes with its head."""
    if not isinstance(head, RawRequestMessage):
        return b''
    if head.chunked:
        return received.rpartition(_HEAD_END)[2]
    body_start = received.find(_HEAD_END) + len(_HEAD_END)
    return received[body_start + payload.total_bytes :]


def _refusal_body(code: ResultCode) -> bytes:
    text = result_code_info(code).text
    return msgspec.json.encode({'code': int(code), 'message': text})


def _refusal_response(code: ResultCode) -> web.Response:
    return web.Response(
        status=result_code_info(code).http_status,
        body=_refusal_body(code),
        headers=_refusal_headers(code),
    )


def _refusal_headers(code: ResultCode) -> dict[str, str]:
    headers = {'Content-Type': 'application/json'}
    if code == ResultCode.CALLERS_LIMITED:
        headers[names.RETRY_AFTER] = f'{LIMITED_RETRY_AFTER_S:.2f}'
    return headers


def _refusal_bytes(code: ResultCode) -> bytes:
    info = result_code_info(code)
    body = _refusal_body(code)
    fields = _refusal_headers(code) | {
        'Content-Length': str(len(body)),
        'Connection': 'close',
    }
    lines = [f'{name}: {text}\r\n' for name, text in fields.items()]
    head = f'HTTP/1.1 {info.http_status} Refused\r\n{"".join(lines)}\r\n'
    return head.encode() + body
