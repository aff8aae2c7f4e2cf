"""Token bucket that limits the rate of one workspace shard."""

import math
from collections.abc import Iterable

from rattanvalve.errors import InvariantError

__all__ = ('RATE_WAIT_MAX_S', 'Bucket')

#: Longest wait of a request for the rate limit before it is refused.
RATE_WAIT_MAX_S = 1.0
# Floating-point rounding during a refill may leave a token slightly below 1.
_EPSILON = 1e-9


class Bucket:
    """Token bucket that starts empty.

    The admissions in any time window are at most the largest burst plus the
    integral of the rate over the window. Raising the burst therefore raises
    the capacity of the bucket but adds no tokens.

    :param rate_per_s: tokens added per second.
    :param burst: capacity of the bucket in tokens.
    :param now_s: current time in seconds.
    """

    def __init__(self, rate_per_s: float, burst: float, now_s: float) -> None:
        self.level = float(0)
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._updated_s = now_s

    @property
    def rate_per_s(self) -> float:
        """Return the refill rate.

        :returns: tokens added per second.
        """
        return self._rate_per_s

    @property
    def burst(self) -> float:
        """Return the capacity.

        :returns: largest number of tokens that the bucket holds.
        """
        return self._burst

    def take(self, now_s: float) -> bool:
        """Take one token if available.

        :param now_s: current time in seconds.
        :returns: whether the request is admitted.
        :raises InvariantError: if the level leaves its range.
        """
        self.refill(now_s)
        if self.level < 1 - _EPSILON:
            return False
        self.level = max(float(0), self.level - 1)
        if self.level > self._burst:
            raise InvariantError(f'bucket level {self.level} exceeds the burst')
        return True

    def reserve(self, wait_max_s: float, now_s: float) -> float | None:
        """Reserve one token, which may become available later.

        The level is negative while reserved tokens are outstanding.

        :param wait_max_s: longest wait in seconds.
        :param now_s: current time in seconds.
        :returns: seconds until the request may start, or ``None`` if the wait
            exceeds the limit; nothing is reserved then.
        """
        wait_s = self.wait_s(now_s)
        if wait_s > wait_max_s:
            return None
        self.level -= 1
        return wait_s

    def wait_s(self, now_s: float, ahead_count: int = 0) -> float:
        """Return the time until a request could be admitted.

        :param now_s: current time in seconds.
        :param ahead_count: requests that wait for tokens before this one.
        :returns: seconds; infinite if the burst is below one token.
        """
        self.refill(now_s)
        if self._burst < 1 - _EPSILON:
            return math.inf
        missing_tokens = ahead_count + 1 - self.level
        if missing_tokens <= _EPSILON:
            return 0
        return missing_tokens / self._rate_per_s

    def configure(self, rate_per_s: float, burst: float, now_s: float) -> None:
        """Change rate and burst.

        The change may have taken effect at any time since the last refill, so
        that period is refilled at the lower of both rates.

        :param rate_per_s: new refill rate in tokens per second.
        :param burst: new capacity in tokens.
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
        """Recompute the level from the earlier admissions.

        :param ages_s: ages of the admissions in seconds.
        :param now_s: current time in seconds.
        """
        level = float(self._burst)
        for count, age_s in enumerate(sorted(ages_s), start=1):
            level = min(level, self._burst + self._rate_per_s * age_s - count)
        self.reset_level(level, now_s)

    def reset_level(self, level: float, now_s: float) -> None:
        """Set the level, clamped to the range from 0 to the burst.

        :param level: tokens available now.
        :param now_s: current time in seconds.
        """
        self.level = min(float(self._burst), max(float(0), level))
        self._updated_s = now_s

    def withdraw(self, now_s: float) -> float:
        """Remove all available tokens.

        :param now_s: current time in seconds.
        :returns: removed tokens; 0 while reserved tokens are outstanding.
        """
        self.refill(now_s)
        tokens = max(self.level, float(0))
        self.level -= tokens
        return tokens

    def deposit(self, tokens: float, now_s: float) -> float:
        """Add tokens that were removed from another bucket.

        :param tokens: tokens to add.
        :param now_s: current time in seconds.
        :returns: tokens that exceed the capacity and were not added.
        """
        self.refill(now_s)
        added = min(tokens, self._burst - self.level)
        self.level += added
        return tokens - added

    def refill(self, now_s: float) -> None:
        """Add the tokens for the time since the last refill.

        :param now_s: current time in seconds.
        """
        elapsed_s = max(float(0), now_s - self._updated_s)
        self._updated_s = max(now_s, self._updated_s)
        self.level = min(
            self._burst,
            self.level + elapsed_s * self._rate_per_s,
        )
