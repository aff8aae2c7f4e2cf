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
from rattanvalve.vmhints import VmHints

__all__ = ('ENDPOINT_SILENT_S', 'EndpointLoad', 'EndpointLoads')

EJECT_AFTER_COUNT = 5


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
        self.hints = VmHints()

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
            _update(self._kept, state)
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
            _update(self._kept, state)

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
            state.eject(now_s)
            self._kept.pop(state.service_name, None)
            self._metrics.count(Counter.ENDPOINT_EJECTED)
        _update(self._kept, state)

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
            drained and unlisted ones; without those that the VM list calls
            leaving, unless there are no others.
        """
        hinted = self.hints.names(now_s)
        kept = self._kept.get(service_name)
        if kept is None or not kept.validity.holds(drained, hinted, now_s):
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
        hinted = self.hints.names(now_s)
        return [
            {
                'endpoint': name,
                'vm': 'leaving' if name in hinted else '',
                'service': state.announce.member.service_name,
                'zone': state.announce.member.zone,
                'state': _shown_state(
                    state.describe(now_s),
                    is_listed=self._is_listed(state.announce.member),
                ),
                'running': state.announce.running_count,
                'queued': state.announce.queued_count,
                'in_flight': state.in_flight_count,
            }
            for name, state in sorted(self._states.items())
        ]

    def is_known(self, endpoint: str) -> bool:
        """Return whether an endpoint has announced itself.

        :param endpoint: its name.
        :returns: whether it has, and was not dropped since.
        """
        return endpoint in self._states

    def is_leaving(self, endpoint: str) -> bool:
        """Return whether the last announce of an endpoint was that it leaves.

        :param endpoint: its name.
        :returns: whether it was.
        """
        state = self._states.get(endpoint)
        return state is not None and state.announce.is_leaving

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
        usable = {
            name: state
            for name, state in states.items()
            if name not in drained
            and state.is_usable(now_s)
            and self._is_listed(state.announce.member)
        }
        hinted = self.hints.names(now_s)
        # The list may be wrong, so it must not leave a service without any.
        if not usable.keys() <= hinted:
            usable = {
                name: state
                for name, state in usable.items()
                if name not in hinted
            }
        return Candidates(
            (state.as_candidate(now_s) for state in usable.values()),
            Validity(drained, hinted, now_s, until_s),
        )

    def _is_listed(self, member: Member) -> bool:
        return (
            self._listed is None
            or self._listed.get(member.name) == member.incarnation
        )


def _update(kept: dict[str, Candidates], state: EndpointState) -> None:
    """Change the load of one endpoint in the list that is kept."""
    found = kept.get(state.service_name)
    if found is not None:
        found.update(state.as_candidate(found.validity.from_s))


def _shown_state(described: str, *, is_listed: bool) -> str:
    return 'unlisted' if described == READY and not is_listed else described
