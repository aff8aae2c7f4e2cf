"""A request that crashes servers comes again, several copies at a time.

Beside ordinary traffic five sub-agents call the same tool at once, each through
another front machine, and do so again some seconds later. With trouble each server
that begins to run this call crashes, and is back after some seconds.
"""

import asyncio
import random
import sys
import time
from pathlib import Path

from fleet2.consumers import Consumer, desired_state, new_id, plain_service, route
from fleet2.machines import run_case
from fleet2.servers import Server

KEY = '3fexd9dnn2ctnfzs989a'
DEADLY = b'an order for minus one net'
TIMEOUT_MS = 3000
WAVES = 7
WAVE_INTERVAL_S = 5.0
REQUESTS_PER_S = 20.0
CONTACT_S = 3.0
ALLOWED = 3


async def main(fleet, has_trouble):
    """Run the case; return whether BUDGET was broken."""
    await fleet.start_store()
    fleet.store.put(
        'config',
        'main',
        desired_state(
            7, [route('confirm', 'unsafe', 'orders-app', TIMEOUT_MS)],
            [plain_service('orders-app')], [('hule930', KEY)],
        ),
    )
    servers = [
        Server(
            fleet.store, fleet.record, f'i-{new_id()[:8]}', 'orders-app', zone,
            fleet.server_address(), lambda: random.expovariate(1 / 0.1), slots=6,
        )
        for zone in fleet.zones * 2
    ]
    for server in servers:
        server.deadly_body = DEADLY if has_trouble else None
        await server.start()
    for zone in fleet.zones:
        fleet.add_machine('storage', zone, bootstrap=True)
    fronts = [
        fleet.add_machine('front', zone, bootstrap=True)
        for zone in (*fleet.zones, *fleet.zones[:2])
    ]
    await fleet.wait_ready()
    await asyncio.sleep(4)
    consumer = Consumer(fleet, KEY)
    tasks = []

    async def send_ordinary():
        while True:
            await asyncio.sleep(random.expovariate(REQUESTS_PER_S))
            body = f'an order {new_id()}'.encode()
            tasks.append(
                asyncio.ensure_future(
                    consumer.send(
                        random.choice(fronts), 'POST', '/confirm/2f', body, TIMEOUT_MS
                    )
                )
            )

    traffic = asyncio.ensure_future(send_ordinary())
    copies = []
    for _ in range(WAVES):
        await asyncio.sleep(WAVE_INTERVAL_S)
        copies += await asyncio.gather(
            *(
                consumer.send(front, 'POST', '/confirm/2f', DEADLY, TIMEOUT_MS)
                for front in fronts
            )
        )
    traffic.cancel()
    return judge(fleet, servers, copies, await asyncio.gather(*tasks))


def judge(fleet, servers, copies, answers):
    """Apply BUDGET: retries that reach servers after the third crash."""
    crashes = sorted(
        crashed_s for server in servers for crashed_s in server.crashes_s
    )
    arrivals = sorted(
        arrived_s
        for server in servers
        for arrived_s, request in server.arrivals
        if request.body == DEADLY
    )
    late = 0
    if len(crashes) >= 3:
        late = sum(arrived_s > crashes[2] + CONTACT_S for arrived_s in arrivals)
    served = sum(answer.status == 200 for _, answer in answers)
    fleet.record.say(
        'end', crashes=len(crashes), copies=len(copies), reached=len(arrivals),
        reached_late=late, allowed=ALLOWED, sent=len(answers), served=served,
    )
    for arrived_s in arrivals:
        fleet.record.write('copy arrived', after_s=round(arrived_s - arrivals[0], 3))
    return late > ALLOWED


if __name__ == '__main__':
    sys.exit(run_case(main, Path(__file__).resolve().parent))
