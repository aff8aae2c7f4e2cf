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

PROGRAM_COUNT = 40
#: Rounds, each with a deployment of its own.
ROUND_COUNT = 4
WARM_UP_S = 2.0
TROUBLE_S = 3.5
ADDED_COUNT = 3
#: Turns of a round below which it shows nothing.
CONTINUED_MIN = 500
#: Time between two turns of a program.
THINK_S = 0.03


async def case(deployment, is_troubled):
    turns = {'retainContext': True, 'retentionS': 60}
    config = desired_state([route('chat', 'stream', 'models', 4000, **turns)])
    await deployment.start(config, {'models': 6})
    fronts = deployment.of_class('front')
    rng = random.Random(1)
    counts = {'continued': 0}
    violations = []
    async with Callers(deployment) as callers:
        stopping = asyncio.Event()

        async def run_programs(number):
            program_number = 0
            while not stopping.is_set():
                program_number += 1
                program = f'p{number}-{program_number}'
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

        tasks = [
            asyncio.create_task(run_programs(number))
            for number in range(PROGRAM_COUNT)
        ]
        await asyncio.sleep(WARM_UP_S)
        if is_troubled:
            for number in range(ADDED_COUNT):
                machine = deployment.add_machine(
                    'storage', ZONES[number], 10 + number
                )
                deployment.launch(machine)
        await asyncio.sleep(TROUBLE_S)
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
