"""Three disks are lost one after the other; a turn's chain is lost with them.

Three storage machines, five front machines. Each program sends turn T1, within
``retentionS`` after it T2, which continues it, and within ``retentionS`` after T2
its next turn T3, through other front machines. With trouble each storage machine
loses its disk once, after the one before has caught up.
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
from fleet2.servers import Server, event_data

KEY = '3fexd9dnn2ctnfzs989a'
EVENT_COUNT = 8
OUTPUT_MAX = EVENT_COUNT * 9
BUDGET = 2304
PROGRAM_COUNT = 240
#: Programs of one turn that come before them.
OTHER_COUNT = 160
INPUT_BYTES = 30_000
TURNS_PER_S = 130
#: While the first disk is lost.
SECOND_TURNS_PER_S = 200
RETENTION_S = 60.0
CATCH_UP_S = 4.5
#: How long a storage machine is away, as in the site file.
AWAY_S = 1.0
#: From the first T1 to the first loss, and to the last one, for which the
#: retention of T1 has to be over at the others.
FIRST_LOSS_S = 49.0
LAST_LOSS_S = 89.0
FINISH_S = 12.0
FIRST_TURN_COUNT = 30
SERVER_SLOTS = 12


class Program:
    """A program and the turns of it that were answered whole."""

    def __init__(self):
        self.id = new_id()[:8]
        self.chain = []
        self.ended_s = []


def whole_turn(request_id, body):
    """Return what a later turn's server has to receive of a turn."""
    events = range(1, EVENT_COUNT + 1)
    output = ''.join(f'{event_data(request_id, number)}\n' for number in events)
    return body + output.encode()


async def send_turn(consumer, fronts, program):
    """Send the next turn of a program with its retries; return all attempts."""
    body = f'[input {len(program.chain)} of {program.id} {"x" * INPUT_BYTES}]'.encode()
    headers = turn_headers(program.id, 's', 900, OUTPUT_MAX, BUDGET)
    if program.chain:
        headers['Previous_Turn'] = program.chain[-1][0]
    attempts = []
    shift = random.randrange(len(fronts))
    async for request_id, answer in consumer.turn(
        fronts[shift:] + fronts[:shift], '/chat/4b', body, FINISH_S, **headers
    ):
        attempts.append((request_id, answer))
    if attempts[-1][1].status == 200 and attempts[-1][1].is_whole:
        program.chain.append((attempts[-1][0], body))
        program.ended_s.append(time.monotonic())
    return attempts


async def send_all(consumer, fronts, programs, rate_per_s=TURNS_PER_S):
    """Send one turn of each program, at an even rate."""
    tasks = []
    for program in programs:
        tasks.append(asyncio.ensure_future(send_turn(consumer, fronts, program)))
        await asyncio.sleep(1 / rate_per_s)
    return await asyncio.gather(*tasks)


async def until(moment_s):
    """Sleep until a monotonic time."""
    await asyncio.sleep(max(moment_s - time.monotonic(), 0))


async def lose_disk(fleet, name, has_trouble):
    """Let a storage machine lose its disk and come back; return when it did."""
    if has_trouble:
        fleet.lose_disk(name)
    await asyncio.sleep(AWAY_S)
    if has_trouble:
        fleet.start_program(name)
    return time.monotonic()


async def main(fleet, has_trouble):
    """Run the case; return whether LOST was broken."""
    await fleet.start_store()
    fleet.store.put(
        'config',
        'main',
        desired_state(
            7, [turn_route('chat', 'huvo11a')], [model_service('huvo11a')],
            [('hule930', KEY)],
        ),
    )
    servers = [
        Server(
            fleet.store, fleet.record, f'i-{new_id()[:8]}', 'huvo11a', zone,
            fleet.server_address(), lambda: random.uniform(0.01, 0.02),
            slots=SERVER_SLOTS, event_count=EVENT_COUNT,
        )
        for zone in fleet.zones * 2
    ]
    for server in servers:
        await server.start()
    stores = [
        fleet.add_machine('storage', zone, bootstrap=True) for zone in fleet.zones
    ]
    fronts = [
        fleet.add_machine('front', zone, bootstrap=True)
        for zone in (*fleet.zones, *fleet.zones[:2])
    ]
    earlier, later = [fronts[0], fronts[3], fronts[1]], [fronts[2], fronts[4]]
    await fleet.wait_ready()
    await asyncio.sleep(1)
    consumer = Consumer(fleet, KEY)
    programs = [Program() for _ in range(PROGRAM_COUNT)]
    began_s = time.monotonic()
    others = [Program() for _ in range(OTHER_COUNT)]
    await send_all(consumer, earlier, others + programs)
    programs = [program for program in programs if len(program.chain) == 1]
    fleet.record.say('T1', served=len(programs))
    await until(began_s + FIRST_LOSS_S)
    loss = asyncio.ensure_future(lose_disk(fleet, stores[0], has_trouble))
    await asyncio.sleep(AWAY_S * 0.9)
    random.shuffle(programs)
    await send_all(consumer, earlier, programs, SECOND_TURNS_PER_S)
    back_s = await loss
    programs = [program for program in programs if len(program.chain) == 2]
    fleet.record.say('T2', served=len(programs))
    programs = [
        program
        for program in programs
        if program.ended_s[1] - program.ended_s[0] < RETENTION_S
    ]
    if len(programs) < PROGRAM_COUNT * 0.9:
        raise RuntimeError('too few programs were served')
    await until(back_s + CATCH_UP_S + 1)
    await lose_disk(fleet, stores[1], has_trouble)
    await until(began_s + LAST_LOSS_S)
    back_s = await lose_disk(fleet, stores[2], has_trouble)
    await until(back_s + CATCH_UP_S + 0.5)
    firsts = [Program() for _ in range(FIRST_TURN_COUNT)]
    turns, _ = await asyncio.gather(
        send_all(consumer, later, programs),
        send_all(consumer, later, firsts, rate_per_s=10),
    )
    return judge(fleet, servers, programs, turns, firsts)


def judge(fleet, servers, programs, turns, firsts):
    """Apply LOST as written."""
    runs = {
        run['request'].headers['request-id']: run['request'].body
        for server in servers
        for run in server.runs
    }
    lost = 0
    for program, attempts in zip(programs, turns, strict=True):
        if attempts[-1][1].ended_s - program.ended_s[1] > RETENTION_S:
            raise RuntimeError('the run was too slow')
        reached = [request_id for request_id, _ in attempts if request_id in runs]
        statuses = [answer.status for _, answer in attempts]
        if {404, 410} & set(statuses) or (len(attempts) >= 5 and not reached):
            lost += 1
            age_s = round(attempts[0][1].began_s - program.ended_s[1], 1)
            fleet.record.say(
                'LOST', program=program.id, previous=program.chain[1][0],
                age_s=age_s, statuses=statuses,
            )
        chain = b''.join(whole_turn(*turn) for turn in program.chain[:2])
        for request_id in reached:
            if not runs[request_id].startswith(chain):
                fleet.record.say('UNASKED', request=request_id)
                lost += 1
    served = sum(bool(program.chain) for program in firsts)
    fleet.record.say(
        'T3', lost=lost, of=len(programs), first_turns_served=served,
        of_first_turns=len(firsts),
    )
    return bool(lost) and served >= 0.9 * len(firsts)


if __name__ == '__main__':
    sys.exit(run_case(main, Path(__file__).resolve().parent))
