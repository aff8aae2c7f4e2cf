"""A tenant's usage cap loses its burst while programs of the tenant run.

Programs of two tenants begin. With trouble the operator then sends a desired
state in which the cap of the first tenant has the same ``perS`` as before and no
``burst``. The programs of that tenant go on with their next turns, far below
``perS``.
"""

import asyncio
import random
import sys
import time
from pathlib import Path

from fleet2.consumers import (
    Consumer,
    desired_state,
    model_service,
    new_id,
    turn_headers,
    turn_route,
)
from fleet2.machines import run_case
from fleet2.servers import Server

CAPPED, OTHER = 'hule930', 'bosa114'
KEYS = {CAPPED: '3fexd9dnn2ctnfzs989a', OTHER: 'nu6wsjnbanfqasnmgkcu'}
PER_S = 40
EVENT_COUNT = 8
OUTPUT_MAX = EVENT_COUNT * 9
BUDGET = 2304
PROGRAM_COUNT = 20
FIRST_TURN_COUNT = 40
CONFIG_APPLY_S = 2.0
#: Time that a program has left for its second turn.
FINISH_S = 12.0


def state(version, *, has_burst):
    """Return a desired state; the cap of one tenant may have no burst."""
    built = desired_state(
        version, [turn_route('chat', 'huvo11a')], [model_service('huvo11a')],
        list(KEYS.items()),
    )
    for tenant in built['tenants']:
        tenant |= {'perS': PER_S, 'burst': PER_S}
        if tenant['name'] == CAPPED and not has_burst:
            del tenant['burst']
    return built


async def send_turn(consumer, fronts, program, previous=None, finish_s=FINISH_S):
    """Send a turn with its retries; return all attempts."""
    headers = turn_headers(program, 's', 900, OUTPUT_MAX, BUDGET)
    if previous:
        headers['Previous_Turn'] = previous
    return [
        attempt
        async for attempt in consumer.turn(
            fronts, '/chat/4b', b'[input]', finish_s, **headers
        )
    ]


async def send_firsts(consumer, fronts, count, rate_per_s):
    """Send the first turns of programs; return program and attempts."""
    programs = [new_id()[:6] for _ in range(count)]
    tasks = []
    for program in programs:
        tasks.append(
            asyncio.ensure_future(send_turn(consumer, fronts, program))
        )
        await asyncio.sleep(1 / rate_per_s)
    return list(zip(programs, await asyncio.gather(*tasks), strict=True))


def is_served(attempts):
    """Return whether a turn was answered whole."""
    return attempts[-1][1].status == 200 and attempts[-1][1].is_whole


async def main(fleet, has_trouble):
    """Run the case; return whether LOST was broken."""
    await fleet.start_store()
    fleet.store.put('config', 'main', state(7, has_burst=True))
    servers = [
        Server(
            fleet.store, fleet.record, f'i-{new_id()[:8]}', 'huvo11a', zone,
            fleet.server_address(), lambda: random.uniform(0.03, 0.06), slots=12,
            event_count=EVENT_COUNT,
        )
        for zone in fleet.zones
    ]
    for server in servers:
        await server.start()
    for zone in fleet.zones:
        fleet.add_machine('storage', zone, bootstrap=True)
    fronts = [
        fleet.add_machine('front', zone, bootstrap=True) for zone in fleet.zones
    ]
    await fleet.wait_ready()
    await asyncio.sleep(5)
    consumers = {name: Consumer(fleet, key) for name, key in KEYS.items()}
    begun = await send_firsts(consumers[CAPPED], fronts, PROGRAM_COUNT, rate_per_s=5)
    begun = [(program, turns) for program, turns in begun if is_served(turns)]
    fleet.record.say('programs begun', tenant=CAPPED, count=len(begun))
    if len(begun) < PROGRAM_COUNT / 2:
        raise RuntimeError('too few programs began')
    if has_trouble:
        fleet.store.put('config', 'main', state(9, has_burst=False))
        fleet.record.say('desired state', version=9, tenant=CAPPED, per_s=PER_S)
    ended_s = time.monotonic()
    await asyncio.sleep(2 * CONFIG_APPLY_S)

    async def go_on(program, turns):
        await asyncio.sleep(random.uniform(0, 4))
        return await send_turn(consumers[CAPPED], fronts, program, turns[-1][0])

    *seconds, firsts = await asyncio.gather(
        *(go_on(program, turns) for program, turns in begun),
        send_firsts(consumers[OTHER], fronts, FIRST_TURN_COUNT, rate_per_s=5),
    )
    return judge(fleet, servers, begun, seconds, firsts, ended_s)


def judge(fleet, servers, begun, seconds, firsts, ended_s):
    """Apply LOST: a turn within its retention reaches no server in five tries."""
    reached = {
        run['request'].headers['request-id'] for server in servers for run in server.runs
    }
    lost = 0
    for (program, turns), attempts in zip(begun, seconds, strict=True):
        statuses = [answer.status for _, answer in attempts]
        is_reached = any(request_id in reached for request_id, _ in attempts)
        is_lost = {404, 410} & set(statuses) or (len(attempts) >= 5 and not is_reached)
        if is_lost:
            lost += 1
            fleet.record.say(
                'LOST', program=program, previous=turns[-1][0], statuses=statuses,
                age_s=round(attempts[-1][1].ended_s - ended_s, 1),
            )
    served = sum(is_served(attempts) for _, attempts in firsts)
    fleet.record.say(
        'end', lost=lost, of=len(begun), first_turns_served=served,
        of_first_turns=len(firsts),
    )
    return lost > 0 and served >= 0.9 * len(firsts)


if __name__ == '__main__':
    sys.exit(run_case(main, Path(__file__).resolve().parent))
