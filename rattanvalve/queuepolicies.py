"""Scheduling policies of the run queue, by name."""

from collections.abc import Callable
from dataclasses import dataclass

from rattanvalve.messages import Ticket

__all__ = ('QUEUE_POLICIES', 'QueuePolicy', 'timeout_s_of')

#: Timeout of a ticket that specifies none, in seconds.
DEFAULT_TIMEOUT_S = 600.0
_MS_PER_S = 1000
#: Weight of the service of low-priority requests in the fair share of their
#: workspace. They progress at a lower rate instead of starving.
LOW_WEIGHT = 2


@dataclass(frozen=True, slots=True)
class QueuePolicy:
    """Functions that define the order of a queue.

    ``group_of`` returns the priority class and the group of a ticket; the
    groups of a class share the slots. ``rank_of`` returns the sort key of a
    request within its group from the ticket and its arrival number.
    ``weight_of`` returns the factor for the service that a request charges to
    its group. ``is_preemptive`` states whether class 0 preempts running
    requests of other classes.
    """

    group_of: Callable[[Ticket], tuple[int, str]]
    rank_of: Callable[[Ticket, int], tuple[int, ...]]
    is_preemptive: bool = False
    weight_of: Callable[[Ticket], float] = lambda ticket: 1


#: Policies by name. ``program_fair`` orders by priority class, then by fair
#: share between workspaces, then by least attained service of programs.
#: ``finish_first`` serves the high class first; the other classes share by
#: weight, and within a workspace and priority the program with the most
#: attained service goes first. ``first_come`` orders by arrival only.
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
    """Return the timeout of a ticket.

    :param ticket: ticket; a timeout of 0 selects the default.
    :returns: seconds from arrival to the end of the run.
    """
    if ticket.timeout_ms > 0:
        return ticket.timeout_ms / _MS_PER_S
    return DEFAULT_TIMEOUT_S
