"""Logs delays of the timers of a process's event loop."""

import asyncio
import time

from rattanvalve.logs import LogPart, part_logger

__all__ = ('LoopDelay',)

CHECK_INTERVAL_S = 0.1
#: Shorter delays are not logged.
LOGGED_DELAY_MIN_S = 0.05
#: Minimum time between two log lines; a line has the longest delay since the
#: previous one.
LOG_INTERVAL_S = 5.0

_log = part_logger(LogPart.PROCESS)


class LoopDelay:
    """Tracks the longest timer delay since the last log line.

    :param started_s: monotonic time of the start in seconds.
    """

    def __init__(self, started_s: float) -> None:
        self._next_log_s = started_s
        self._longest_s: float = 0

    def record(self, delay_s: float, now_s: float) -> None:
        """Record the delay of a timer; log the longest one if a line is due.

        :param delay_s: delay in seconds.
        :param now_s: monotonic time in seconds.
        """
        self._longest_s = max(self._longest_s, delay_s)
        if self._longest_s < LOGGED_DELAY_MIN_S or now_s < self._next_log_s:
            return
        _log.warning(
            'event loop late',
            extra={'delay_ms': round(self._longest_s * 1000)},
        )
        self._longest_s = 0
        self._next_log_s = now_s + LOG_INTERVAL_S

    async def run(self) -> None:
        """Measure the delay of a periodic timer until cancelled."""
        while True:
            due_s = time.monotonic() + CHECK_INTERVAL_S
            await asyncio.sleep(CHECK_INTERVAL_S)
            now_s = time.monotonic()
            self.record(now_s - due_s, now_s)
