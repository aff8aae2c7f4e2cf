"""Clocks besides the monotonic one."""

import time

__all__ = ('boot_time_s',)


def boot_time_s() -> float:
    """Read a clock that also counts the time for which a VM is suspended.

    :returns: seconds since the VM was started.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
