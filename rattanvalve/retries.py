"""Retry budget of a workspace shard."""

from rattanvalve.errors import InvariantError

__all__ = ('RETRY_RATIO', 'RetryBudget')

#: Retries are limited to this part of the requests, so that retries cannot
#: multiply the load of an overloaded service.
RETRY_RATIO = 0.1
#: A shard with few requests may still retry this often.
FLOOR_COUNT = 3
#: Unused retries do not pile up beyond this count.
_CAP_COUNT = 50


class RetryBudget:
    """Retries earned by requests; starts with the floor."""

    def __init__(self) -> None:
        self.balance = float(FLOOR_COUNT)

    def earn(self) -> None:
        """Count one request."""
        self.balance = min(_CAP_COUNT, self.balance + RETRY_RATIO)

    def spend(self) -> bool:
        """Take one retry if there is one.

        :returns: whether the retry is allowed.
        :raises InvariantError: if the balance becomes negative.
        """
        if self.balance < 1:
            return False
        self.balance -= 1
        if self.balance < 0:
            raise InvariantError('negative retry budget')
        return True
