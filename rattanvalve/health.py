"""Health of the server beside an endpoint process."""

__all__ = ('HealthState',)

#: Consecutive failed checks after which a server is unhealthy. One failure is
#: tolerated, because a busy server may miss a single check.
MAX_FAILURE_COUNT = 2


class HealthState:
    """Health from consecutive checks; unhealthy until the first success."""

    def __init__(self) -> None:
        self.is_healthy = False
        self._failure_count = 0

    def observe(self, is_success: bool) -> bool:
        """Update the health with the result of a check.

        :param is_success: whether the check succeeded.
        :returns: whether the health has changed.
        """
        self._failure_count = 0 if is_success else self._failure_count + 1
        was_healthy = self.is_healthy
        self.is_healthy = is_success or (
            was_healthy and self._failure_count < MAX_FAILURE_COUNT
        )
        return self.is_healthy != was_healthy
