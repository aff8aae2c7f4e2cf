"""Interface through which the forwarder writes a response."""

from typing import Protocol

from rattanvalve.gateway.response_parser import ResponseHead

__all__ = ('Sink',)


class Sink(Protocol):
    """Destination of the response to one request."""

    def hold(self, count: int) -> None:
        """Account for bytes of the response.

        :param count: number of bytes.
        :raises CallerMemoryError: if callers hold too many bytes.
        """

    async def send_response(
        self, head: ResponseHead, body: bytes | bytearray
    ) -> None:
        """Send a complete response.

        :param head: status and headers from the server.
        :param body: body from the server; may change after the call.
        """

    async def begin(self, head: ResponseHead) -> None:
        """Send the head of a streamed response; called once per request.

        :param head: status and headers from the server.
        """

    async def write(self, chunk: bytes) -> None:
        """Send a part of a stream that has begun.

        :param chunk: complete events from the server.
        """

    async def finish(self) -> None:
        """Terminate a stream as complete."""

    def abort(self) -> None:
        """Close the caller's connection, so that a stream stays incomplete."""
