"""State of one endpoint process, derived from its reports."""

from dataclasses import dataclass, field

from rattanvalve.candidates import EndpointLoad
from rattanvalve.messages import Announce

__all__ = (
    'ENDPOINT_SILENT_S',
    'READY',
    'SLOW_START_S',
    'EndpointState',
)

#: An endpoint is silent after three missed announces.
ENDPOINT_SILENT_S = 6.0
SLOW_START_S = 30.0
#: Initial share of the slots that a new endpoint is assumed to have.
SLOW_START_MIN_SHARE = 0.1
#: Step in which the share of a slow start grows.
SLOW_START_STEP_S = 0.1
EJECT_FIRST_S = 5.0
EJECT_MAX_S = 300.0
#: After this time without ejection, the backoff starts at ``EJECT_FIRST_S``.
EJECT_RESET_S = 600.0
READY = 'ready'


@dataclass(slots=True, kw_only=True)
class EndpointState:
    """Reports, requests in flight and ejections of one incarnation.

    Times are in seconds on the clock of the caller.
    """

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
        """Estimate the requests per slot, with those sent since the report.

        :param now_s: current time in seconds.
        :returns: requests per slot; higher during a slow start.
        """
        announce = self.announce
        reported = announce.running_count + announce.queued_count
        new_count = self.in_flight_count - self.in_flight_at_report_count
        requests = max(self.in_flight_count, reported + new_count)
        slots = max(1, announce.capacity_count)
        age_s = now_s - self.started_at_s
        # The extra request gives an idle endpoint a load during slow start.
        if age_s < SLOW_START_S:
            ramp = max(SLOW_START_MIN_SHARE, age_s / SLOW_START_S)
            return (requests + 1) / (slots * ramp)
        return requests / slots

    def describe(self, now_s: float) -> str:
        """Return the first reason that excludes the endpoint, or ``ready``."""
        reasons = (
            (now_s - self.reported_at_s > ENDPOINT_SILENT_S, 'silent'),
            (self.announce.is_leaving, 'leaving'),
            (not self.announce.is_healthy, 'unhealthy'),
            (now_s < self.ejected_until_s, 'ejected'),
        )
        return next((text for applies, text in reasons if applies), READY)

    def is_usable(self, now_s: float) -> bool:
        """Return whether the endpoint may receive new work."""
        return self.describe(now_s) == READY

    def usable_until_s(self, now_s: float) -> float:
        """Return the time until which the candidate is valid without reports.

        :param now_s: current time in seconds.
        :returns: time in seconds; infinite if only a report can change it.
        """
        if now_s < self.ejected_until_s:
            return self.ejected_until_s
        until_s = self.reported_at_s + ENDPOINT_SILENT_S
        if now_s - self.started_at_s < SLOW_START_S:
            return min(until_s, now_s + SLOW_START_STEP_S)
        return until_s if until_s >= now_s else float('inf')

    def as_candidate(self, now_s: float) -> EndpointLoad:
        """Return the endpoint with its current load for a placement."""
        return EndpointLoad(
            member=self.announce.member,
            load=self.load(now_s),
            is_slow_start=now_s - self.started_at_s < SLOW_START_S,
        )

    def eject(self, now_s: float) -> None:
        """Exclude the endpoint for a period that doubles with each ejection."""
        if now_s - self.ejected_until_s > EJECT_RESET_S:
            self.ejection_count = 0
        period_s = min(EJECT_MAX_S, EJECT_FIRST_S * 2**self.ejection_count)
        self.ejection_count += 1
        self.failure_count = 0
        self.ejected_until_s = now_s + period_s
