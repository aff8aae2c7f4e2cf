"""The operator sets a tenant's burst to 0; its programs cannot go on."""

import asyncio
from pathlib import Path

import fleet as f

PER_S = 20
BURST = 20
#: configApplyMs and quotaWindowS, after which the new limit binds.
SETTLED_S = 2 + 5
PROGRAMS = 4
TRIES = 6
OTHER_KEY = 'key-of-shop'


def _config(version, burst):
    config = f.config(version, perS=PER_S, burst=burst)
    config['tenants'].append(
        {
            'name': 'shop',
            'apiKeys': [OTHER_KEY],
            'priority': 1,
            'perS': PER_S,
            'burst': BURST,
        }
    )
    return config


async def play(record):
    """Begin programs, change the limit, try to continue the programs."""
    fleet = f.Fleet(record, gateways=2)
    try:
        return await _play(fleet, record)
    finally:
        fleet.stop()


async def _play(fleet, record):
    for number in range(2):
        server = await fleet.add_server(f'i-model-{number}', 'models')
        server.answer = server.serve_stream
    await fleet.start(_config(7, BURST))
    await asyncio.sleep(5)
    turns = {}
    for number in range(PROGRAMS):
        answer = await fleet.turn(f'program-{number}')
        await asyncio.sleep(0.3)
        if answer.status == 200:
            turns[f'program-{number}'] = answer.request_id
    if len(turns) < PROGRAMS:
        record('not all first turns were answered whole')
        return f.NOT_RUN
    burst = 0 if f.has_trouble() else BURST
    fleet.store.put('config', 'main', _config(8, burst))
    record(f'the store has confirmed version 8: farm has a burst of {burst}')
    await asyncio.sleep(SETTLED_S)
    reached = await _begin_others(fleet)
    lost = 0
    for program, previous in turns.items():
        lost += not await _reaches_server(fleet, program, previous)
    record(f'first turns of the other tenant that reached a server: {reached}')
    record(f'{lost} of {PROGRAMS} kept turns reached none in {TRIES} tries')
    return f.BROKEN if lost and reached == 10 else f.HOLDS


async def _begin_others(fleet):
    reached = 0
    for number in range(10):
        answer = await fleet.turn(f'other-{number}', key=OTHER_KEY)
        reached += answer.status == 200
        await asyncio.sleep(0.2)
    return reached


async def _reaches_server(fleet, program, previous):
    for number in range(TRIES):
        answer = await fleet.turn(
            program, previous, gateway=f'gateway-{number % 2}'
        )
        if answer.status == 200:
            return True
        await asyncio.sleep(0.5)
    return False


if __name__ == '__main__':
    f.run_case(Path(__file__).parent, play)
