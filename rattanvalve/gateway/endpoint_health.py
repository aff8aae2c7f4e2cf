"""Passive health checks: endpoint health from the outcomes of requests.

An endpoint may fail, hang or become slow while its health probe succeeds, and
an endpoint that fails fast looks idle to load balancing. These statistics let
placement prefer the remaining endpoints while they have capacity.
"""

import math
from dataclasses import dataclass, field

__all__ = ('AverageDurations', 'EndpointHealth')

#: Time constant of the exponential decay of past outcomes.
OUTCOME_DECAY_S = 4.0
#: Successes of normal speed that are added to the outcomes of each endpoint,
#: so that a few requests do not decide its ratios.
PRIOR_SUCCESSES = 3.0
#: Smoothing factor of the moving average of the durations of a route.
DURATION_SMOOTHING = 0.05


@dataclass(slots=True)
class EndpointHealth:
    """Decayed outcomes and unanswered requests of one endpoint.

    All times are monotonic, in seconds.
    """

    _updated_s: float = 0
    _outcome_weight: float = 0
    _failure_weight: float = 0
    _slowness_sum: float = 0
    _sent_times_s: dict[str, float] = field(default_factory=dict)
    _head_s: float = -math.inf

    def record_sent(self, request_id: str, now_s: float) -> None:
        """Record that a request is sent and awaits its response.

        :param request_id: id of the request.
        :param now_s: current time.
        """
        self._sent_times_s[request_id] = now_s

    def record_answered(self, request_id: str) -> None:
        """Record that a request has a response or was abandoned; idempotent.

        :param request_id: id of the request.
        """
        self._sent_times_s.pop(request_id, None)

    def record_head(self, request_id: str, now_s: float) -> None:
        """Record that the endpoint sent the head of a response.

        :param request_id: id of the request.
        :param now_s: current time.
        """
        self._head_s = now_s
        self.record_answered(request_id)

    def has_answered_since(self, start_s: float) -> bool:
        """Return whether the endpoint has answered any request since a time.

        :param start_s: the time.
        :returns: whether the head of a response arrived then or later.
        """
        return self._head_s >= start_s

    def record_failure(self, now_s: float) -> None:
        """Count a request that was refused, failed or hung.

        :param now_s: current time.
        """
        self._apply_decay(now_s)
        self._outcome_weight += 1
        self._failure_weight += 1
        self._slowness_sum += 1

    def record_success(self, slowness: float, now_s: float) -> None:
        """Count a request that was served.

        :param slowness: its duration divided by the average of its route.
        :param now_s: current time.
        """
        self._apply_decay(now_s)
        self._outcome_weight += 1
        self._slowness_sum += slowness

    def failure_ratio(self, now_s: float) -> float:
        """Estimate the share of new requests that would fail.

        :param now_s: current time.
        :returns: ratio from 0 to 1.
        """
        decay = self._decay(now_s)
        return (
            self._failure_weight
            * decay
            / (self._outcome_weight * decay + PRIOR_SUCCESSES)
        )

    def slowness(self, now_s: float) -> float:
        """Estimate the slowness of the endpoint relative to the others.

        :param now_s: current time.
        :returns: ratio of durations; 1 for an endpoint of average speed.
        """
        decay = self._decay(now_s)
        total = self._slowness_sum * decay + PRIOR_SUCCESSES
        return total / (self._outcome_weight * decay + PRIOR_SUCCESSES)

    def oldest_unanswered_s(self, now_s: float) -> float:
        """Compute the age of the oldest unanswered request.

        :param now_s: current time.
        :returns: seconds; 0 if no request is unanswered.
        """
        oldest_s = next(iter(self._sent_times_s.values()), now_s)
        return now_s - oldest_s

    def _decay(self, now_s: float) -> float:
        elapsed_s = max(now_s - self._updated_s, 0)
        return math.exp(-elapsed_s / OUTCOME_DECAY_S)

    def _apply_decay(self, now_s: float) -> None:
        decay = self._decay(now_s)
        self._updated_s = now_s
        self._outcome_weight *= decay
        self._failure_weight *= decay
        self._slowness_sum *= decay


class AverageDurations:
    """Moving average of request durations by route, over all endpoints."""

    def __init__(self) -> None:
        self._durations_s: dict[str, float] = {}

    def add(self, route: str, duration_s: float) -> float:
        """Add a duration to the average of a route.

        :param route: name of the route.
        :param duration_s: duration of a request in seconds.
        :returns: the duration divided by the average before this call; 1 if
            that average is 0.
        """
        average_s = self._durations_s.get(route, duration_s)
        change_s = duration_s - average_s
        self._durations_s[route] = average_s + DURATION_SMOOTHING * change_s
        return duration_s / average_s if average_s else 1.0
