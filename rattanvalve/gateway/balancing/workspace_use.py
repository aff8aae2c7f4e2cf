"""How heavily workspaces use their rates, as their last grants said."""

__all__ = ('WorkspaceUse',)

#: Age at which a figure is ignored. A workspace without a recent grant counts
#: as one that uses nothing.
USE_MAX_AGE_S = 3.0
#: Number of workspaces above which old figures are deleted.
WORKSPACES_MAX = 1000


class WorkspaceUse:
    """Recent use of their rates by workspaces."""

    def __init__(self) -> None:
        #: Percent and monotonic time in seconds, by workspace.
        self._used: dict[str, tuple[int, float]] = {}

    def record(self, workspace: str, used_percent: int, now_s: float) -> None:
        """Record the use that a grant stated.

        :param workspace: name of the workspace.
        :param used_percent: recent use in percent of the rate.
        :param now_s: monotonic time in seconds.
        """
        if len(self._used) >= WORKSPACES_MAX:
            self._used = {
                name: (percent, used_s)
                for name, (percent, used_s) in self._used.items()
                if now_s - used_s < USE_MAX_AGE_S
            }
        self._used[workspace] = (used_percent, now_s)

    def used_percent(self, workspace: str, now_s: float) -> int:
        """Return the recent use of the rate of a workspace.

        :param workspace: name of the workspace.
        :param now_s: monotonic time in seconds.
        :returns: percent of the rate; 0 if it is not known.
        """
        percent, used_s = self._used.get(workspace, (0, now_s))
        return percent if now_s - used_s < USE_MAX_AGE_S else 0
