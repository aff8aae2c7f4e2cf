"""Graceful shutdown of an entry process, which interrupts no request."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from rattanvalve.blackboard import Blackboard
from rattanvalve.logs import LogPart, part_logger
from rattanvalve.open_requests import OpenRequests

__all__ = ('Shutdown',)

_log = part_logger(LogPart.PROCESS)

_Step = Callable[[], Awaitable[None]]


@dataclass(slots=True, kw_only=True)
class Shutdown:
    """Steps and time limits of a graceful shutdown.

    :param blackboard: state of the process; its readiness is withdrawn.
    :param open_requests: registry of open requests.
    :param leave: leaves the view and hands the ledgers over.
    :param stop_listening: stops accepting connections from callers.
    :param close_idle: closes connections without a request in flight.
    :param grace_s: seconds until the load balancer routes no new callers
        here.
    :param timeout_s: time limit in seconds of all steps after the grace
        period.
    """

    blackboard: Blackboard
    open_requests: OpenRequests
    leave: _Step
    stop_listening: _Step
    close_idle: _Step
    grace_s: float
    timeout_s: float

    async def run(self) -> bool:
        """Withdraw readiness and drain the open requests.

        :returns: whether all requests finished before the timeout.
        """
        self.blackboard.readiness.is_stopping = True
        self.blackboard.publish()
        _log.info('stopping, new callers are accepted during the grace period')
        await asyncio.sleep(self.grace_s)
        try:
            async with asyncio.timeout(self.timeout_s):
                await self._finish()
        except TimeoutError:
            _log.warning('shutdown timed out with requests still open')
            return False
        return True

    async def _finish(self) -> None:
        # Open requests are drained even if leaving the view fails.
        try:
            await self.leave()
        except Exception as error:
            _log.error('leaving the view failed', exc_info=error)
        await self.stop_listening()
        await self.open_requests.wait_idle()
        await self.close_idle()
        # Requests may have arrived on open connections before they were closed.
        await self.open_requests.wait_idle()
