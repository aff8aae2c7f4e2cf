"""Expected load of an endpoint from the newest report of any gateway."""

import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from rattanvalve.gateway.balancing.service_level import ServiceLevel
from rattanvalve.gateway.loads import USUAL_PERCENT, EndpointLoad
from rattanvalve.sharedstate.endpoint_loads import (
    REPORT_TTL_S,
    KnownLoad,
    LoadReports,
)
from rattanvalve.sharedstate.endpoints import EndpointEntry

__all__ = ('SharedLoad', 'shared_load_factory')

#: Time in which the difference of an endpoint from the others falls to 1/e, as
#: all gateways prefer the endpoints with less load.
LEVELLING_S = 0.5
#: The same for a change of speed, which lasts a fraction of a second.
SPEED_CHANGE_S = 0.2
#: Smoothing factor of the usual speed of an endpoint.
SPEED_SMOOTHING = 0.1
#: Own requests that are remembered for one endpoint.
CHANGES_MAX = 256


@dataclass(slots=True, kw_only=True)
class SharedLoad(EndpointLoad):
    """Load of one endpoint that all gateways report to each other.

    ``key`` is that of the endpoint's incarnation in ``reports``, ``level`` the
    mean load of its service.
    """

    key: str
    slots: int
    reports: LoadReports
    level: ServiceLevel
    _known: KnownLoad | None = None
    _usual_percent: float = USUAL_PERCENT
    #: Monotonic time in seconds and change of each own start and end.
    _changes: deque[tuple[float, int]] = field(
        default_factory=lambda: deque(maxlen=CHANGES_MAX)
    )

    def record_start(self, now_s: float) -> None:
        """Count a request of this process as in flight.

        :param now_s: monotonic time in seconds.
        """
        self.in_flight_count += 1
        self._changes.append((now_s, 1))

    def record_end(self, now_s: float) -> None:
        """Count a request of this process as ended.

        :param now_s: monotonic time in seconds.
        """
        self.in_flight_count = max(self.in_flight_count - 1, 0)
        self._changes.append((now_s, -1))

    def apply_report(
        self, count: int, speed_percent: int, now_s: float
    ) -> None:
        """Adopt a load report that the endpoint sent to this process.

        :param count: running and queued requests.
        :param speed_percent: how long work takes at present; 100 is usual.
        :param now_s: monotonic time in seconds.
        """
        self.reports.add(self.key, KnownLoad(count, speed_percent, now_s))

    def report_age_s(self, now_s: float) -> float:
        """Return the age of the report that decisions use.

        :param now_s: monotonic time in seconds.
        :returns: seconds; infinite without a usable report.
        """
        known = self._newest(now_s)
        return math.inf if known is None else now_s - known.heard_s

    def slowdown(self, now_s: float) -> float:
        """Estimate how long work takes now, relative to its usual time.

        :param now_s: monotonic time in seconds.
        :returns: ratio of durations.
        """
        known = self._newest(now_s)
        percent = self._usual_percent
        if known is not None:
            weight = math.exp((known.heard_s - now_s) / SPEED_CHANGE_S)
            percent += (known.speed_percent - percent) * weight
        return percent / USUAL_PERCENT

    def expected_count(self, now_s: float) -> float:
        """Estimate the number of requests at the endpoint.

        The requests that other gateways start and that end since the report
        move the load towards the mean of the service.

        :param now_s: monotonic time in seconds.
        :returns: running and queued requests, at least the own requests in
            flight.
        """
        known = self._newest(now_s)
        usual_count = self.level.usual_count(
            self.slots, self._usual_percent, now_s
        )
        if known is None:
            return max(usual_count, self.in_flight_count)
        weight = math.exp((known.heard_s - now_s) / LEVELLING_S)
        count = usual_count + (known.count - usual_count) * weight
        count += self._own_change(known.heard_s)
        return max(count, self.in_flight_count)

    def _newest(self, now_s: float) -> KnownLoad | None:
        """Return the newest report; adopt its figures if it is new."""
        known = self.reports.get(self.key)
        if known is None or now_s - known.heard_s > REPORT_TTL_S:
            return None
        if known is not self._known:
            self._known = known
            change = known.speed_percent - self._usual_percent
            self._usual_percent += SPEED_SMOOTHING * change
            self.level.record(
                known.count, self.slots, self._usual_percent, now_s
            )
        return known

    def _own_change(self, since_s: float) -> int:
        """Sum up own starts minus own ends since a report."""
        change = 0
        for changed_s, difference in reversed(self._changes):
            if changed_s <= since_s:
                break
            change += difference
        return change


def shared_load_factory(
    reports: LoadReports,
) -> Callable[[EndpointEntry], SharedLoad]:
    """Build the function with which a load table creates shared loads.

    :param reports: load reports of this process and of the turn stores.
    :returns: function that creates the load of an endpoint.
    """
    levels: dict[str, ServiceLevel] = {}

    def create(endpoint: EndpointEntry) -> SharedLoad:
        level = levels.setdefault(endpoint.service, ServiceLevel())
        return SharedLoad(
            key=endpoint.key,
            slots=endpoint.slots,
            reports=reports,
            level=level,
        )

    return create
