"""Exchange of the list of members with a turn store that has another one."""

from collections.abc import Awaitable, Callable
from typing import Any

from rattanvalve.errors import PeerError
from rattanvalve.logs import LogPart, part_logger
from rattanvalve.sharedstate.documents import DocumentKind
from rattanvalve.sharedstate.exchange import exchange_kind
from rattanvalve.sharedstate.members import StoreMember
from rattanvalve.sharedstate.shared_state import SharedState

__all__ = ('sync_member_list',)

_log = part_logger(LogPart.TURNS)


async def sync_member_list(
    call: Callable[[Any, float], Awaitable[Any]],
    state: SharedState,
    member: StoreMember,
) -> None:
    """Synchronize the list in both directions; log a failure.

    :param call: sends a message to the member and returns its answer, within
        a timeout in seconds.
    :param state: documents of this process.
    :param member: the member.
    """
    try:
        await exchange_kind(
            call,
            state.board,
            state.metrics,
            member.address.host,
            DocumentKind.MEMBERS,
            is_member=True,
        )
    except PeerError as error:
        # Whoever needs the list meets the difference again and retries.
        _log.debug(
            'list of members not exchanged',
            extra={'member': member.name, 'error': str(error)},
        )
