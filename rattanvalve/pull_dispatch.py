"""Dispatches pulls of documents to the controllers that answer them."""

from collections.abc import Mapping
from functools import partial

from rattanvalve.channels import Handler, Send
from rattanvalve.errors import FrameError
from rattanvalve.messages import Pull

__all__ = ('pull_handler',)


def pull_handler(by_kind: Mapping[str, Handler]) -> Handler:
    """Combine the handlers of several kinds of document into one.

    :param by_kind: handler for each ``kind`` of a pull.
    :returns: handler of ``Pull``; it raises ``FrameError`` for other kinds.
    """
    return partial(_dispatch, by_kind)


async def _dispatch(
    by_kind: Mapping[str, Handler],
    message: Pull,
    send: Send,
) -> None:
    handler = by_kind.get(message.kind)
    if handler is None:
        raise FrameError('unknown kind of document')
    await handler(message, send)
