"""Tells which workspaces have bought priority over the others."""

from rattanvalve.sharedstate.rules import TrafficRules, Workspace

__all__ = ('has_bought_priority',)


def has_bought_priority(
    workspace: Workspace | None, rules: TrafficRules
) -> bool:
    """Check whether a workspace goes before others on every route.

    :param workspace: workspace of a request; ``None`` on an open route.
    :param rules: rules with all routes and workspaces.
    :returns: whether its priority is at least that of any route, and above
        that of some other workspace.
    """
    if workspace is None or workspace.priority is None:
        return False
    highest = min((route.priority for route in rules.routes), default=0)
    if workspace.priority > highest:
        return False
    others = [other.priority for other in rules.workspaces]
    set_priorities = [one for one in others if one is not None]
    is_highest = workspace.priority <= min(set_priorities, default=0)
    has_lower = None in others or max(set_priorities, default=0) > (
        workspace.priority
    )
    return is_highest and has_lower
