"""A store machine misses turns, then one loses its disk and one stays away.

No more than one disk is lost, so the service may be suspended until the last
machine is back, but no turn that was answered whole may get 404 meanwhile.
"""

import asyncio
import random
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).parent
sys.path.insert(0, str(FOLDER.parent / 'standins'))

from callers import Callers  # noqa: E402
from deployment import (  # noqa: E402
    CannotRunError,
    desired_state,
    route,
    run_case,
)

PROGRAM_COUNT = 30
#: Time for which the first store machine stands still.
FREEZE_S = 3.2
#: Time for which the last store machine is away.
AWAY_S = 2.8
RESTART_S = 1.0
CHECK_COUNT = 100


async def case(deployment, is_troubled):
    turns = {'retainContext': True, 'retentionS': 60}
    config = desired_state([route('chat', 'stream', 'models', 4000, **turns)])
    await deployment.start(config, {'models': 6})
    fronts = deployment.of_class('front')
    behind, wiped, away = deployment.of_class('storage')
    rng = random.Random(2)
    kept = []
    violations = []
    async with Callers(deployment) as callers:
        await _make_turns(callers, fronts, rng, 1.0)
        # One store machine stands still; the others store the turns.
        if is_troubled:
            deployment.signal(behind, signal.SIGSTOP)
        await asyncio.sleep(0.3)
        kept = await _make_turns(callers, fronts, rng, FREEZE_S - 0.3)
        if len(kept) < CHECK_COUNT:
            raise CannotRunError(f'only {len(kept)} turns')
        if is_troubled:
            deployment.kill(away)
            deployment.kill(wiped)
            deployment.wipe(wiped)
            deployment.signal(behind, signal.SIGCONT)
            await asyncio.sleep(RESTART_S)
            deployment.launch(wiped)
            returning = asyncio.create_task(
                _return(deployment, away, AWAY_S - RESTART_S)
            )
        # Consumers continue the turns that they got whole.
        checked = rng.sample(kept, min(len(kept), CHECK_COUNT))
        for index, (turn, program) in enumerate(checked):
            await asyncio.sleep(0.05)
            answer = await callers.turn(
                fronts[index % len(fronts)], program, previous=turn
            )
            if answer.status in (404, 410):
                violations.append(
                    f'LOST: {answer.request_id} got {answer.status}, though '
                    f'{turn} was answered whole before'
                )
        if is_troubled:
            await returning
        await asyncio.sleep(4)
        served = 0
        for index, (turn, program) in enumerate(checked[:20]):
            answer = await callers.turn(
                fronts[index % len(fronts)], program, previous=turn
            )
            served += answer.is_served
    deployment.record.say(
        f'{len(kept)} turns were answered whole, {len(checked)} of them were '
        f'continued while machines were away; {served} of 20 are served now'
    )
    return violations


async def _make_turns(callers, fronts, rng, duration_s):
    """Return id and program of each turn that was answered whole."""
    loop = asyncio.get_running_loop()
    until_s = loop.time() + duration_s
    made = []

    async def run_programs(number):
        count = 0
        while loop.time() < until_s:
            count += 1
            program = f'p{number}-{count}-{rng.randrange(1 << 30):x}'
            answer = await callers.turn(rng.choice(fronts), program)
            if answer.is_served:
                made.append((answer.request_id, program))
            await asyncio.sleep(0.1)

    await asyncio.gather(*map(run_programs, range(PROGRAM_COUNT)))
    return made


async def _return(deployment, machine, after_s):
    await asyncio.sleep(after_s)
    deployment.launch(machine)


run_case(case, FOLDER)
