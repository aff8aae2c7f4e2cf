"""Mean load of the endpoints of one service, from all load reports."""

from dataclasses import dataclass

from rattanvalve.gateway.loads import USUAL_PERCENT
from rattanvalve.sharedstate.endpoint_loads import REPORT_TTL_S

__all__ = ('ServiceLevel',)

#: Smoothing factor of the mean, which spans about the last 25 reports.
LEVEL_SMOOTHING = 0.04


@dataclass(slots=True)
class ServiceLevel:
    """Moving average of the work per slot that the endpoints report.

    A slow endpoint has as much work as the others with fewer requests.
    """

    _work_per_slot: float = 0
    _weight: float = 0
    _recorded_s: float = float('-inf')

    def record(
        self, count: int, slots: int, speed_percent: float, now_s: float
    ) -> None:
        """Add the count of a new report.

        :param count: running and queued requests.
        :param slots: requests that the endpoint runs at once.
        :param speed_percent: how long work usually takes there.
        :param now_s: monotonic time in seconds.
        """
        self._recorded_s = now_s
        work_per_slot = count / slots * speed_percent / USUAL_PERCENT
        # The first reports count fully instead of being averaged with 0.
        self._weight = self._weight * (1 - LEVEL_SMOOTHING) + 1
        change = work_per_slot - self._work_per_slot
        self._work_per_slot += change / self._weight

    def usual_count(
        self, slots: int, speed_percent: float, now_s: float
    ) -> float:
        """Estimate the count of an endpoint of which nothing is known.

        :param slots: requests that the endpoint runs at once.
        :param speed_percent: how long work usually takes there.
        :param now_s: monotonic time in seconds.
        :returns: running and queued requests; 0 without a recent report.
        """
        if now_s - self._recorded_s > REPORT_TTL_S:
            return 0
        return self._work_per_slot * slots * USUAL_PERCENT / speed_percent
