"""Delays requests that arrive while a gateway starts.

After a power loss, callers reconnect before the gateway has read the rules and
connected to the turn stores, which takes a fraction of a second. A refusal
would cost them one of their few retries, and another gateway cannot help,
because all gateways start at the same time.
"""

import asyncio
import time
from collections.abc import Callable

__all__ = ('StartWait',)

#: Longest delay. A start that takes longer depends on something unreachable,
#: and the request is handled without further delay.
START_WAIT_MAX_S = 1.0
#: Interval at which a delayed request checks again.
CHECK_INTERVAL_S = 0.02


class StartWait:
    """Delays requests while the process starts.

    :param is_ready: whether the process can serve programs.
    :param started_s: monotonic time of the start in seconds.
    """

    def __init__(self, is_ready: Callable[[], bool], started_s: float) -> None:
        self._is_ready = is_ready
        self._deadline_s = started_s + START_WAIT_MAX_S

    def must_wait(self, now_s: float) -> bool:
        """Return whether a request has to wait.

        :param now_s: monotonic time in seconds.
        :returns: whether the process is still starting.
        """
        return now_s < self._deadline_s and not self._is_ready()

    async def wait(self) -> None:
        """Wait until requests can be served or the longest delay is over."""
        while True:
            if not self.must_wait(time.monotonic()):
                return
            await asyncio.sleep(CHECK_INTERVAL_S)
