"""Where the forwarder writes a response to."""

from typing import Protocol

from rattanvalve.gateway.response_parser import ResponseHead

__all__ = ('Sink',)


class Sink(Protocol):
    """The caller's side of one request."""

    async def send_whole(self, head: ResponseHead, body: bytes) -> None:
        """Send a complete response.

        :param head: status and headers of the server.
        :param body: its body.
        """

    async def begin(self, head: ResponseHead) -> None:
        """Begin a stream.

        :param head: status and headers of the server.
        """

    async def write(self, chunk: bytes) -> None:
        """Pass a part of a stream on.

        :param chunk: bytes of the server.
        """

    async def finish(self) -> None:
        """End a stream as complete."""

    def abort(self) -> None:
        """Close the caller's connection, so that the stream is incomplete."""
