"""A request that crashes servers comes from several sub-agents at once.

Once it has crashed three servers, and ``contactMs`` later, it may reach servers
three times more.
"""

import asyncio
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
from frail_servers import FrailServer  # noqa: E402

#: The request comes again this often, each time from five sub-agents.
WAVE_COUNT = 5
WAVE_INTERVAL_S = 5.0
CONTACT_S = 3.0
LATE_COUNT_MAX = 3


async def case(deployment, is_troubled):
    crashes = []
    deployment.create_server = lambda name: FrailServer(
        name, deployment.record, deployment.store, crashes, is_troubled
    )
    config = desired_state(
        [route('app', 'unsafe', 'app', 3000, maxAttempts=1)]
    )
    await deployment.start(config, {'app': 6})
    fronts = deployment.of_class('front')
    statuses = []
    async with Callers(deployment) as callers:
        for _ in range(WAVE_COUNT):
            answers = await asyncio.gather(
                *(
                    callers.send(
                        front, 'POST', '/app/deadly', {}, b'same body', 3000
                    )
                    for front in fronts
                )
            )
            statuses.append([answer.status for answer in answers])
            await asyncio.sleep(WAVE_INTERVAL_S)
        sent_s = dict(callers.sent_s)
    deployment.record.say(f'answers of each wave: {statuses}')
    if not is_troubled:
        if any(status != 200 for wave in statuses for status in wave):
            raise CannotRunError('a harmless request was not served')
        return []
    if len(crashes) < 3:
        raise CannotRunError(f'only {len(crashes)} crashes')
    late_from_s = sorted(crashes)[2] + CONTACT_S
    reached = {
        run.request_id
        for server in deployment.servers.values()
        for run in server.runs
    }
    late = [name for name in reached if sent_s[name] > late_from_s]
    deployment.record.say(
        f'{len(crashes)} crashes; {len(late)} requests that were sent later '
        f'than {CONTACT_S} s after the third reached servers'
    )
    if len(late) <= LATE_COUNT_MAX:
        return []
    return [
        f'BUDGET: the request reached servers {len(late)} times later than '
        f'{CONTACT_S} s after its third crash'
    ]


run_case(case, FOLDER)
