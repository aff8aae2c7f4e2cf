"""Processor time and bytes of a running process, from ``/proc``."""

from dataclasses import dataclass
from pathlib import Path

__all__ = ('ProcessUsage', 'usage_of')

_NS_PER_S = 1_000_000_000


@dataclass(frozen=True, slots=True)
class ProcessUsage:
    """Totals since the start of a process.

    ``transferred_bytes`` counts what it read and wrote by system calls, which
    for a uvloop process are its sockets and its log.
    """

    processor_s: float
    transferred_bytes: int

    def since(self, earlier: 'ProcessUsage') -> 'ProcessUsage':
        """Give the usage between two readings.

        :param earlier: first reading.
        :returns: differences.
        """
        return ProcessUsage(
            self.processor_s - earlier.processor_s,
            self.transferred_bytes - earlier.transferred_bytes,
        )


def usage_of(pid: int) -> ProcessUsage:
    """Read the totals of a process.

    :param pid: process id.
    :returns: totals.
    :raises OSError: if the process has ended.
    """
    folder = Path('/proc') / str(pid)
    spent_ns = sum(
        int(path.read_text().split()[0])
        for path in folder.glob('task/*/schedstat')
    )
    lines = (folder / 'io').read_text().splitlines()
    counts = dict(line.split(': ') for line in lines)
    return ProcessUsage(
        spent_ns / _NS_PER_S,
        int(counts['rchar']) + int(counts['wchar']),
    )
