"""Logs how late the event loop of a process runs its timers."""

import asyncio
import time

from rattanvalve.logs import LogPart, part_logger

__all__ = ('LoopDelay',)

CHECK_INTERVAL_S = 0.1
#: A shorter delay is not worth a line.
DELAY_MIN_S = 0.05
#: One line tells the longest delay of this time.
LINE_INTERVAL_S = 5.0

_log = part_logger(LogPart.PROCESS)


class LoopDelay:
    """Longest delay of a timer since the last line.

    :param started_s: monotonic time of the start in seconds.
    """

    def __init__(self, started_s: float) -> None:
        self._line_s = started_s
        self._longest_s: float = 0

    def note(self, delay_s: float, now_s: float) -> None:
        """Note how late a timer was, and write a line when one is due.

        :param delay_s: delay in seconds.
        :param now_s: monotonic time in seconds.
        """
        self._longest_s = max(self._longest_s, delay_s)
        if self._longest_s < DELAY_MIN_S or now_s < self._line_s:
            return
        _log.warning(
            'event loop late',
            extra={'delay_ms': round(self._longest_s * 1000)},
        )
        self._longest_s = 0
        self._line_s = now_s + LINE_INTERVAL_S

    async def run(self) -> None:
        """Measure until cancelled."""
        while True:
            due_s = time.monotonic() + CHECK_INTERVAL_S
            await asyncio.sleep(CHECK_INTERVAL_S)
            now_s = time.monotonic()
            self.note(now_s - due_s, now_s)
