"""CPU time and bytes transferred of a running process, from ``/proc``."""

from dataclasses import dataclass
from pathlib import Path

__all__ = ('ProcessUsage', 'read_usage')

_NS_PER_S = 1_000_000_000


@dataclass(frozen=True, slots=True)
class ProcessUsage:
    """Resource usage of a process since its start.

    ``processor_s`` is the CPU time of all current threads in seconds.
    ``transferred_bytes`` counts the bytes read and written by system calls,
    which in a uvloop process are those of its sockets and its log.
    """

    processor_s: float
    transferred_bytes: int

    def since(self, earlier: 'ProcessUsage') -> 'ProcessUsage':
        """Return the usage between two readings of the same process.

        :param earlier: earlier reading.
        :returns: differences to the earlier reading.
        """
        return ProcessUsage(
            self.processor_s - earlier.processor_s,
            self.transferred_bytes - earlier.transferred_bytes,
        )


def read_usage(pid: int) -> ProcessUsage:
    """Read the resource usage of a process.

    :param pid: process id.
    :returns: usage since the start of the process.
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
