"""Builds the callers' API of an entry process and its dependencies."""

from dataclasses import dataclass

from rattanvalve.blackboard import Blackboard
from rattanvalve.caller_api import CallerApi
from rattanvalve.calls import CallLimits
from rattanvalve.counters import Metrics
from rattanvalve.disconnects import DisconnectHandler
from rattanvalve.open_requests import OpenRequests
from rattanvalve.outcome_lookup import OutcomeLookup
from rattanvalve.owner_client import FindOwner, LocalOwner, OwnerClient
from rattanvalve.peers import PeerPool
from rattanvalve.relay import Relay
from rattanvalve.response_copies import ResponseCopies

__all__ = ('IngressParts', 'build_ingress')


@dataclass(frozen=True, slots=True, kw_only=True)
class IngressParts:
    """State and clients that the ingress shares with its process."""

    own_name: str
    blackboard: Blackboard
    metrics: Metrics
    pool: PeerPool
    open_requests: OpenRequests
    local_owner: LocalOwner
    find_owner: FindOwner
    copies: ResponseCopies


def build_ingress(parts: IngressParts, limits: CallLimits) -> CallerApi:
    """Build the callers' API and its relay.

    :param parts: state and clients of the process.
    :param limits: size and time limits of a request.
    :returns: handlers of the callers' API.
    """
    owner_client = OwnerClient(
        own_name=parts.own_name,
        blackboard=parts.blackboard,
        local=parts.local_owner,
        pool=parts.pool,
        metrics=parts.metrics,
        find_owner=parts.find_owner,
    )
    relay = Relay(
        DisconnectHandler(
            owner_client=owner_client,
            copies=parts.copies,
            open_requests=parts.open_requests,
        ),
        parts.pool,
        parts.open_requests,
        parts.metrics,
    )
    return CallerApi(
        blackboard=parts.blackboard,
        metrics=parts.metrics,
        relay=relay,
        open_requests=parts.open_requests,
        outcome_lookup=OutcomeLookup(owner_client, parts.copies),
        limits=limits,
    )
