"""Clocks in addition to the standard monotonic clock."""

import time

__all__ = ('boot_time_s',)


def boot_time_s() -> float:
    """Return the time since boot, including time in which the VM is suspended.

    :returns: seconds since the VM was booted.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
