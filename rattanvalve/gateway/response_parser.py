"""Parses the bytes of a server and matches the response to its request.

A response belongs to the request whose id it carries. A server may send a
late or extra response, so responses with another id are read and dropped.
This module uses httptools directly, because the client of aiohttp accepts the
next response regardless of its id and retries requests based on their method.
"""

from dataclasses import dataclass
from http import HTTPStatus

import httptools
from multidict import CIMultiDict

from rattanvalve.errors import ResponseStatusError, ServerExchangeError
from rattanvalve.platform.names import REQUEST_ID
from rattanvalve.wholenumbers import parse_whole_number

__all__ = ('ResponseHead', 'ResponseParser', 'parse_idle_timeout')

#: Idle timeout of a connection if the server does not announce one.
DEFAULT_IDLE_TIMEOUT_S = 2.0
#: A connection is not reused this long before the server's idle timeout, so
#: that a request does not race with the close.
IDLE_TIMEOUT_MARGIN_S = 0.7
#: Size of a head or trailer section above which the connection is broken.
HEAD_BYTES_MAX = 64 * 1024
#: The same for interim responses and responses with another id, which may
#: arrive before or within the expected one.
UNMATCHED_BYTES_MAX = 1024 * 1024
#: Number of headers of a response; each costs far more memory than its bytes.
HEADER_COUNT_MAX = 256
_PARSER_ERRORS = (httptools.HttpParserError, httptools.HttpParserUpgrade)
#: Statuses that HTTP defines; no other one may reach a caller.
_STATUSES = range(100, 600)
_BODILESS = frozenset((HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED))


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """Status and headers of a response; header names ignore case."""

    status: int
    headers: CIMultiDict[str]


