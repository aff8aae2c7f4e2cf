"""Retry budget of a workspace shard."""

from rattanvalve.errors import InvariantError

__all__ = ('RETRY_RATIO', 'RetryBudget')

#: Ratio of retries to requests. The limit keeps retries from multiplying the
#: load of an overloaded service.
RETRY_RATIO = 0.1
#: Initial balance; it lets a shard with few requests retry.
INITIAL_RETRY_COUNT = 3
#: Upper bound of the balance of unused retries.
_MAX_RETRY_COUNT = 50


class RetryBudget:
    """Retry budget that requests fill; starts with the initial balance."""

    def __init__(self) -> None:
        self.balance = float(INITIAL_RETRY_COUNT)

    def earn(self) -> None:
        """Add the share of one request to the balance."""
        self.balance = min(_MAX_RETRY_COUNT, self.balance + RETRY_RATIO)

    def spend(self) -> bool:
        """Take one retry from the balance if it is sufficient.

        :returns: whether the retry is allowed.
        :raises InvariantError: if the balance becomes negative.
        """
        if self.balance < 1:
            return False
        self.balance -= 1
        if self.balance < 0:
            raise InvariantError('the retry budget is negative')
        return True
