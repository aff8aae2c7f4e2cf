"""Bounds on numbers that other programs state.

A number outside of its bounds counts as the nearest one, so that one value does
not make the rest of its configuration unusable. Within the bounds, no quotient
is infinite and each number fits into the messages between processes.
"""

__all__ = (
    'BURST_MAX',
    'EVENT_TOKENS_MAX',
    'RATE_MAX_PER_S',
    'RATE_MIN_PER_S',
    'RETENTION_MAX_S',
    'TIMEOUT_MAX_MS',
    'TOKENS_MAX',
    'VERSION_MAX',
    'WEIGHT_MAX',
    'clamp',
)

#: Lowest rate that is a limit; 0 means no limit. About a request in 11 days.
RATE_MIN_PER_S = 1e-6
RATE_MAX_PER_S = 1e9
BURST_MAX = 1e9
#: One day.
TIMEOUT_MAX_MS = 86_400_000.0
#: One year.
RETENTION_MAX_S = 31_536_000.0
#: Largest integer that all JSON implementations represent exactly.
TOKENS_MAX = 2**53
EVENT_TOKENS_MAX = 1_000_000_000
WEIGHT_MAX = 1e9
#: Largest number that a message field holds.
VERSION_MAX = 2**63 - 1


def clamp(number: float, lowest: float, highest: float) -> float:
    """Return the number within bounds that is nearest to a number.

    :param number: any number; ``nan`` counts as the lowest.
    :param lowest: lower bound.
    :param highest: upper bound.
    :returns: the number or one of the bounds.
    """
    # ``max`` returns its first argument if the second one is ``nan``.
    return min(max(lowest, number), highest)
