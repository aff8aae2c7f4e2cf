"""Programs spend their budgets while store machines are added.

The tokens handed out in all turns of a program must stay within its budget
and the most of one turn.
"""

import asyncio
import random
import sys
from collections import defaultdict
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

#: Four events of nine tokens; the budget holds sixteen such turns.
TURN_TOKENS = 36
BUDGET_TOKENS = 16 * TURN_TOKENS
WARM_UP_S = 3.0
TROUBLE_S = 6.0
ADDED_COUNT = 3
#: Rounds, each with a deployment of its own.
ROUND_COUNT = 4
PROGRAMS_AT_ONCE = 24
#: Lines of turns that a program runs in parallel, as its sub-agents.
LINE_COUNT = 4
PAUSE_S = 0.15


async def case(deployment, is_troubled):
    turns = {'retainContext': True, 'retentionS': 60}
    config = desired_state([route('chat', 'stream', 'models', 4000, **turns)])
    await deployment.start(config, {'models': 6})
    fronts = deployment.of_class('front')
    present = [machine.name for machine in deployment.of_class('storage')]
    added = [
        deployment.add_machine('storage', ZONES[number], 10 + number)
        for number in range(ADDED_COUNT)
    ]
    programs = program_ids('p', present, [machine.name for machine in added])
    rng = random.Random(3)
    handed_out = defaultdict(int)
    counts = defaultdict(int)
    async with Callers(deployment) as callers:
        stopping = asyncio.Event()

        async def run_programs():
            """Run programs that start sub-agents until they are stopped."""
            while not stopping.is_set():
                program = next(programs)
                await asyncio.gather(
                    *(run_line(program) for _ in range(LINE_COUNT))
                )

        async def run_line(program):
            refused = 0
            # After a 402 a turn is sent twice more.
            while refused < 3 and not stopping.is_set():
                answer = await callers.turn(
                    rng.choice(fronts),
                    program,
                    budget=BUDGET_TOKENS,
                    max_tokens=TURN_TOKENS,
                )
                if answer.status == 200:
                    handed_out[program] += answer.tokens
                counts[answer.status] += 1
                refused += answer.status == 402
                await asyncio.sleep(PAUSE_S * rng.uniform(0.5, 1.5))

        tasks = [
            asyncio.create_task(run_programs())
            for _ in range(PROGRAMS_AT_ONCE)
        ]
        await asyncio.sleep(WARM_UP_S)
        if is_troubled:
            for machine in added:
                deployment.launch(machine)
        await asyncio.sleep(TROUBLE_S)
        stopping.set()
        await asyncio.gather(*tasks)
    if not counts[402]:
        raise CannotRunError('no program has spent its budget')
    limit = BUDGET_TOKENS + TURN_TOKENS
    deployment.record.say(
        f'{len(handed_out)} programs, answers {dict(counts)}; most tokens '
        f'{max(handed_out.values())}, allowed {limit}'
    )
    return [
        f'BUDGET: program {program} got {tokens} tokens, its budget is '
        f'{BUDGET_TOKENS} and a turn has {TURN_TOKENS} at most'
        for program, tokens in handed_out.items()
        if tokens > limit
    ]


run_case(case, FOLDER, ROUND_COUNT)
