"""Dispatches requests for documents to the controllers that hold them."""

from collections.abc import Mapping
from functools import partial

from rattanvalve.channels import Handler, Send
from rattanvalve.errors import FrameError
from rattanvalve.messages import Pull

__all__ = ('pull_handler',)


def pull_handler(by_kind: Mapping[str, Handler]) -> Handler:
    """Make one handler of several.

    :param by_kind: handler of each kind of document.
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
