"""Orders of the queue before one server, by name."""

from collections.abc import Callable
from dataclasses import dataclass

from rattanvalve.messages import Ticket

__all__ = ('QUEUE_POLICIES', 'QueuePolicy', 'timeout_s_of')

#: Time limit of a ticket that names none, in seconds.
DEFAULT_TIMEOUT_S = 600.0
_MS_PER_S = 1000
#: Service of the lowest class counts this many times in the share of its
#: workspace, so that it progresses slowly instead of waiting for all others.
LOW_WEIGHT = 2


@dataclass(frozen=True, slots=True)
class QueuePolicy:
    """Functions that define an order.

    ``group_of`` names the priority class and the group that shares the slots
    with the other groups of its class; ``rank_of`` orders requests within a
    group, from a ticket and its sequence of arrival. ``weight_of`` multiplies
    the service that a group is charged with for a request. ``is_preemptive``
    tells whether class 0 takes slots from running requests of other classes.
    """

    group_of: Callable[[Ticket], tuple[int, str]]
    rank_of: Callable[[Ticket, int], tuple[int, ...]]
    is_preemptive: bool = False
    weight_of: Callable[[Ticket], float] = lambda ticket: 1


#: Orders by name; ``program_fair`` is priority class, then fair share between
#: workspaces, then least attained service between programs. ``finish_first``
#: serves the high class first, has the other classes share by weight, and
#: takes the most attained service first within a workspace.
QUEUE_POLICIES = {
    'program_fair': QueuePolicy(
        group_of=lambda ticket: (ticket.priority, ticket.workspace),
        rank_of=lambda ticket, arrival: (ticket.attained_tokens, arrival),
        is_preemptive=True,
    ),
    'finish_first': QueuePolicy(
        group_of=lambda ticket: (min(ticket.priority, 1), ticket.workspace),
        rank_of=lambda ticket, arrival: (
            ticket.priority,
            -ticket.attained_tokens,
            arrival,
        ),
        is_preemptive=True,
        weight_of=lambda ticket: LOW_WEIGHT if ticket.priority > 1 else 1,
    ),
    'first_come': QueuePolicy(
        group_of=lambda ticket: (0, ''),
        rank_of=lambda ticket, arrival: (arrival,),
    ),
}


def timeout_s_of(ticket: Ticket) -> float:
    """Give the time limit of a ticket.

    :param ticket: ticket as received.
    :returns: seconds from arrival to the end of the run.
    """
    if ticket.timeout_ms > 0:
        return ticket.timeout_ms / _MS_PER_S
    return DEFAULT_TIMEOUT_S
