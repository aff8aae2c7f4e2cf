"""What the answers of an endpoint say of its health.

Endpoints fail, fall silent or turn slow while their health probe is good, and
one that fails fast looks idle. The load this answers: a part of the servers
fails or hangs while the others have room.
"""

import math
from dataclasses import dataclass, field

__all__ = ('EndpointHealth', 'UsualDurations')

#: Time after which an outcome counts for little.
OUTCOME_TIME_S = 4.0
#: Good outcomes that each endpoint is credited with.
CREDIT = 3.0
#: Share of a new duration in the average of its route.
USUAL_SHARE = 0.05


@dataclass(slots=True)
class EndpointHealth:
    """Recent outcomes and unanswered requests of one endpoint.

    All times are monotonic, in seconds.
    """

    _updated_s: float = 0
    _outcomes: float = 0
    _failures: float = 0
    _slowness: float = 0
    _unanswered: dict[str, float] = field(default_factory=dict)

    def note_sent(self, request_id: str, now_s: float) -> None:
        """Note a request that is sent.

        :param request_id: id of the request.
        :param now_s: present time.
        """
        self._unanswered[request_id] = now_s

    def note_answered(self, request_id: str) -> None:
        """Note that a request is answered or not waited for any more.

        :param request_id: id of the request.
        """
        self._unanswered.pop(request_id, None)

    def note_failure(self, now_s: float) -> None:
        """Count a request that was refused, failed or hung.

        :param now_s: present time.
        """
        self._age(now_s)
        self._outcomes += 1
        self._failures += 1
        self._slowness += 1

    def note_success(self, slowness: float, now_s: float) -> None:
        """Count a request that was served.

        :param slowness: its duration over what is usual on its route.
        :param now_s: present time.
        """
        self._age(now_s)
        self._outcomes += 1
        self._slowness += slowness

    def failure_ratio(self, now_s: float) -> float:
        """Estimate which part of new requests would fail.

        :param now_s: present time.
        :returns: 0 to 1.
        """
        kept = self._kept(now_s)
        return self._failures * kept / (self._outcomes * kept + CREDIT)

    def slowness(self, now_s: float) -> float:
        """Estimate how slow the endpoint is.

        :param now_s: present time.
        :returns: 1 for an endpoint as fast as the others.
        """
        kept = self._kept(now_s)
        total = self._slowness * kept + CREDIT
        return total / (self._outcomes * kept + CREDIT)

    def silence_s(self, now_s: float) -> float:
        """Tell how long the oldest unanswered request waits.

        :param now_s: present time.
        :returns: seconds; 0 if none waits.
        """
        oldest_s = next(iter(self._unanswered.values()), now_s)
        return now_s - oldest_s

    def _kept(self, now_s: float) -> float:
        elapsed_s = max(now_s - self._updated_s, 0)
        return math.exp(-elapsed_s / OUTCOME_TIME_S)

    def _age(self, now_s: float) -> None:
        kept = self._kept(now_s)
        self._updated_s = now_s
        self._outcomes *= kept
        self._failures *= kept
        self._slowness *= kept


class UsualDurations:
    """Average duration of the requests of each route, at all endpoints."""

    def __init__(self) -> None:
        self._durations_s: dict[str, float] = {}

    def slowness(self, route: str, duration_s: float) -> float:
        """Compare a duration with what is usual, and add it.

        :param route: name of the route.
        :param duration_s: how long a request took, in seconds.
        :returns: the duration over the average.
        """
        usual_s = self._durations_s.get(route, duration_s)
        change_s = duration_s - usual_s
        self._durations_s[route] = usual_s + USUAL_SHARE * change_s
        return duration_s / usual_s if usual_s else 1.0
