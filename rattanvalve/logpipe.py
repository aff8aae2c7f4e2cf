"""Log lines on standard output that never make the process wait.

While nobody reads the output, and beyond a number of lines per second, lines
are dropped and counted; the count is written as a line of its own once a line
is taken again. Warnings and errors are not held back by the rate.
"""

import logging
import os

from rattanvalve.logs import LineLimit

__all__ = ('PipeHandler',)

STANDARD_OUTPUT = 1
#: One line for each request of a busy VM, several times over.
LINES_PER_S_MAX = 500


class PipeHandler(logging.Handler):
    """Writes lines to a file descriptor without blocking.

    :param descriptor: file descriptor; it is made non-blocking.
    """

    def __init__(self, descriptor: int = STANDARD_OUTPUT) -> None:
        super().__init__()
        self.dropped_count = 0
        self._descriptor = descriptor
        self._rest = b''
        self._limit = LineLimit(LINES_PER_S_MAX)
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write a line, or count it as dropped.

        :param record: what to write.
        """
        if self._is_over_rate(record) or not self._flush_rest():
            self.dropped_count += 1
            return
        line = f'{self.format(record)}\n'.encode()
        if self.dropped_count:
            line = self._dropped_line() + line
            self.dropped_count = 0
        self._rest = line
        self._flush_rest()

    def _is_over_rate(self, record: logging.LogRecord) -> bool:
        if record.levelno >= logging.WARNING:
            return False
        return not self._limit.allows(record.created)

    def _flush_rest(self) -> bool:
        """Write what is left of earlier lines.

        :returns: whether nothing is left.
        """
        while self._rest:
            try:
                written = os.write(self._descriptor, self._rest)
            except BlockingIOError:
                return False
            except OSError:
                # The reader has gone for good, and so has the rest.
                self._rest = b''
                return False
            self._rest = self._rest[written:]
        return True

    def _dropped_line(self) -> bytes:
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
