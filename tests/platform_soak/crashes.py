"""Servers of the soak that a request crashes, and the caller that sends it."""

import asyncio
import random
import time

from rattanvalve.standins.crashes import MARKER

__all__ = ('CRASHING_SERVICE', 'restart_crashed', 'send_deadly')

#: Service whose servers crash. Gateways reach them without a proxy, as a proxy
#: would accept connections for a crashed server.
CRASHING_SERVICE = 'frail'
#: Mean time between two attempts of the request that crashes servers.
DEADLY_INTERVAL_MEAN_S = 0.5
DOWN_MIN_S = 0.5
DOWN_MAX_S = 1.5
CHECK_INTERVAL_S = 0.1


async def send_deadly(caller, rng: random.Random):
    """Send a request that crashes servers until cancelled.

    :param caller: caller that sends it.
    :param rng: random generator of the times.
    """
    while True:
        await asyncio.sleep(rng.expovariate(1 / DEADLY_INTERVAL_MEAN_S))
        await caller.send_once(f'/{CRASHING_SERVICE}/x', MARKER)


async def restart_crashed(world, rng: random.Random):
    """Start crashed servers again after a while, until cancelled.

    :param world: processes, proxies and stand-ins of the soak.
    :param rng: random generator of the times.
    """
    while True:
        await asyncio.sleep(CHECK_INTERVAL_S)
        for server in world.servers.values():
            if server.is_down():
                await asyncio.sleep(rng.uniform(DOWN_MIN_S, DOWN_MAX_S))
                await server.start_again()
                world.register(server, time.time_ns() // 1_000_000)
