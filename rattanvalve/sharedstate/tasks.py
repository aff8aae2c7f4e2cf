"""Background tasks of a process; a failed task restarts on its own."""

import asyncio
import time
from collections.abc import Awaitable, Callable, Iterable

import aiohttp

from rattanvalve.channels import Address
from rattanvalve.logs import LogPart, part_logger
from rattanvalve.platform.objects import ObjectStore
from rattanvalve.sharedstate.loop_delay import LoopDelay

__all__ = ('Task', 'run_tasks')

#: Delay before a task that failed or returned is restarted.
RESTART_PAUSE_S = 1.0

Task = Callable[[], Awaitable[None]]

_log = part_logger(LogPart.PROCESS)


async def run_tasks(
    store_address: Address,
    build_tasks: Callable[[ObjectStore], Iterable[Task]],
) -> None:
    """Run the tasks of a process until cancelled; restart those that fail.

    :param store_address: address of the platform's store.
    :param build_tasks: returns the tasks, given a client of the store.
    """
    base_url = f'http://{store_address.host}:{store_address.port}'
    connector = aiohttp.TCPConnector(limit=0, keepalive_timeout=5)
    timeout = aiohttp.ClientTimeout(total=None)
    async with (
        aiohttp.ClientSession(connector=connector, timeout=timeout) as session,
        asyncio.TaskGroup() as group,
    ):
        delay = LoopDelay(time.monotonic())
        for task in (delay.run, *build_tasks(ObjectStore(base_url, session))):
            group.create_task(_run_with_restarts(task))


async def _run_with_restarts(task: Task) -> None:
    while True:
        try:
            await task()
        except Exception as error:
            _log.error('task failed', exc_info=error)
        await asyncio.sleep(RESTART_PAUSE_S)
