"""Faults of the soak; each ends by itself, and several overlap."""

import asyncio
import signal
from contextlib import contextmanager, nullcontext

from rattanvalve.fault_proxy import TO_CALLER, TO_TARGET

__all__ = ('ALONE', 'FAULTS', 'STORE_FAULTS', 'kill_all', 'play_fault')

LENGTH_MIN_S = 0.1
LENGTH_MAX_S = 2.5
DELAY_S = 0.15
STOP_LIMIT_S = 6.0
STORE_AWAY_SHARE = 0.5
#: How long the store stays away after all processes have started again.
STORE_AWAY_S = 2.0


async def _kill(world, name, length_s):
    world.children.kill(name)
    await asyncio.sleep(length_s)
    world.restart(name)


async def _pause(world, name, length_s):
    world.children.signal(name, signal.SIGSTOP)
    await asyncio.sleep(length_s)
    world.children.signal(name, signal.SIGCONT)


async def _terminate(world, name, length_s):
    world.children.signal(name, signal.SIGTERM)
    async with asyncio.timeout(STOP_LIMIT_S):
        while name in world.children.alive():  # noqa: ASYNC110 - no event
            await asyncio.sleep(0.05)
    world.restart(name)


async def _wipe(world, name, length_s):
    world.children.kill(name)
    world.wipe(name)
    await asyncio.sleep(length_s)
    world.restart(name)


async def _hang_up(world, name, length_s):
    world.children.signal(name, signal.SIGHUP)
    await asyncio.sleep(length_s)


def _proxied(begin):
    async def fault(world, name, length_s):
        proxies = world.server_proxies | world.store_proxies
        begin(proxies[name])
        await asyncio.sleep(length_s)
        proxies[name].heal()

    return fault


@contextmanager
def _store_cut(world):
    for proxy in world.store_proxies.values():
        proxy.cut()
    yield
    for proxy in world.store_proxies.values():
        proxy.heal()


async def _store_down(world, name, length_s):
    with _store_cut(world):
        await asyncio.sleep(length_s)


async def _store_forgets(world, name, length_s):
    world.store.drop_history()
    await asyncio.sleep(length_s)


async def _store_loses_answers(world, name, length_s):
    world.store.lost_answers += 1
    await asyncio.sleep(length_s)


async def kill_all(world, rng):
    """Kill all processes; the store is away at half of the starts.

    :param world: the soak's parts.
    :param rng: draws how long it takes and whether the store is away.
    """
    names = (*world.stores, *world.gateways)
    for name in names:
        world.children.kill(name)
    is_store_away = rng.random() < STORE_AWAY_SHARE
    with _store_cut(world) if is_store_away else nullcontext():
        await asyncio.sleep(rng.uniform(LENGTH_MIN_S, LENGTH_MAX_S))
        for name in names:
            world.restart(name)
        if is_store_away:
            await asyncio.sleep(STORE_AWAY_S)


_cut = _proxied(lambda proxy: proxy.cut())
_stall = _proxied(lambda proxy: proxy.stall())
_mute = _proxied(lambda proxy: proxy.stall(frozenset((TO_CALLER,))))
_deaf = _proxied(lambda proxy: proxy.stall(frozenset((TO_TARGET,))))
_delay = _proxied(lambda proxy: proxy.delay(DELAY_S))

#: Name of a fault to its function and the group of its targets.
FAULTS = {
    'gateway is killed': (_kill, 'gateways'),
    'gateway is paused': (_pause, 'gateways'),
    'gateway is stopped': (_terminate, 'gateways'),
    'gateway gets SIGHUP': (_hang_up, 'gateways'),
    'turn store is killed': (_kill, 'stores'),
    'turn store is paused': (_pause, 'stores'),
    'turn store is stopped': (_terminate, 'stores'),
    'turn store loses its disk': (_wipe, 'stores'),
    'server connections are reset': (_cut, 'server_proxies'),
    'server is silent': (_stall, 'server_proxies'),
    'server answers are held': (_mute, 'server_proxies'),
    'server gets nothing': (_deaf, 'server_proxies'),
    'server is delayed': (_delay, 'server_proxies'),
    'store refuses one process': (_cut, 'store_proxies'),
    'store is silent for one process': (_stall, 'store_proxies'),
    'store is delayed for one process': (_delay, 'store_proxies'),
    'store is down': (_store_down, 'store_proxies'),
    'store forgets its history': (_store_forgets, 'store_proxies'),
    'store loses answers': (_store_loses_answers, 'store_proxies'),
}
#: A disk may only be lost while no other turn store is disturbed.
ALONE = frozenset(('turn store loses its disk',))
#: Faults of turn stores; a majority of them stays undisturbed.
STORE_FAULTS = frozenset(
    name for name, (_, group) in FAULTS.items() if group == 'stores'
)


async def play_fault(world, name, target):
    """Play one fault and undo it.

    :param world: the soak's parts.
    :param name: name of the fault.
    :param target: what it strikes.
    """
    play, _ = FAULTS[name]
    length_s = world.rng.uniform(LENGTH_MIN_S, LENGTH_MAX_S)
    await play(world, target, length_s)
