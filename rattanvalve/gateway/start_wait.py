"""Requests that come while a gateway starts.

After a loss of power, callers come back before the gateway has read the rules
and has met the turn stores, which takes a fraction of a second. A refusal then
costs them one of their few tries, and all other gateways start as well.
"""

import asyncio
import time
from collections.abc import Callable

__all__ = ('StartWait',)

#: A start that takes longer than this waits for something that is away.
START_LIMIT_S = 1.0
CHECK_INTERVAL_S = 0.02


class StartWait:
    """Holds requests while the process starts.

    :param is_able: whether the process can serve programs.
    :param started_s: monotonic time of the start in seconds.
    """

    def __init__(self, is_able: Callable[[], bool], started_s: float) -> None:
        self._is_able = is_able
        self._until_s = started_s + START_LIMIT_S

    def is_due(self, now_s: float) -> bool:
        """Return whether a request waits now.

        :param now_s: monotonic time in seconds.
        :returns: whether the process is still starting.
        """
        return now_s < self._until_s and not self._is_able()

    async def wait(self) -> None:
        """Wait until requests can be served or the start has taken too long."""
        while True:
            if not self.is_due(time.monotonic()):
                return
            await asyncio.sleep(CHECK_INTERVAL_S)
