"""Estimates of service times and prefill speed, from observed responses.

The speed of engines differs by a large factor, so no speed is configured.
Prefilling a shared prompt again can take a large part of a request on one
engine and almost no time on another, which decides whether a cached prompt
is worth a longer queue.
"""

from collections import defaultdict
from dataclasses import dataclass, field

__all__ = ('CostTable', 'ServiceCosts')

#: Initial estimates of the time for which a request holds a slot.
ENGINE_HOLD_MS = 250.0
SERVICE_HOLD_MS = 60.0
#: Default prefill time of a prompt token while the samples are not
#: sufficient, and the bounds of the estimate from samples.
READ_MS_PER_TOKEN = 0.01
READ_MIN_MS_PER_TOKEN = 0.0005
READ_MAX_MS_PER_TOKEN = 0.05
#: Smoothing factor of the moving average of the slot hold time.
HOLD_SMOOTHING = 0.05
#: Factor that each new sample applies to the weight of the earlier ones.
SAMPLE_DECAY = 0.99
#: Total sample weight below which the slope is unknown.
SAMPLE_WEIGHT_MIN = 12.0
#: Sum of squared deviations of the uncached tokens below which the slope is
#: unknown. Above it the slope is precise enough even if waits of some ten
#: milliseconds add noise to the samples.
SQUARED_DEVIATIONS_MIN_TOKENS2 = 1e7


@dataclass(slots=True)
class _DecayingRegression:
    """Linear regression with exponentially decaying sample weights."""

    weight: float = 0
    mean_x: float = 0
    mean_y: float = 0
    variance: float = 0
    covariance: float = 0

    def add(self, x_value: float, y_value: float) -> None:
        """Add a sample and reduce the weight of the earlier ones.

        :param x_value: independent variable, in tokens.
        :param y_value: dependent variable, in milliseconds.
        """
        self.weight = self.weight * SAMPLE_DECAY + 1
        share = 1 / self.weight
        deviation_x = x_value - self.mean_x
        deviation_y = y_value - self.mean_y
        self.mean_x += share * deviation_x
        self.mean_y += share * deviation_y
        remaining = 1 - share
        self.variance = remaining * (self.variance + share * deviation_x**2)
        self.covariance = remaining * (
            self.covariance + share * deviation_x * deviation_y
        )

    def slope(self) -> float | None:
        """Compute the slope of the regression line.

        :returns: milliseconds per token; ``None`` if the samples are too few
            or too similar.
        """
        is_spread = self.variance * self.weight > SQUARED_DEVIATIONS_MIN_TOKENS2
        if self.weight < SAMPLE_WEIGHT_MIN or not is_spread:
            return None
        return self.covariance / self.variance


@dataclass(slots=True)
class ServiceCosts:
    """Cost estimates of one service.

    ``hold_ms`` is the average time for which a request holds a slot.
    """

    hold_ms: float
    _read_regression: _DecayingRegression = field(
        default_factory=_DecayingRegression
    )

    @property
    def read_ms_per_token(self) -> float:
        """Estimate the prefill time of one prompt token.

        :returns: milliseconds per token, within fixed bounds; a default while
            the samples are not sufficient.
        """
        slope = self._read_regression.slope()
        if slope is None:
            return READ_MS_PER_TOKEN
        return min(max(slope, READ_MIN_MS_PER_TOKEN), READ_MAX_MS_PER_TOKEN)

    def record_head_latency(
        self, uncached_tokens: int, duration_ms: float
    ) -> None:
        """Add the time to the head of a response to the prefill estimate.

        :param uncached_tokens: prompt tokens that the engine had to prefill.
        :param duration_ms: milliseconds from sending to the head.
        """
        self._read_regression.add(uncached_tokens, duration_ms)

    def record_duration(self, duration_ms: float) -> None:
        """Add the duration of a complete response to the average.

        :param duration_ms: milliseconds from sending to the end.
        """
        self.hold_ms += HOLD_SMOOTHING * (duration_ms - self.hold_ms)


class CostTable:
    """Cost estimates by service name, separate for engines and services."""

    def __init__(self) -> None:
        self._engines: dict[str, ServiceCosts] = defaultdict(
            lambda: ServiceCosts(ENGINE_HOLD_MS),
        )
        self._services: dict[str, ServiceCosts] = defaultdict(
            lambda: ServiceCosts(SERVICE_HOLD_MS),
        )

    def get(self, service: str, *, is_generation: bool) -> ServiceCosts:
        """Return the cost estimates of a service; created on first use.

        :param service: name of the service.
        :param is_generation: whether its servers are model engines.
        :returns: the estimates, shared by all requests of the service; the
            caller adds its samples to them.
        """
        table = self._engines if is_generation else self._services
        return table[service]
