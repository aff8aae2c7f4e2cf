"""Dependencies of the owner service on the rest of its process."""

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass

from rattanvalve.admission_mode import AdmissionMode
from rattanvalve.blackboard import Blackboard
from rattanvalve.keyed_queues import Sleep
from rattanvalve.messages import Member, View
from rattanvalve.peers import PeerPool
from rattanvalve.routing import PlacementRequest

__all__ = ('OwnerPorts', 'ViewLookups')


@dataclass(frozen=True, slots=True, kw_only=True)
class ViewLookups:
    """Functions that look up members of a view, from the ``views`` module."""

    owner_of: Callable[[View, str, int], str]
    entries_of: Callable[[View], tuple[Member, ...]]
    endpoints_of: Callable[[View], tuple[Member, ...]]
    find_member: Callable[[View, str], Member | None]


@dataclass(frozen=True, slots=True, kw_only=True)
class OwnerPorts:
    """Functions and objects that the owner service uses.

    ``mode`` returns the mode that the confirmation permits and ``place``
    selects an endpoint, both for a time in monotonic seconds.
    """

    blackboard: Blackboard
    pool: PeerPool
    lookups: ViewLookups
    mode: Callable[[float], AdmissionMode]
    place: Callable[[PlacementRequest, float], Member | None]
    #: Called with the endpoint name of a new ticket.
    started: Callable[[str], None] = lambda _endpoint: None
    #: Called at the end of a ticket with the endpoint name and whether the
    #: endpoint failed.
    ended: Callable[[str, bool], None] = lambda _endpoint, _is_failure: None
    clock: Callable[[], float] = time.monotonic
    sleep: Sleep = asyncio.sleep
