"""Parses what a server sends and finds the response of one request.

A response belongs to the request whose id it carries. A server may send a
late or extra response, so responses with another id are read and dropped.
The client of aiohttp takes the next response for the answer, whatever its
id, and repeats requests by their method; that is why its parser's kin is
used directly here.
"""

from collections import deque
from dataclasses import dataclass
from http import HTTPStatus

import httptools
from multidict import CIMultiDict

from rattanvalve.errors import ServerBrokenError
from rattanvalve.platform.names import REQUEST_ID

__all__ = ('ResponseHead', 'ResponseParser')

#: Idle time for which a connection is kept if the server names none.
IDLE_DEFAULT_S = 2.0
#: A connection is not used in the last part of the server's idle timeout.
IDLE_MARGIN_S = 0.7
#: A head or trailer that is longer has no end.
HEAD_BYTES_MAX = 64 * 1024
#: The same for interim and foreign responses before and within ours.
FOREIGN_BYTES_MAX = 1024 * 1024
_PARSER_ERRORS = (httptools.HttpParserError, httptools.HttpParserUpgrade)
_BODILESS = frozenset((HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED))


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """Status and headers of a response."""

    status: int
    headers: CIMultiDict[str]


class ResponseParser:
    """Responses on one connection, one request at a time."""

    def __init__(self) -> None:
        self.head: ResponseHead | None = None
        self.chunks: deque[bytes] = deque()
        self.buffered_bytes = 0
        self.is_complete = True
        #: Whether another request may be sent on the connection.
        self.is_reusable = True
        self.idle_limit_s = IDLE_DEFAULT_S
        self._parser = httptools.HttpResponseParser(self)
        self._request_id = ''
        self._request_count = 0
        self._headers: CIMultiDict[str] = CIMultiDict()
        self._is_ours = False
        self._is_unframed = False
        self._is_in_head = False
        #: Bytes that came since the last end of a head or part of a body.
        self._head_bytes = 0
        #: Bytes that came since the last byte of our own response.
        self._foreign_bytes = 0

    def expect(self, request_id: str) -> None:
        """Begin to wait for the response of a request.

        :param request_id: id that the response will carry.
        """
        self._request_id = request_id
        self._request_count += 1
        self.head = None
        self.is_complete = False
        self._is_unframed = False
        self._head_bytes = 0
        self._foreign_bytes = 0

    def feed(self, data: bytes) -> None:
        """Parse bytes of the server.

        :param data: bytes, cut anywhere.
        :raises ServerBrokenError: if they are no response, or one without end.
        """
        self._head_bytes += len(data)
        self._foreign_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except _PARSER_ERRORS as error:
            self.is_reusable = False
            raise ServerBrokenError('the server sent no response') from error
        is_long_head = self._head_bytes > HEAD_BYTES_MAX
        if is_long_head or self._foreign_bytes > FOREIGN_BYTES_MAX:
            self.is_reusable = False
            raise ServerBrokenError('the server sent bytes without end')

    def finish(self) -> None:
        """End a response without a length, as the server has closed."""
        if self._is_unframed and self._is_ours:
            self.is_complete = True
        self.is_reusable = False

    def take_chunk(self) -> bytes:
        """Take the next part of the body.

        :returns: bytes; none if nothing is there.
        """
        if not self.chunks:
            return b''
        chunk = self.chunks.popleft()
        self.buffered_bytes -= len(chunk)
        return chunk

    # The parser calls what follows.

    def on_message_begin(self) -> None:
        """Begin a response."""
        self._headers = CIMultiDict()
        self._is_in_head = True
        self._is_ours = False
        if self.is_complete:
            # Nothing was asked, so these bytes belong to no request.
            self.is_reusable = False

    def on_header(self, name: bytes, content: bytes) -> None:
        """Take a header.

        :param name: name of the header.
        :param content: its content.
        """
        if not self._is_in_head:
            # Nothing needs a trailer, and its server may send any number.
            return
        self._headers.add(name.decode('latin-1'), content.decode('latin-1'))

    def on_headers_complete(self) -> None:
        """Find out whose response it is."""
        self._is_in_head = False
        self._head_bytes = 0
        status = self._parser.get_status_code()
        self._is_ours = self._is_expected(status)
        if not self._is_ours:
            return
        headers = self._headers
        self._is_unframed = _is_unframed(status, headers)
        if self._is_unframed or not self._parser.should_keep_alive():
            self.is_reusable = False
        self.idle_limit_s = _idle_limit(headers.get('Keep-Alive', ''))
        self.head = ResponseHead(status, headers)
        self._foreign_bytes = 0

    def on_body(self, body: bytes) -> None:
        """Keep a part of the body for the reader.

        :param body: bytes of the body.
        """
        self._head_bytes = 0
        if self._is_ours:
            self._foreign_bytes = 0
            self.chunks.append(body)
            self.buffered_bytes += len(body)

    def on_message_complete(self) -> None:
        """End a response; those of other requests are passed over."""
        if self._is_ours:
            self.is_complete = True
            self._is_ours = False

    def _is_expected(self, status: int) -> bool:
        is_interim = status < HTTPStatus.OK
        if self.is_complete or is_interim or self.head is not None:
            return False
        answered_id = self._headers.get(REQUEST_ID)
        if answered_id is None:
            # Only a refusal, and on a connection that had no request before:
            # on any other it may be a late copy for an earlier request.
            is_refusal = status >= HTTPStatus.BAD_REQUEST
            return is_refusal and self._request_count == 1
        return answered_id == self._request_id


def _is_unframed(status: int, headers: CIMultiDict[str]) -> bool:
    encoding = headers.get('Transfer-Encoding', '').lower()
    is_framed = 'Content-Length' in headers or 'chunked' in encoding
    return not is_framed and status not in _BODILESS


def _idle_limit(keep_alive: str) -> float:
    """Read how long the server keeps an idle connection.

    :param keep_alive: header such as ``timeout=5``.
    :returns: seconds for which the connection may be used again.
    """
    for part in keep_alive.split(','):
        name, _, text = part.strip().partition('=')
        if name.lower() == 'timeout' and text.isdigit():
            return max(int(text) - IDLE_MARGIN_S, 0)
    return IDLE_DEFAULT_S
