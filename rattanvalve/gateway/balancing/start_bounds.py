"""The fullness of a service up to which a program may start there.

At a fullness of 2, requests queue for about as long as they run, and a program
takes about twice its duration on idle servers.
"""

from dataclasses import dataclass

__all__ = ('BOUND_MIN', 'Start', 'start_bound')

#: A service below this fullness has free slots, and nothing is refused.
BOUND_MIN = 1.0
#: Bound of a program that states no time at which it should end, about that of
#: an average one, and the largest of any other: programs that start at a
#: fuller service make many running ones late.
BOUND_DEFAULT = 1.3
BOUND_MAX = 1.8
#: Bound of workspaces that go before all others. Endpoints refuse requests
#: themselves when they are about as full.
BOUND_FIRST = 4.0
#: Callers want a program to end after this multiple of its duration on idle
#: servers plus the added time.
OBJECTIVE_FACTOR = 1.4
OBJECTIVE_ADDED_MS = 375.0
#: Part of its slack that a program may spend in queues. The rest is left for
#: those that are longer than the mean, as load is never quite even.
SLACK_SHARE = 0.5
#: Part of the range between the smallest and the largest bound that is left
#: for each rank below the highest.
RANK_SHARE = 0.7
#: Part of that range that a workspace loses when it uses its whole rate.
USE_WEIGHT = 0.9


@dataclass(frozen=True, slots=True, kw_only=True)
class Start:
    """First request of a program.

    ``priority`` is 0 for the highest rank. ``is_first`` is set if the
    workspace goes before all others. ``finish_ms`` is the time in which the
    program should end; ``None`` if it is unknown. ``least_ms`` is the duration
    of a short program on idle servers. ``used_percent`` is the recent use of
    the workspace's rate.
    """

    priority: int = 0
    is_first: bool = False
    finish_ms: float | None = None
    least_ms: float = 0
    used_percent: int = 0


def start_bound(start: Start) -> float:
    """Compute the fullness up to which a program may start.

    :param start: first request of the program.
    :returns: requests per slot of the service, at least ``BOUND_MIN``.
    """
    if start.is_first:
        return BOUND_FIRST
    used = min(max(start.used_percent, 0), 100) / 100
    share = RANK_SHARE**start.priority * (1 - USE_WEIGHT * used)
    return BOUND_MIN + (_in_time_bound(start) - BOUND_MIN) * share


def _in_time_bound(start: Start) -> float:
    """Compute the fullness up to which a program can end in time.

    A caller that returns has less time left than the objective, down to less
    than any program takes.
    """
    if start.finish_ms is None:
        return BOUND_DEFAULT
    idle_ms = (start.finish_ms - OBJECTIVE_ADDED_MS) / OBJECTIVE_FACTOR
    slack = start.finish_ms / max(idle_ms, start.least_ms, 1) - 1
    return min(max(1 + slack * SLACK_SHARE, BOUND_MIN), BOUND_MAX)
