"""Load and health of the endpoints of a cell, as one entry knows them."""

from collections import defaultdict
from collections.abc import Collection
from dataclasses import dataclass, field
from typing import Any

from rattanvalve.counters import Counter, Metrics
from rattanvalve.messages import Announce, Member, View
from rattanvalve.views import endpoints_of
from rattanvalve.vmhints import VmHints

__all__ = ('ENDPOINT_SILENT_S', 'EndpointLoad', 'EndpointLoads')

#: Three announces were missed.
ENDPOINT_SILENT_S = 6.0
EJECT_AFTER_COUNT = 5
EJECT_FIRST_S = 5.0
EJECT_MAX_S = 300.0
#: An endpoint without ejection for this long starts with the first period.
EJECT_FORGET_S = 600.0
SLOW_START_S = 30.0
#: Part of its slots that a new endpoint is assumed to have at first.
SLOW_START_FIRST = 0.1
_READY = 'ready'


@dataclass(frozen=True, slots=True, kw_only=True)
class EndpointLoad:
    """Estimated load of a candidate in requests per slot."""

    member: Member
    load: float
    is_slow_start: bool = False


@dataclass(slots=True, kw_only=True)
class _State:
    """What is known about one incarnation of an endpoint."""

    announce: Announce
    started_at_s: float
    reported_at_s: float
    in_flight_count: int = 0
    in_flight_at_report_count: int = 0
    failure_count: int = 0
    ejection_count: int = 0
    ejected_until_s: float = field(default=float('-inf'))

    def load(self, now_s: float) -> float:
        """Estimate the requests per slot, with those sent since the report."""
        announce = self.announce
        reported = announce.running_count + announce.queued_count
        since = self.in_flight_count - self.in_flight_at_report_count
        requests = max(self.in_flight_count, reported + since)
        slots = max(1, announce.capacity_count)
        age_s = now_s - self.started_at_s
        # The extra request makes an empty new endpoint look loaded, too.
        if age_s < SLOW_START_S:
            ramp = max(SLOW_START_FIRST, age_s / SLOW_START_S)
            return (requests + 1) / (slots * ramp)
        return requests / slots

    def describe(self, now_s: float) -> str:
        """Name the first reason why no new work is sent, or ``ready``."""
        reasons = (
            (now_s - self.reported_at_s > ENDPOINT_SILENT_S, 'silent'),
            (self.announce.is_leaving, 'leaving'),
            (not self.announce.is_healthy, 'unhealthy'),
            (now_s < self.ejected_until_s, 'ejected'),
        )
        return next((text for applies, text in reasons if applies), _READY)

    def is_usable(self, now_s: float) -> bool:
        """Tell whether new work may be sent."""
        return self.describe(now_s) == _READY


class EndpointLoads:
    """Reports, own requests in flight, ejections and slow starts.

    :param metrics: counters.
    """

    def __init__(self, metrics: Metrics | None = None) -> None:
        self._metrics = metrics or Metrics()
        self._states: dict[str, _State] = {}
        self._services: dict[str, dict[str, _State]] = defaultdict(dict)
        self._listed: dict[str, str] | None = None
        self.hints = VmHints()

    def set_view(self, view: View) -> None:
        """Restrict the candidates to the endpoints of a view.

        A successor seals the endpoints of the views only, so an owner must
        send nothing to others. Before the first call nothing is restricted.

        :param view: the adopted view.
        """
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
            state = _State(
                announce=announce,
                started_at_s=now_s,
                reported_at_s=now_s,
            )
            self._states[announce.member.name] = state
            service = self._services[announce.member.service_name]
            service[announce.member.name] = state
        state.announce = announce
        state.reported_at_s = now_s
        state.in_flight_at_report_count = state.in_flight_count

    def forget(self, endpoint: str) -> None:
        """Drop an endpoint.

        :param endpoint: its name; unknown names are ignored.
        """
        state = self._states.pop(endpoint, None)
        if state is not None:
            service_name = state.announce.member.service_name
            self._services[service_name].pop(endpoint)

    def started(self, endpoint: str) -> None:
        """Count a request that is sent to an endpoint.

        :param endpoint: its name; unknown names are ignored.
        """
        state = self._states.get(endpoint)
        if state is not None:
            state.in_flight_count += 1

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

    def candidates(
        self,
        service_name: str,
        drained: Collection[str],
        now_s: float,
    ) -> list[EndpointLoad]:
        """List the endpoints of a service that may get new work.

        :param service_name: name of the service.
        :param drained: names of endpoints that a rule drains.
        :param now_s: current time.
        :returns: endpoints without leaving, unhealthy, silent, ejected,
            drained and unlisted ones; without those that the VM list calls
            leaving, unless there are no others.
        """
        states = self._services.get(service_name, {})
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
        return [
            EndpointLoad(
                member=state.announce.member,
                load=state.load(now_s),
                is_slow_start=now_s - state.started_at_s < SLOW_START_S,
            )
            for state in usable.values()
        ]

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
        """Tell whether an endpoint has announced itself.

        :param endpoint: its name.
        :returns: whether it has, and was not dropped since.
        """
        return endpoint in self._states

    def is_leaving(self, endpoint: str) -> bool:
        """Tell whether the last announce of an endpoint was that it leaves.

        :param endpoint: its name.
        :returns: whether it was.
        """
        state = self._states.get(endpoint)
        return state is not None and state.announce.is_leaving

    def _is_listed(self, member: Member) -> bool:
        return (
            self._listed is None
            or self._listed.get(member.name) == member.incarnation
        )

    def _eject(self, state: _State, now_s: float) -> None:
        if now_s - state.ejected_until_s > EJECT_FORGET_S:
            state.ejection_count = 0
        period_s = min(EJECT_MAX_S, EJECT_FIRST_S * 2**state.ejection_count)
        state.ejection_count += 1
        state.failure_count = 0
        state.ejected_until_s = now_s + period_s
        self._metrics.count(Counter.ENDPOINT_EJECTED)


def _shown_state(described: str, *, is_listed: bool) -> str:
    return 'unlisted' if described == _READY and not is_listed else described