class ResponseParser:
    """Parses the responses on one connection for one request at a time.

    ``head`` is ``None`` until the head of the expected response is complete.
    ``idle_timeout_s`` is the time for which an idle connection may be reused.
    """

    def __init__(self) -> None:
        self.head: ResponseHead | None = None
        self.is_complete = True
        #: Whether another request may be sent on the connection.
        self.is_reusable = True
        self.idle_timeout_s = DEFAULT_IDLE_TIMEOUT_S
        #: Unread bytes of the body of the expected response.
        self._body = bytearray()
        self._parser = httptools.HttpResponseParser(self)
        self._request_id = ''
        self._request_count = 0
        self._headers: CIMultiDict[str] = CIMultiDict()
        self._is_matched = False
        self._is_close_delimited = False
        self._is_in_head = False
        #: Status of a response that has none of ``_STATUSES``.
        self._invalid_status: int | None = None
        #: Bytes since the last complete head or the last body part.
        self._head_bytes = 0
        #: Bytes since the last byte of the expected response.
        self._unmatched_bytes = 0

    @property
    def buffered_bytes(self) -> int:
        """Return the size of the unread part of the body.

        :returns: size in bytes.
        """
        return len(self._body)

    @property
    def head_bytes(self) -> int:
        """Return the size of an incomplete head.

        :returns: bytes since the last complete head or body part.
        """
        return self._head_bytes

    def expect(self, request_id: str) -> None:
        """Set the request whose response is parsed next.

        :param request_id: id that the response must carry.
        """
        self._request_id = request_id
        self._request_count += 1
        self.head = None
        self.is_complete = False
        self._is_close_delimited = False
        self._head_bytes = 0
        self._unmatched_bytes = 0

    def feed(self, data: bytes) -> None:
        """Parse bytes of the server.

        :param data: next bytes of the stream, split at any position.
        :raises ServerExchangeError: if the bytes are not valid HTTP or exceed a
            size limit.
        :raises ResponseStatusError: if a status is not between 100 and 599.
        """
        self._head_bytes += len(data)
        self._unmatched_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except _PARSER_ERRORS as error:
            self.is_reusable = False
            if self._invalid_status is not None:
                raise ResponseStatusError(
                    f'response with status {self._invalid_status}'
                ) from error
            raise ServerExchangeError('invalid HTTP response') from error
        is_long_head = self._head_bytes > HEAD_BYTES_MAX
        if is_long_head or self._unmatched_bytes > UNMATCHED_BYTES_MAX:
            self.is_reusable = False
            raise ServerExchangeError('response exceeds the size limit')

    def feed_eof(self) -> None:
        """Complete a close-delimited response, as the server has closed."""
        if self._is_close_delimited and self._is_matched:
            self.is_complete = True
        self.is_reusable = False

    def take_chunk(self) -> bytes:
        """Remove and return the buffered part of the body.

        :returns: body bytes; empty if none are buffered.
        """
        chunk = bytes(self._body)
        self._body.clear()
        return chunk

    # Callbacks of httptools.

    def on_message_begin(self) -> None:
        """Reset the header state at the first byte of a response."""
        self._headers = CIMultiDict()
        self._is_in_head = True
        self._is_matched = False
        if self.is_complete:
            # No request is in flight, so this response is unsolicited.
            self.is_reusable = False

    def on_header(self, name: bytes, content: bytes) -> None:
        """Store a header; trailers are ignored.

        :param name: name of the header.
        :param content: value of the header.
        :raises ValueError: if the head has too many headers, which ends the
            parsing.
        """
        if not self._is_in_head:
            # Trailers are unused, and a server may send any number of them.
            return
        if len(self._headers) >= HEADER_COUNT_MAX:
            raise ValueError(name)
        self._headers.add(name.decode('latin-1'), content.decode('latin-1'))

    def on_headers_complete(self) -> None:
        """Match the response to the request; store the head on a match.

        :raises ValueError: if the status is not between 100 and 599, which
            ends the parsing.
        """
        self._is_in_head = False
        self._head_bytes = 0
        status = self._parser.get_status_code()
        if status not in _STATUSES:
            self._invalid_status = status
            raise ValueError(status)
        self._is_matched = self._matches_request(status)
        if not self._is_matched:
            return
        headers = self._headers
        self._is_close_delimited = _is_close_delimited(status, headers)
        if self._is_close_delimited or not self._parser.should_keep_alive():
            self.is_reusable = False
        self.idle_timeout_s = parse_idle_timeout(headers.get('Keep-Alive', ''))
        self.head = ResponseHead(status, headers)
        self._unmatched_bytes = 0

    def on_body(self, body: bytes) -> None:
        """Buffer a body part of the expected response; drop any other.

        :param body: bytes of the body.
        """
        self._head_bytes = 0
        if self._is_matched:
            self._unmatched_bytes = 0
            self._body += body

    def on_message_complete(self) -> None:
        """Mark the expected response complete; ignore any other."""
        if self._is_matched:
            self.is_complete = True
            self._is_matched = False

    def _matches_request(self, status: int) -> bool:
        is_interim = status < HTTPStatus.OK
        if self.is_complete or is_interim or self.head is not None:
            return False
        answered_id = self._headers.get(REQUEST_ID)
        if answered_id is None:
            # Accept a response without an id only if it is an error and the
            # first on its connection: after an earlier request it may be a
            # late duplicate for that one.
            is_refusal = status >= HTTPStatus.BAD_REQUEST
            return is_refusal and self._request_count == 1
        return answered_id == self._request_id


def _is_close_delimited(status: int, headers: CIMultiDict[str]) -> bool:
    encoding = headers.get('Transfer-Encoding', '').lower()
    is_framed = 'Content-Length' in headers or 'chunked' in encoding
    return not is_framed and status not in _BODILESS


def parse_idle_timeout(keep_alive: str) -> float:
    """Parse the idle timeout of the server from a ``Keep-Alive`` header.

    :param keep_alive: header value such as ``timeout=5``.
    :returns: seconds for which an idle connection may be reused.
    """
    for part in keep_alive.split(','):
        name, _, text = part.strip().partition('=')
        timeout_s = parse_whole_number(text)
        if name.lower() == 'timeout' and timeout_s is not None:
            return max(timeout_s - IDLE_TIMEOUT_MARGIN_S, 0)
    return DEFAULT_IDLE_TIMEOUT_S
