"""Turns are continued at another front machine while store machines are added.

A turn that was answered whole must never get 404 while it is kept.
"""

import asyncio
import random
import sys
from pathlib import Path

FOLDER = Path(__file__).parent
sys.path.insert(0, str(FOLDER.parent / 'standins'))

from callers import Callers  # noqa: E402
from deployment import (  # noqa: E402
    ZONES,
    CannotRunError,
    desired_state,
    route,
    run_case,
)
from placement import program_ids  # noqa: E402

#: Programs that run at once before and after the machines have joined.
FEW_PROGRAMS = 4
MANY_PROGRAMS = 16
#: Rounds, each with a deployment of its own.
ROUND_COUNT = 12
WARM_UP_S = 0.5
#: Time after the first of the machines has joined.
RUN_S = 1.5
JOIN_TIMEOUT_S = 10.0
POLL_S = 0.005
ADDED_COUNT = 3
#: Turns of a round below which it shows nothing.
CONTINUED_MIN = 150
#: Time between two turns of a program.
THINK_S = 0.015


async def case(deployment, is_troubled):
    turns = {'retainContext': True, 'retentionS': 60}
    config = desired_state([route('chat', 'stream', 'models', 4000, **turns)])
    deployment.stop_timeout_s = 0.0
    await deployment.start(config, {'models': 6})
    fronts = deployment.of_class('front')
    present = [machine.name for machine in deployment.of_class('storage')]
    added = [
        deployment.add_machine('storage', ZONES[number], 10 + number)
        for number in range(ADDED_COUNT)
    ]
    programs = program_ids('p', present, [machine.name for machine in added])
    rng = random.Random(1)
    counts = {'continued': 0}
    violations = []
    async with Callers(deployment) as callers:
        stopping = asyncio.Event()

        async def run_programs():
            while not stopping.is_set():
                program = next(programs)
                front = rng.choice(fronts)
                answer = await callers.turn(front, program)
                for _ in range(3):
                    if not answer.is_served:
                        break
                    await asyncio.sleep(THINK_S)
                    # The next turn arrives through a different zone.
                    others = [f for f in fronts if f.zone != front.zone]
                    front = rng.choice(others)
                    previous = answer.request_id
                    answer = await callers.turn(
                        front, program, previous=previous
                    )
                    counts['continued'] += 1
                    if answer.status in (404, 410):
                        violations.append(
                            f'LOST: {answer.request_id} got {answer.status} '
                            f'at {front.name}, though {previous} was '
                            'answered whole before'
                        )
                await asyncio.sleep(THINK_S)

        def run(count):
            return [asyncio.create_task(run_programs()) for _ in range(count)]

        tasks = run(FEW_PROGRAMS)
        await asyncio.sleep(WARM_UP_S)
        if is_troubled:
            for machine in added:
                deployment.launch(machine)
            async with asyncio.timeout(JOIN_TIMEOUT_S):
                while len(deployment.store.names('turnstores')) == len(present):
                    await asyncio.sleep(POLL_S)
        tasks += run(MANY_PROGRAMS)
        await asyncio.sleep(RUN_S)
        stopping.set()
        await asyncio.gather(*tasks)
    deployment.record.say(
        f'{counts["continued"]} turns continued one that was answered whole; '
        f'members now {deployment.store.names("turnstores")}'
    )
    if counts['continued'] < CONTINUED_MIN:
        raise CannotRunError('too few turns were continued')
    return violations


run_case(case, FOLDER, ROUND_COUNT)
