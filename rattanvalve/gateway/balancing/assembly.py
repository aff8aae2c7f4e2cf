"""Builds the choice of endpoints of a gateway, and its explanation."""

from rattanvalve.gateway.balancing.connection_costs import ConnectionCosts
from rattanvalve.gateway.balancing.preferred_subset import PreferredSubsets
from rattanvalve.gateway.endpoint_choice import EndpointChooser
from rattanvalve.gateway.endpoint_tables import EndpointTables
from rattanvalve.gateway.explaining import PlacementExplainer
from rattanvalve.gateway.forwarding import Forwarder
from rattanvalve.gateway.member_calls import MemberCalls
from rattanvalve.platform.nodefile import NodeSettings
from rattanvalve.sharedstate.shared_state import SharedState

__all__ = ('build_chooser', 'build_explainer')


def build_chooser(
    node: NodeSettings, tables: EndpointTables, calls: MemberCalls
) -> EndpointChooser:
    """Build the choice of endpoints.

    :param node: settings of this process.
    :param tables: entries, loads, limits and connections of the endpoints.
    :param calls: client of the turn store members.
    :returns: the choice, which saves connections if callers compete for
        endpoints.
    """
    costs = None
    if node.has_contention:
        costs = ConnectionCosts(
            tables,
            PreferredSubsets(node.name, node.zone),
            node.zone,
            calls.relays.known_count,
        )
    return EndpointChooser(tables, calls, node.zone, costs)


def build_explainer(
    state: SharedState,
    tables: EndpointTables,
    chooser: EndpointChooser,
    forwarder: Forwarder,
) -> PlacementExplainer:
    """Build what tells operators where a request would be sent.

    :param state: rules and settings of this process.
    :param tables: entries, loads, limits and connections of the endpoints.
    :param chooser: chooses the endpoints of requests.
    :param forwarder: has the cost estimates of the services.
    :returns: the handler of such questions.
    """
    return PlacementExplainer(state, tables, chooser, forwarder.build_demand)
