"""Load and health of the endpoints of a cell, as known to one entry."""

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
    """Tracks reports, requests in flight, ejections and slow starts.

    :param metrics: counters; defaults to new ones.
    """

    def __init__(self, metrics: Metrics | None = None) -> None:
        self._metrics = metrics or Metrics()
        self._states: dict[str, EndpointState] = {}
        self._services: dict[str, dict[str, EndpointState]] = defaultdict(dict)
        self._listed_incarnations: dict[str, str] | None = None
        self._listed_view: View | None = None
        self._candidate_cache: dict[str, Candidates] = {}
        self.hints = VmHints()

    def set_view(self, view: View) -> None:
        """Restrict the candidates to the endpoints of a view.

        The next owner seals only endpoints listed in views, so an owner must
        not send requests to others. Before the first call there is no
        restriction.

        :param view: adopted view. A repeated call with the same object does
            nothing, because every announce triggers a call.
        """
        if view is self._listed_view:
            return
        self._listed_view = view
        self._candidate_cache.clear()
        self._listed_incarnations = {
            member.name: member.incarnation for member in endpoints_of(view)
        }

    def report(self, announce: Announce, now_s: float) -> None:
        """Record an announce.

        :param announce: load and health of an endpoint. A new incarnation
            replaces the state of the previous one.
        :param now_s: current time in seconds.
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
            self._candidate_cache.pop(state.service_name, None)
        was_usable = state.is_usable(now_s)
        state.announce = announce
        state.reported_at_s = now_s
        state.in_flight_at_report_count = state.in_flight_count
        if was_usable and state.is_usable(now_s):
            _update_cached_load(self._candidate_cache, state)
        else:
            self._candidate_cache.pop(state.service_name, None)

    def forget(self, endpoint: str) -> None:
        """Remove the state of an endpoint.

        :param endpoint: name; unknown names are ignored.
        """
        state = self._states.pop(endpoint, None)
        if state is not None:
            service_name = state.announce.member.service_name
            self._services[service_name].pop(endpoint)
            self._candidate_cache.pop(state.service_name, None)

    def started(self, endpoint: str) -> None:
        """Count a request sent to an endpoint as in flight.

        :param endpoint: name; unknown names are ignored.
        """
        state = self._states.get(endpoint)
        if state is not None:
            state.in_flight_count += 1
            _update_cached_load(self._candidate_cache, state)

    def finished(self, endpoint: str, is_failure: bool, now_s: float) -> None:
        """Count the end of a request and eject a failing endpoint.

        :param endpoint: name; unknown names are ignored.
        :param is_failure: whether the endpoint failed. ``EJECT_AFTER_COUNT``
            consecutive failures eject it.
        :param now_s: current time in seconds.
        """
        state = self._states.get(endpoint)
        if state is None:
            return
        # The count does not include requests to an earlier incarnation.
        state.in_flight_count = max(0, state.in_flight_count - 1)
        state.failure_count = state.failure_count + 1 if is_failure else 0
        if state.failure_count >= EJECT_AFTER_COUNT:
            state.eject(now_s)
            self._candidate_cache.pop(state.service_name, None)
            self._metrics.count(Counter.ENDPOINT_EJECTED)
        _update_cached_load(self._candidate_cache, state)

    def candidates(
        self,
        service_name: str,
        drained: Collection[str],
        now_s: float,
    ) -> Candidates:
        """Return the endpoints of a service that accept new work.

        Later reports and requests update the loads in the returned list.

        :param service_name: name of the service.
        :param drained: names of endpoints that a rule drains.
        :param now_s: current time in seconds.
        :returns: endpoints that are not leaving, unhealthy, silent, ejected,
            drained or unlisted. Endpoints that the VM list marks as leaving
            are included only if no others remain.
        """
        hinted = self.hints.names(now_s)
        cached = self._candidate_cache.get(service_name)
        if cached is None or not cached.validity.is_valid_for(
            drained, hinted, now_s
        ):
            cached = self._list_candidates(service_name, drained, now_s)
            self._candidate_cache[service_name] = cached
        return cached

    def silent_names(self, now_s: float) -> set[str]:
        """Return the known endpoints that stopped announcing themselves.

        :param now_s: current time in seconds.
        :returns: names without an announce for ``ENDPOINT_SILENT_S``.
        """
        return {
            name
            for name, state in self._states.items()
            if now_s - state.reported_at_s > ENDPOINT_SILENT_S
        }

    def rows(self, now_s: float) -> list[dict[str, Any]]:
        """Return the state of all endpoints for operators.

        :param now_s: current time in seconds.
        :returns: JSON objects in name order.
        """
        hinted = self.hints.names(now_s)
        return [
            {
                'endpoint': name,
                'vm': 'leaving' if name in hinted else '',
                'service': state.announce.member.service_name,
                'zone': state.announce.member.zone,
                'state': _displayed_state(
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

        :param endpoint: name.
        :returns: whether it has, and was not removed since.
        """
        return endpoint in self._states

    def is_leaving(self, endpoint: str) -> bool:
        """Return whether the last announce of an endpoint said it is leaving.

        :param endpoint: name.
        :returns: ``False`` for an unknown endpoint.
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
        # The VM list may be wrong, so it must not exclude all endpoints of a
        # service.
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
            self._listed_incarnations is None
            or self._listed_incarnations.get(member.name) == member.incarnation
        )


def _update_cached_load(
    cached: dict[str, Candidates], state: EndpointState
) -> None:
    """Update the load of one endpoint in the cached list."""
    found = cached.get(state.service_name)
    if found is not None:
        found.update(state.as_candidate(found.validity.from_s))


def _displayed_state(described: str, *, is_listed: bool) -> str:
    return 'unlisted' if described == READY and not is_listed else described
