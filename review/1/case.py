"""Store machines lose their disks one after the other; inputs are long.

Each machine is back for longer than ``catchUpS`` before the next one loses
its disk. A turn that was answered whole must still be known afterwards.
"""

import asyncio
import random
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

#: Input of a turn; the desired state allows bodies of 4,194,304 bytes.
INPUT_BYTES = 172_000
PROGRAM_COUNT = 120
AT_ONCE = 6
RESTART_S = 1.0
#: Time between two losses of a disk.
GAP_S = 8.0
TRY_COUNT = 5
#: Time after the last loss at which all machines must have recovered.
RECOVERY_S = 12.0


async def case(deployment, is_troubled):
    turns = {'retainContext': True, 'retentionS': 60}
    config = desired_state([route('chat', 'stream', 'models', 4000, **turns)])
    await deployment.start(config, {'models': 6})
    fronts = deployment.of_class('front')
    rng = random.Random(4)
    kept = {}
    violations = []
    async with Callers(deployment) as callers:
        limit = asyncio.Semaphore(AT_ONCE)

        async def make_turn(number):
            async with limit:
                program = f'p{number}'
                body = rng.randbytes(INPUT_BYTES // 2).hex().encode()
                front = fronts[number % len(fronts)]
                # A turn that failed is sent again, at most twice.
                for _ in range(3):
                    answer = await callers.turn(
                        front, program, body=body, prompt_tokens=86_000
                    )
                    if answer.is_served:
                        kept[program] = answer.request_id, front
                        break
                    await asyncio.sleep(0.3)

        await asyncio.gather(*map(make_turn, range(PROGRAM_COUNT)))
        deployment.record.say(f'{len(kept)} turns were answered whole')
        if len(kept) < PROGRAM_COUNT:
            raise CannotRunError('not all turns were answered whole')
        await asyncio.sleep(2)
        for machine in deployment.of_class('storage'):
            if is_troubled:
                deployment.kill(machine)
                deployment.wipe(machine)
                await asyncio.sleep(RESTART_S)
                deployment.launch(machine)
            await asyncio.sleep(GAP_S - RESTART_S)
        await asyncio.sleep(RECOVERY_S - GAP_S)
        # Consumers continue the turns, through a different zone.
        for number, (program, (turn, front)) in enumerate(kept.items()):
            if number % 8:
                continue
            others = [other for other in fronts if other.zone != front.zone]
            statuses = []
            for _ in range(TRY_COUNT):
                answer = await callers.turn(
                    rng.choice(others), program, previous=turn, deadline_ms=1500
                )
                statuses.append(answer.status)
                if answer.status not in (0, 502, 503, 504):
                    break
                await asyncio.sleep(0.1)
            if not answer.is_served:
                violations.append(
                    f'LOST: the turns after {turn} got {statuses}, though it '
                    'was answered whole before'
                )
            if len(violations) > 5:
                break
    return violations


run_case(case, FOLDER)
