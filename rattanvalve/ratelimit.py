"""Strict rate limit of one workspace shard."""

import math
from collections.abc import Iterable

from rattanvalve.errors import InvariantError

__all__ = ('RATE_WAIT_MAX_S', 'Bucket')

#: A request within the rate waits at most this long instead of being refused.
RATE_WAIT_MAX_S = 1.0
# Refilling in floating point may leave a whole token short by rounding.
_EPSILON = 1e-9


class Bucket:
    """Token bucket that starts empty.

    In any window the admissions are at most the largest burst plus the
    integral of the rate over the window. A larger burst therefore adds room,
    but no tokens.

    :param rate_per_s: tokens added per second.
    :param burst: largest level in tokens.
    :param now_s: current time in seconds.
    """

    def __init__(self, rate_per_s: float, burst: float, now_s: float) -> None:
        self.level = float(0)
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._updated_s = now_s

    @property
    def rate_per_s(self) -> float:
        """Give the rate.

        :returns: tokens added per second.
        """
        return self._rate_per_s

    def take(self, now_s: float) -> bool:
        """Admit one request if a token is there.

        :param now_s: current time in seconds.
        :returns: whether the request is admitted.
        :raises InvariantError: if the level leaves its range.
        """
        self.refill(now_s)
        if self.level < 1 - _EPSILON:
            return False
        self.level = max(float(0), self.level - 1)
        if self.level > self._burst:
            raise InvariantError(f'bucket level {self.level} above the burst')
        return True

    def take_ahead(self, wait_max_s: float, now_s: float) -> float | None:
        """Admit one request for the time at which its token is there.

        The level falls below 0 by what is promised.

        :param wait_max_s: longest wait in seconds.
        :param now_s: current time in seconds.
        :returns: seconds until the request may go, ``None`` if that is too
            long.
        """
        wait_s = self.wait_s(now_s)
        if wait_s > wait_max_s:
            return None
        self.level -= 1
        return wait_s

    def wait_s(self, now_s: float, ahead_count: int = 0) -> float:
        """Tell when a request could be admitted.

        :param now_s: current time in seconds.
        :param ahead_count: requests that wait for tokens before this one.
        :returns: seconds; infinite if the burst is below one request.
        """
        self.refill(now_s)
        if self._burst < 1 - _EPSILON:
            return math.inf
        missing = ahead_count + 1 - self.level
        if missing <= _EPSILON:
            return 0
        return missing / self._rate_per_s

    def configure(self, rate_per_s: float, burst: float, now_s: float) -> None:
        """Change rate and burst.

        The change may have taken effect at any time since the last call, so
        that time is counted at the lower rate.

        :param rate_per_s: tokens added per second from now on.
        :param burst: largest level in tokens from now on.
        :param now_s: current time in seconds.
        """
        if (rate_per_s, burst) == (self._rate_per_s, self._burst):
            return
        self._rate_per_s = min(self._rate_per_s, rate_per_s)
        self.refill(now_s)
        self._rate_per_s = rate_per_s
        self._burst = burst
        self.level = min(self.level, burst)

    def restore(self, ages_s: Iterable[float], now_s: float) -> None:
        """Set the level implied by all earlier admissions.

        :param ages_s: ages of the admissions in seconds.
        :param now_s: current time in seconds.
        """
        level = float(self._burst)
        for count, age_s in enumerate(sorted(ages_s), start=1):
            level = min(level, self._burst + self._rate_per_s * age_s - count)
        self.assume(level, now_s)

    def assume(self, level: float, now_s: float) -> None:
        """Continue from a known level, cut to its range.

        :param level: tokens.
        :param now_s: current time in seconds.
        """
        self.level = min(float(self._burst), max(float(0), level))
        self._updated_s = now_s

    def refill(self, now_s: float) -> None:
        """Add the tokens of the time that has passed.

        :param now_s: current time in seconds.
        """
        elapsed_s = max(float(0), now_s - self._updated_s)
        self._updated_s = max(now_s, self._updated_s)
        self.level = min(
            self._burst,
            self.level + elapsed_s * self._rate_per_s,
        )
