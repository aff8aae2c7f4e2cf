"""Log handler that never blocks the process on a slow reader.

Lines are dropped and counted while the pipe is full or the rate limit is
exceeded. The count is logged before the next line that is written. Warnings
and errors are exempt from the rate limit.
"""

import logging
import os

from rattanvalve.logs import LineRateLimit

__all__ = ('PipeHandler',)

STANDARD_OUTPUT = 1
#: Several times the request rate of a busy VM, which logs a line per request.
LINES_PER_S_MAX = 500


class PipeHandler(logging.Handler):
    """Writes log lines to a file descriptor without blocking.

    :param descriptor: file descriptor, which is set to non-blocking mode.
    """

    def __init__(self, descriptor: int = STANDARD_OUTPUT) -> None:
        super().__init__()
        self.dropped_count = 0
        self._descriptor = descriptor
        self._unwritten = b''
        self._limit = LineRateLimit(LINES_PER_S_MAX)
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write a line, or drop and count it.

        :param record: record to format and write.
        """
        if self._is_over_rate(record) or not self._flush_unwritten():
            self.dropped_count += 1
            return
        line = f'{self.format(record)}\n'.encode()
        if self.dropped_count:
            line = self._format_dropped_count() + line
            self.dropped_count = 0
        self._unwritten = line
        self._flush_unwritten()

    def _is_over_rate(self, record: logging.LogRecord) -> bool:
        if record.levelno >= logging.WARNING:
            return False
        return not self._limit.allows(record.created)

    def _flush_unwritten(self) -> bool:
        """Write the bytes that an earlier call could not write.

        :returns: whether all of them were written.
        """
        while self._unwritten:
            try:
                written = os.write(self._descriptor, self._unwritten)
            except BlockingIOError:
                return False
            except OSError:
                # The reader closed the pipe; the remaining bytes are lost.
                self._unwritten = b''
                return False
            self._unwritten = self._unwritten[written:]
        return True

    def _format_dropped_count(self) -> bytes:
        record = logging.LogRecord(
            'rattanvalve.process',
            logging.WARNING,
            '',
            0,
            'process: log lines dropped',
            (),
            None,
        )
        record.part = 'process'
        record.dropped_count = self.dropped_count
        return f'{self.format(record)}\n'.encode()
