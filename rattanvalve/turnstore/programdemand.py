"""Expected demand of the programs of a workspace that have begun.

A program is useful only as a whole. So a workspace over its rate begins
fewer programs, and those that have begun find room for their requests.
"""

import math
from dataclasses import dataclass

__all__ = ('ProgramDemand',)

#: Time over which the requests per program are averaged.
AVERAGE_TIME_S = 20.0
#: Time after which requests that have not come are not expected any more.
EXPECTED_TIME_S = 5.0
#: The room that comes within the horizon is for the begun programs, too. The
#: horizon shrinks with each request of a begun program that finds no room,
#: and grows again in time.
HORIZON_MAX_S = 2.5
HORIZON_MIN_S = 0.3
HORIZON_SHRINK = 0.8
HORIZON_GROWTH = 0.15
REQUESTS_FIRST_GUESS = 12.0
#: Weight of the first guess, in programs.
GUESS_WEIGHT = 3.0


@dataclass(slots=True)
class ProgramDemand:
    """Requests that the begun programs of one workspace still need.

    :param updated_s: monotonic time of the last change in seconds.
    """

    updated_s: float
    expected_count: float = 0
    horizon_s: float = HORIZON_MAX_S
    _starts: float = GUESS_WEIGHT
    _requests: float = GUESS_WEIGHT * REQUESTS_FIRST_GUESS

    def per_program(self) -> float:
        """Give the average number of requests of a program.

        :returns: requests, the first one included.
        """
        return self._requests / self._starts

    def note_start(self, now_s: float) -> None:
        """Count the first request of a program.

        :param now_s: monotonic time in seconds.
        """
        self._age(now_s)
        self._starts += 1
        self._requests += 1
        self.expected_count += self.per_program() - 1

    def note_continuation(self, now_s: float) -> None:
        """Count a later request of a program.

        :param now_s: monotonic time in seconds.
        """
        self._age(now_s)
        self._requests += 1
        self.expected_count = max(self.expected_count - 1, 0)

    def note_shortage(self, now_s: float) -> None:
        """Count a later request of a program that found no room.

        :param now_s: monotonic time in seconds.
        """
        self._age(now_s)
        shorter_s = self.horizon_s * HORIZON_SHRINK
        self.horizon_s = max(shorter_s, HORIZON_MIN_S)

    def missing_for_start(
        self,
        level: float,
        rate_per_s: float,
        now_s: float,
        more_programs: float = 0,
    ) -> float:
        """Tell how many requests of room a new program lacks.

        :param level: requests that may be made at once.
        :param rate_per_s: requests that are added per second.
        :param now_s: monotonic time in seconds.
        :param more_programs: room that is to be left, in programs.
        :returns: requests; 0 or less if the program may begin.
        """
        self._age(now_s)
        programs = 1 + more_programs
        if self.expected_count < 1:
            # Nobody else needs the room.
            return 0
        needed = self.expected_count + programs * self.per_program()
        return needed - level - rate_per_s * self.horizon_s

    def _age(self, now_s: float) -> None:
        elapsed_s = max(now_s - self.updated_s, 0)
        self.updated_s = now_s
        longer_s = self.horizon_s + elapsed_s * HORIZON_GROWTH
        self.horizon_s = min(longer_s, HORIZON_MAX_S)
        self.expected_count *= math.exp(-elapsed_s / EXPECTED_TIME_S)
        kept = math.exp(-elapsed_s / AVERAGE_TIME_S)
        self._starts = GUESS_WEIGHT + (self._starts - GUESS_WEIGHT) * kept
        base = GUESS_WEIGHT * REQUESTS_FIRST_GUESS
        self._requests = base + (self._requests - base) * kept
