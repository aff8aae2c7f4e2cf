"""Event loop whose clock jumps to the next timer instead of waiting."""

import asyncio
import selectors
import time
from contextlib import contextmanager
from unittest import mock


class _JumpingSelector(selectors.SelectSelector):
    """Selector that advances a clock by the time that it should wait."""

    def __init__(self):
        super().__init__()
        self.now_s = 1000.0

    def select(self, timeout=None):
        """Advance the clock; no file is ever waited for."""
        assert timeout is not None, 'all tasks wait without a timer'
        self.now_s += max(timeout, 0)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop on virtual time, for tasks without real input and output."""

    def __init__(self):
        self.clock = _JumpingSelector()
        super().__init__(self.clock)

    def time(self):
        """Return the virtual time in seconds."""
        return self.clock.now_s


async def _cancel_all(tasks):
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


@contextmanager
def virtual_time():
    """Yield a virtual loop, whose time is also the monotonic time."""
    loop = VirtualLoop()
    try:
        with mock.patch.object(time, 'monotonic', loop.time):
            yield loop
            loop.run_until_complete(_cancel_all(asyncio.all_tasks(loop)))
    finally:
        loop.close()
