"""State of one endpoint process, as one entry knows it from reports."""

from dataclasses import dataclass, field

from rattanvalve.candidates import EndpointLoad
from rattanvalve.messages import Announce

__all__ = (
    'ENDPOINT_SILENT_S',
    'READY',
    'SLOW_START_S',
    'EndpointState',
)

#: Three announces were missed.
ENDPOINT_SILENT_S = 6.0
SLOW_START_S = 30.0
#: Part of its slots that a new endpoint is assumed to have at first.
SLOW_START_FIRST = 0.1
#: How long the growing share of a slow start is taken as constant.
SLOW_START_STEP_S = 0.1
EJECT_FIRST_S = 5.0
EJECT_MAX_S = 300.0
#: An endpoint without ejection for this long starts with the first period.
EJECT_FORGET_S = 600.0
READY = 'ready'


@dataclass(slots=True, kw_only=True)
class EndpointState:
    """What is known about one incarnation of an endpoint."""

    announce: Announce
    started_at_s: float
    reported_at_s: float
    in_flight_count: int = 0
    in_flight_at_report_count: int = 0
    failure_count: int = 0
    ejection_count: int = 0
    ejected_until_s: float = field(default=float('-inf'))

    @property
    def service_name(self) -> str:
        """Name of the service of the endpoint."""
        return self.announce.member.service_name

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
        return next((text for applies, text in reasons if applies), READY)

    def is_usable(self, now_s: float) -> bool:
        """Return whether new work may be sent."""
        return self.describe(now_s) == READY

    def usable_until_s(self, now_s: float) -> float:
        """Give the time until which only reports change the usability."""
        if now_s < self.ejected_until_s:
            return self.ejected_until_s
        until_s = self.reported_at_s + ENDPOINT_SILENT_S
        if now_s - self.started_at_s < SLOW_START_S:
            return min(until_s, now_s + SLOW_START_STEP_S)
        return until_s if until_s >= now_s else float('inf')

    def as_candidate(self, now_s: float) -> EndpointLoad:
        """Describe the endpoint for a placement."""
        return EndpointLoad(
            member=self.announce.member,
            load=self.load(now_s),
            is_slow_start=now_s - self.started_at_s < SLOW_START_S,
        )

    def eject(self, now_s: float) -> None:
        """Send no new work for a period that doubles each time."""
        if now_s - self.ejected_until_s > EJECT_FORGET_S:
            self.ejection_count = 0
        period_s = min(EJECT_MAX_S, EJECT_FIRST_S * 2**self.ejection_count)
        self.ejection_count += 1
        self.failure_count = 0
        self.ejected_until_s = now_s + period_s
