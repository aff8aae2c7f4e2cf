"""Explains where a request would be sent now, without sending it."""

import math
import time
from collections.abc import Callable

from rattanvalve.channels import Handler, Send
from rattanvalve.gateway.calls import Call, parse_turn_headers
from rattanvalve.gateway.endpoint_choice import ChoicePreview, EndpointChooser
from rattanvalve.gateway.endpoint_tables import EndpointTables
from rattanvalve.gateway.placement import (
    Demand,
    expected_ms,
    health_penalty_ms,
)
from rattanvalve.gateway.service_choice import choose_service
from rattanvalve.platform import names
from rattanvalve.sharedstate.endpoints import EndpointEntry
from rattanvalve.sharedstate.rules import Route
from rattanvalve.sharedstate.shared_state import SharedState
from rattanvalve.turn_messages import (
    ExplainedCandidate,
    ExplainPlacement,
    PlacementExplained,
)

__all__ = ('PlacementExplainer',)

_MS_PER_S = 1000
#: Id by which the described request counts as one that continues a program.
_ANY_PROGRAM = 'explained'


class PlacementExplainer:
    """Answers peers that ask for the placement of a request.

    :param state: rules and settings of this process.
    :param tables: entries, loads and connections of the endpoints.
    :param chooser: chooses the endpoints of requests.
    :param build_demand: returns what a request needs, from its service, the
        parts of its prompt and its content length.
    """

    def __init__(
        self,
        state: SharedState,
        tables: EndpointTables,
        chooser: EndpointChooser,
        build_demand: Callable[..., Demand],
    ) -> None:
        self._state = state
        self._tables = tables
        self._chooser = chooser
        self._build_demand = build_demand

    def handlers(self) -> dict[type, Handler]:
        """Return the handlers to register with the peer server.

        :returns: handler by message class.
        """
        return {ExplainPlacement: self._answer}

    def explain(
        self, message: ExplainPlacement, now_s: float
    ) -> PlacementExplained:
        """Choose an endpoint for a request that is not sent.

        :param message: describes the request.
        :param now_s: monotonic time in seconds.
        :returns: the candidates and the choice.
        """
        route = self._state.rules.find_route(message.host, message.path)
        if route is None:
            return PlacementExplained(reason='no route')
        call = self._build_call(message, route, now_s)
        service = choose_service(route, message.request_id)
        demand = self._build_demand(
            service, call.turn.parts, message.payload_bytes
        )
        preview = self._chooser.preview(call, demand, now_s)
        return PlacementExplained(
            service_name=service,
            chosen=preview.endpoint.name if preview.endpoint else '',
            reason=_reason(preview, is_drawn=self._tables.has_contention),
            candidates=tuple(
                self._describe(demand, preview, endpoint, now_s)
                for endpoint in preview.candidates
            ),
        )

    async def _answer(self, message: ExplainPlacement, send: Send) -> None:
        await send(self.explain(message, time.monotonic()))

    def _build_call(
        self, message: ExplainPlacement, route: Route, now_s: float
    ) -> Call:
        workspace = self._state.rules.workspace_named(message.workspace)
        priority = route.priority
        if workspace is not None and workspace.priority is not None:
            priority = workspace.priority
        headers = {names.PROMPT_PARTS: message.prompt_parts}
        if message.continues_program:
            headers[names.PROGRAM_ID] = _ANY_PROGRAM
            headers[names.PREVIOUS_TURN] = _ANY_PROGRAM
        return Call(
            request_id=message.request_id,
            method='',
            target=message.path,
            headers=[],
            body=b'',
            route=route,
            workspace=workspace,
            received_s=now_s,
            deadline_s=now_s + route.timeout_ms / _MS_PER_S,
            turn=parse_turn_headers(headers),
            priority=priority,
        )

    def _describe(
        self,
        demand: Demand,
        preview: ChoicePreview,
        endpoint: EndpointEntry,
        now_s: float,
    ) -> ExplainedCandidate:
        tables = self._tables
        load = tables.loads.get(endpoint)
        age_s = load.report_age_s(now_s)
        zone = self._state.node.zone
        return ExplainedCandidate(
            endpoint=endpoint.name,
            zone=endpoint.zone,
            expected_count=load.expected_count(now_s),
            report_age_ms=int(age_s * _MS_PER_S) if age_s < math.inf else -1,
            cached_tokens=load.cached_tokens(demand.parts),
            has_idle_connection=endpoint.name
            in tables.pool.connected_names(now_s),
            is_preferred=preview.is_preferred(endpoint),
            is_avoided=load.avoided_until_s > now_s,
            has_room=endpoint in preview.with_room,
            health_penalty_ms=health_penalty_ms(
                demand, endpoint, tables.loads, now_s
            ),
            surcharge_ms=preview.surcharge_ms(endpoint),
            expected_ms=expected_ms(
                demand, endpoint, tables.loads, zone, now_s
            ),
        )


def _reason(preview: ChoicePreview, *, is_drawn: bool) -> str:
    if not preview.candidates:
        return 'no endpoint accepts requests'
    if preview.endpoint is None:
        return 'no endpoint has room within its limit'
    if is_drawn:
        return 'least expected time of a few that were drawn at random'
    return 'least expected time with surcharge, or named for a suspect'
