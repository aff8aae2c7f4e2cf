"""Load and health of the endpoints of a cell, as one entry knows them."""

from collections import defaultdict
from collections.abc import Collection
from typing import Any

from rattanvalve.candidates import Candidates, EndpointLoad, Validity
from rattanvalve.counters import Counter, Metrics
from rattanvalve.endpointstate import (
    ENDPOINT_SILENT_S,
    READY,
    EndpointState,
)
from rattanvalve.messages import Announce, Member, View
from rattanvalve.views import endpoints_of

__all__ = ('ENDPOINT_SILENT_S', 'EndpointLoad', 'EndpointLoads')

EJECT_AFTER_COUNT = 5
EJECT_FIRST_S = 5.0
EJECT_MAX_S = 300.0
#: An endpoint without ejection for this long starts with the first period.
EJECT_FORGET_S = 600.0


class EndpointLoads:
    """Reports, own requests in flight, ejections and slow starts.

    :param metrics: counters.
    """

    def __init__(self, metrics: Metrics | None = None) -> None:
        self._metrics = metrics or Metrics()
        self._states: dict[str, EndpointState] = {}
        self._services: dict[str, dict[str, EndpointState]] = defaultdict(dict)
        self._listed: dict[str, str] | None = None
        self._listed_view: View | None = None
        self._kept: dict[str, Candidates] = {}

    def set_view(self, view: View) -> None:
        """Restrict the candidates to the endpoints of a view.

        A successor seals the endpoints of the views only, so an owner must
        send nothing to others. Before the first call nothing is restricted.

        :param view: the adopted view; nothing is done for the same one again,
            since each announce leads to a call.
        """
        if view is self._listed_view:
            return
        self._listed_view = view
        self._kept.clear()
        self._listed = {
            member.name: member.incarnation for member in endpoints_of(view)
        }

    def report(self, announce: Announce, now_s: float) -> None:
        """Note an announce.

        :param announce: load and health of an endpoint.
        :param now_s: current time.
        """
        state = self._states.get(announce.member.name)
        if state is None or state.announce.member != announce.member:
            self.forget(announce.member.name)
            state = EndpointState(
                announce=announce,
                started_at_s=now_s,
                reported_at_s=now_s,
            )
            self._states[announce.member.name] = state
            service = self._services[announce.member.service_name]
            service[announce.member.name] = state
            self._kept.pop(state.service_name, None)
        was_usable = state.is_usable(now_s)
        state.announce = announce
        state.reported_at_s = now_s
        state.in_flight_at_report_count = state.in_flight_count
        if was_usable and state.is_usable(now_s):
            self._update(state)
        else:
            self._kept.pop(state.service_name, None)

    def forget(self, endpoint: str) -> None:
        """Drop an endpoint.

        :param endpoint: its name; unknown names are ignored.
        """
        state = self._states.pop(endpoint, None)
        if state is not None:
            service_name = state.announce.member.service_name
            self._services[service_name].pop(endpoint)
            self._kept.pop(state.service_name, None)

    def started(self, endpoint: str) -> None:
        """Count a request that is sent to an endpoint.

        :param endpoint: its name; unknown names are ignored.
        """
        state = self._states.get(endpoint)
        if state is not None:
            state.in_flight_count += 1
            self._update(state)

    def finished(self, endpoint: str, is_failure: bool, now_s: float) -> None:
        """Count the end of a request; consecutive failures eject.

        :param endpoint: its name; unknown names are ignored.
        :param is_failure: whether the endpoint failed.
        :param now_s: current time.
        """
        state = self._states.get(endpoint)
        if state is None:
            return
        # Requests to an earlier incarnation were not counted here.
        state.in_flight_count = max(0, state.in_flight_count - 1)
        state.failure_count = state.failure_count + 1 if is_failure else 0
        if state.failure_count >= EJECT_AFTER_COUNT:
            self._eject(state, now_s)
        self._update(state)

    def candidates(
        self,
        service_name: str,
        drained: Collection[str],
        now_s: float,
    ) -> Candidates:
        """List the endpoints of a service that may get new work.

        Loads in the list change with later reports and requests.

        :param service_name: name of the service.
        :param drained: names of endpoints that a rule drains.
        :param now_s: current time.
        :returns: endpoints without leaving, unhealthy, silent, ejected,
            drained and unlisted ones.
        """
        kept = self._kept.get(service_name)
        if kept is None or not kept.validity.holds(drained, now_s):
            kept = self._list_candidates(service_name, drained, now_s)
            self._kept[service_name] = kept
        return kept

    def silent_names(self, now_s: float) -> set[str]:
        """List the known endpoints that announce nothing any more.

        :param now_s: current time.
        :returns: names.
        """
        return {
            name
            for name, state in self._states.items()
            if now_s - state.reported_at_s > ENDPOINT_SILENT_S
        }

    def rows(self, now_s: float) -> list[dict[str, Any]]:
        """Describe all endpoints for operators.

        :param now_s: current time.
        :returns: JSON objects in name order.
        """
        return [
            {
                'endpoint': name,
                'service': state.announce.member.service_name,
                'zone': state.announce.member.zone,
                'state': self._state_of(state, now_s),
                'running': state.announce.running_count,
                'queued': state.announce.queued_count,
                'in_flight': state.in_flight_count,
            }
            for name, state in sorted(self._states.items())
        ]

    def is_known(self, endpoint: str) -> bool:
        """Tell whether an endpoint has announced itself.

        :param endpoint: its name.
        :returns: whether it has, and was not dropped since.
        """
        return endpoint in self._states

    def _list_candidates(
        self,
        service_name: str,
        drained: Collection[str],
        now_s: float,
    ) -> Candidates:
        states = self._services.get(service_name, {})
        until_s = min(
            (state.usable_until_s(now_s) for state in states.values()),
            default=float('inf'),
        )
        return Candidates(
            (
                state.as_candidate(now_s)
                for name, state in states.items()
                if name not in drained
                and state.is_usable(now_s)
                and self._is_listed(state.announce.member)
            ),
            Validity(drained, now_s, until_s),
        )

    def _update(self, state: EndpointState) -> None:
        kept = self._kept.get(state.service_name)
        if kept is not None:
            kept.update(state.as_candidate(kept.validity.from_s))

    def _state_of(self, state: EndpointState, now_s: float) -> str:
        described = state.describe(now_s)
        if described == READY and not self._is_listed(state.announce.member):
            return 'unlisted'
        return described

    def _is_listed(self, member: Member) -> bool:
        return (
            self._listed is None
            or self._listed.get(member.name) == member.incarnation
        )

    def _eject(self, state: EndpointState, now_s: float) -> None:
        if now_s - state.ejected_until_s > EJECT_FORGET_S:
            state.ejection_count = 0
        period_s = min(EJECT_MAX_S, EJECT_FIRST_S * 2**state.ejection_count)
        state.ejection_count += 1
        state.failure_count = 0
        state.ejected_until_s = now_s + period_s
        self._kept.pop(state.service_name, None)
        self._metrics.count(Counter.ENDPOINT_EJECTED)
