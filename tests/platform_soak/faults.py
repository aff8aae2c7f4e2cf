"""Faults of the soak; each lasts a random time, and several overlap."""

import asyncio
import signal
from contextlib import contextmanager, nullcontext

from rattanvalve.fault_proxy import TO_CALLER, TO_TARGET

__all__ = (
    'EXCLUSIVE_FAULTS',
    'FAULTS',
    'STORE_FAULTS',
    'inject_fault',
    'kill_all',
)

DURATION_MIN_S = 0.1
DURATION_MAX_S = 2.5
DELAY_S = 0.15
STOP_TIMEOUT_S = 6.0
STORE_OUTAGE_PROBABILITY = 0.5
#: Additional time of a store outage after all processes are restarted.
STORE_OUTAGE_EXTRA_S = 2.0


async def _kill(world, name, duration_s):
    world.children.kill(name)
    await asyncio.sleep(duration_s)
    world.restart(name)


async def _pause(world, name, duration_s):
    world.children.signal(name, signal.SIGSTOP)
    await asyncio.sleep(duration_s)
    world.children.signal(name, signal.SIGCONT)


async def _terminate(world, name, duration_s):
    world.children.signal(name, signal.SIGTERM)
    async with asyncio.timeout(STOP_TIMEOUT_S):
        while name in world.children.alive():  # noqa: ASYNC110 - no event
            await asyncio.sleep(0.05)
    world.restart(name)


async def _wipe_disk(world, name, duration_s):
    world.children.kill(name)
    world.wipe(name)
    await asyncio.sleep(duration_s)
    world.restart(name)


async def _send_sighup(world, name, duration_s):
    world.children.signal(name, signal.SIGHUP)
    await asyncio.sleep(duration_s)


def _proxy_fault(apply_fault):
    async def fault(world, name, duration_s):
        proxies = world.server_proxies | world.store_proxies
        apply_fault(proxies[name])
        await asyncio.sleep(duration_s)
        proxies[name].heal()

    return fault


@contextmanager
def _store_unreachable(world):
    for proxy in world.store_proxies.values():
        proxy.cut()
    yield
    for proxy in world.store_proxies.values():
        proxy.heal()


async def _store_down(world, name, duration_s):
    with _store_unreachable(world):
        await asyncio.sleep(duration_s)


async def _drop_store_history(world, name, duration_s):
    world.store.drop_history()
    await asyncio.sleep(duration_s)


async def _lose_store_response(world, name, duration_s):
    world.store.lost_answers += 1
    await asyncio.sleep(duration_s)


async def kill_all(world, rng):
    """Kill and restart all processes, half of the times in a store outage.

    :param world: processes, proxies and stand-ins of the soak.
    :param rng: random generator of the duration and the store outage.
    """
    names = (*world.stores, *world.gateways)
    for name in names:
        world.children.kill(name)
    is_store_down = rng.random() < STORE_OUTAGE_PROBABILITY
    with _store_unreachable(world) if is_store_down else nullcontext():
        await asyncio.sleep(rng.uniform(DURATION_MIN_S, DURATION_MAX_S))
        for name in names:
            world.restart(name)
        if is_store_down:
            await asyncio.sleep(STORE_OUTAGE_EXTRA_S)


_cut = _proxy_fault(lambda proxy: proxy.cut())
_stall = _proxy_fault(lambda proxy: proxy.stall())
_stall_responses = _proxy_fault(
    lambda proxy: proxy.stall(frozenset((TO_CALLER,)))
)
_stall_requests = _proxy_fault(
    lambda proxy: proxy.stall(frozenset((TO_TARGET,)))
)
_delay = _proxy_fault(lambda proxy: proxy.delay(DELAY_S))

#: Function and group of targets of each fault; a group is an attribute of the
#: world.
FAULTS = {
    'gateway is killed': (_kill, 'gateways'),
    'gateway is paused': (_pause, 'gateways'),
    'gateway is stopped': (_terminate, 'gateways'),
    'gateway gets SIGHUP': (_send_sighup, 'gateways'),
    'turn store is killed': (_kill, 'stores'),
    'turn store is paused': (_pause, 'stores'),
    'turn store is stopped': (_terminate, 'stores'),
    'turn store loses its disk': (_wipe_disk, 'stores'),
    'server connections are reset': (_cut, 'server_proxies'),
    'server is silent': (_stall, 'server_proxies'),
    'server answers are held': (_stall_responses, 'server_proxies'),
    'server gets nothing': (_stall_requests, 'server_proxies'),
    'server is delayed': (_delay, 'server_proxies'),
    'store refuses one process': (_cut, 'store_proxies'),
    'store is silent for one process': (_stall, 'store_proxies'),
    'store is delayed for one process': (_delay, 'store_proxies'),
    'store is down': (_store_down, 'store_proxies'),
    'store forgets its history': (_drop_store_history, 'store_proxies'),
    'store loses answers': (_lose_store_response, 'store_proxies'),
}
#: A turn store may lose its disk only while no other turn store has a fault.
EXCLUSIVE_FAULTS = frozenset(('turn store loses its disk',))
#: Faults of turn stores; a majority of them must remain without faults.
STORE_FAULTS = frozenset(
    name for name, (_, group) in FAULTS.items() if group == 'stores'
)


async def inject_fault(world, name, target):
    """Inject one fault for a random time and wait until it has ended.

    :param world: processes, proxies and stand-ins of the soak.
    :param name: key of :data:`FAULTS`.
    :param target: name of the process or proxy.
    """
    inject, _ = FAULTS[name]
    duration_s = world.rng.uniform(DURATION_MIN_S, DURATION_MAX_S)
    await inject(world, target, duration_s)
