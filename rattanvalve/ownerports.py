"""What the owner service needs from the rest of its process."""

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass

from rattanvalve.actmode import ActMode
from rattanvalve.blackboard import Blackboard
from rattanvalve.lines import Sleep
from rattanvalve.messages import Member, View
from rattanvalve.peers import PeerPool
from rattanvalve.routing import PlacementRequest

__all__ = ('OwnerPorts', 'ViewLookups')


@dataclass(frozen=True, slots=True, kw_only=True)
class ViewLookups:
    """Functions of the ``views`` module."""

    owner_of: Callable[[View, str, int], str]
    entries_of: Callable[[View], tuple[Member, ...]]
    endpoints_of: Callable[[View], tuple[Member, ...]]
    member_of: Callable[[View, str], Member | None]


@dataclass(frozen=True, slots=True, kw_only=True)
class OwnerPorts:
    """Collaborators of the owner service.

    ``mode`` gives the state of the confirmation and ``place`` selects an
    endpoint, both at a time in monotonic seconds.
    """

    blackboard: Blackboard
    pool: PeerPool
    lookups: ViewLookups
    mode: Callable[[float], ActMode]
    place: Callable[[PlacementRequest, float], Member | None]
    #: Called with the endpoint of a new ticket, and when the ticket ends with
    #: the endpoint and whether the endpoint failed.
    started: Callable[[str], None] = lambda _endpoint: None
    ended: Callable[[str, bool], None] = lambda _endpoint, _is_failure: None
    clock: Callable[[], float] = time.monotonic
    sleep: Sleep = asyncio.sleep
