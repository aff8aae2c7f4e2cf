"""Forecast of the requests that running programs still need.

A program is useful only if all of its requests are served. A workspace over
its rate therefore starts fewer programs, and the running ones get tokens for
their remaining requests.
"""

import math
from dataclasses import dataclass, field

__all__ = ('ProgramDemand',)

#: Time constant of the average of requests per program. It spans enough
#: programs of a workspace that starts one every few seconds.
AVERAGE_DECAY_S = 60.0
#: Time constant with which requests that do not arrive cease to be expected.
EXPECTATION_DECAY_S = 5.0
#: Running programs may also count on the tokens that are refilled within this
#: horizon. It is multiplied by the shrink factor with each request of a running
#: program that gets no token, and grows again by the growth rate per second.
HORIZON_MAX_S = 5.0
HORIZON_MIN_S = 0.3
HORIZON_SHRINK = 0.8
HORIZON_GROWTH = 0.15
PRIOR_REQUESTS_PER_PROGRAM = 12.0
#: Time constant with which starts that were asked for cease to count.
ASKED_DECAY_S = 5.0
#: Capacity to keep for each recent start of higher priority, in programs.
HEADROOM_PER_START = 0.25
#: Weight of the initial estimate, in programs.
PRIOR_WEIGHT = 3.0


@dataclass(slots=True)
class ProgramDemand:
    """Estimates the requests that running programs still need of one capacity.

    :param updated_s: monotonic time of the last update in seconds.
    :param expected_count: requests that are expected of running programs.
    :param horizon_s: refill time in seconds that running programs may use.
    """

    updated_s: float
    expected_count: float = 0
    horizon_s: float = HORIZON_MAX_S
    _starts: float = PRIOR_WEIGHT
    _requests: float = PRIOR_WEIGHT * PRIOR_REQUESTS_PER_PROGRAM
    #: Recent starts that were asked for, also refused ones, by priority.
    _asked: dict[int, float] = field(default_factory=dict)

    def requests_per_program(self) -> float:
        """Compute the average number of requests of a program.

        :returns: requests, including the first one.
        """
        return self._requests / self._starts

    def record_asked(self, priority: int, now_s: float) -> None:
        """Count a request that asks for the start of a program.

        :param priority: rank of the program; 0 is the highest.
        :param now_s: monotonic time in seconds.
        """
        self._decay(now_s)
        self._asked[priority] = self._asked.get(priority, 0) + 1

    def urgent_headroom(self, priority: int, now_s: float) -> float:
        """Compute the capacity to keep for starts of higher priority.

        :param priority: rank of the program that would start.
        :param now_s: monotonic time in seconds.
        :returns: capacity in programs; 0 if none of higher priority was asked
            for lately.
        """
        self._decay(now_s)
        return HEADROOM_PER_START * sum(
            count for rank, count in self._asked.items() if rank < priority
        )

    def record_start(self, now_s: float) -> None:
        """Count the first request of a program.

        :param now_s: monotonic time in seconds.
        """
        self._decay(now_s)
        self._starts += 1
        self._requests += 1
        self.expected_count += self.requests_per_program() - 1

    def record_continuation(self, now_s: float) -> None:
        """Count a later request of a program.

        :param now_s: monotonic time in seconds.
        """
        self._decay(now_s)
        self._requests += 1
        self.expected_count = max(self.expected_count - 1, 0)

    def record_shortage(self, now_s: float) -> None:
        """Count a later request of a program that got no token in time.

        :param now_s: monotonic time in seconds.
        """
        self._decay(now_s)
        shorter_s = self.horizon_s * HORIZON_SHRINK
        self.horizon_s = max(shorter_s, HORIZON_MIN_S)

    def start_deficit(
        self,
        level: float,
        rate_per_s: float,
        now_s: float,
        headroom_programs: float = 0,
    ) -> float:
        """Compute how many tokens are missing for a new program to start.

        :param level: tokens in the bucket; a token admits one request.
        :param rate_per_s: refill rate in tokens per second.
        :param now_s: monotonic time in seconds.
        :param headroom_programs: capacity to keep free, in programs.
        :returns: missing tokens; 0 or less if the program may start.
        """
        self._decay(now_s)
        programs = 1 + headroom_programs
        if self.expected_count < 1:
            # No running program needs the tokens.
            return 0
        needed = self.expected_count + programs * self.requests_per_program()
        return needed - level - rate_per_s * self.horizon_s

    def _decay(self, now_s: float) -> None:
        elapsed_s = max(now_s - self.updated_s, 0)
        self.updated_s = now_s
        longer_s = self.horizon_s + elapsed_s * HORIZON_GROWTH
        self.horizon_s = min(longer_s, HORIZON_MAX_S)
        self.expected_count *= math.exp(-elapsed_s / EXPECTATION_DECAY_S)
        decay_factor = math.exp(-elapsed_s / AVERAGE_DECAY_S)
        self._starts = (
            PRIOR_WEIGHT + (self._starts - PRIOR_WEIGHT) * decay_factor
        )
        base = PRIOR_WEIGHT * PRIOR_REQUESTS_PER_PROGRAM
        self._requests = base + (self._requests - base) * decay_factor
        asked_factor = math.exp(-elapsed_s / ASKED_DECAY_S)
        for priority in self._asked:
            self._asked[priority] *= asked_factor
