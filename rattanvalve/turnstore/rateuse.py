"""Recent use of a rate limit, as a decayed count of granted requests."""

import math
from dataclasses import dataclass

__all__ = ('RateUse',)

#: Time constant of the average: long enough for the pauses between the requests
#: of one program, short enough to follow a load that begins.
USE_DECAY_S = 3.0


@dataclass(slots=True)
class RateUse:
    """Average of the granted requests of one workspace.

    :param updated_s: monotonic time of the last update in seconds.
    """

    updated_s: float
    _count: float = 0

    def record(self, now_s: float) -> None:
        """Count one granted request.

        :param now_s: monotonic time in seconds.
        """
        self._decay(now_s)
        self._count += 1

    def percent(self, rate_per_s: float, now_s: float) -> int:
        """Compute the recent use of a rate.

        :param rate_per_s: rate in requests per second.
        :param now_s: monotonic time in seconds.
        :returns: use in percent; above 100 while a burst is used.
        """
        self._decay(now_s)
        return round(100 * self._count / (USE_DECAY_S * rate_per_s))

    def _decay(self, now_s: float) -> None:
        elapsed_s = max(now_s - self.updated_s, 0)
        self.updated_s = now_s
        self._count *= math.exp(-elapsed_s / USE_DECAY_S)
