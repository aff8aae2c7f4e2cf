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


@contextmanager
def virtual_time():
    """Yield a virtual loop, whose time is also the monotonic time."""
    loop = VirtualLoop()
    try:
        with mock.patch.object(time, 'monotonic', loop.time):
            yield loop
            pending = asyncio.all_tasks(loop)
            for task in pending:
                task.cancel()
            loop.run_until_complete(
                asyncio.gather(*pending, return_exceptions=True)
            )
    finally:
        loop.close()
