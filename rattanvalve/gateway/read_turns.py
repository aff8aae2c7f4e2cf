"""Order in which connections are read whose servers send without a pause."""

import asyncio

__all__ = ('ReadTurns',)


class ReadTurns:
    """Lets one connection continue in each iteration of the event loop.

    Each read of a server that sends faster than it is read costs processor
    time. Without an order, many such servers would take all of an iteration,
    and the requests of other callers would wait.
    """

    def __init__(self) -> None:
        self._lock = asyncio.Lock()

    async def wait(self) -> None:
        """Wait until this connection may continue; first come, first served."""
        async with self._lock:
            await asyncio.sleep(0)
