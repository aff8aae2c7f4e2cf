"""Health of the server beside an endpoint process."""

__all__ = ('HealthState',)

#: Failed checks in a row after which a server is unhealthy. One lost answer
#: of a busy server is no reason to move its work.
MAX_FAILURE_COUNT = 2


class HealthState:
    """Judges checks; a server is unhealthy until its first good check."""

    def __init__(self) -> None:
        self.is_healthy = False
        self._failure_count = 0

    def observe(self, is_good: bool) -> bool:
        """Take the result of a check.

        :param is_good: whether the server answered the check.
        :returns: whether the health has changed.
        """
        self._failure_count = 0 if is_good else self._failure_count + 1
        was_healthy = self.is_healthy
        self.is_healthy = is_good or (
            was_healthy and self._failure_count < MAX_FAILURE_COUNT
        )
        return self.is_healthy != was_healthy
