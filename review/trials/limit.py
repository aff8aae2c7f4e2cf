"""Another writer spoils the entry of a server in need, which restores it.

One server of a service names a ``Server-Limit`` in all its answers. With
trouble another writer overwrites its entry in the store with one that can't be
read; the server's next heartbeat restores it.
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
ROUTES = {'stock': ('safe', 1200), 'confirm': ('unsafe', 3000)}
SERVER_COUNT = 6
LIMIT_PER_S = 0.5
REQUESTS_PER_S = 150.0
CONTACT_S = 3.0
#: A machine counts from this time after it has passed on an answer with a limit.
PASSED_S = 0.5
WINDOW_S = 4.0
#: Interval at which the other writer writes.
SPOIL_INTERVAL_S = 6.0
RUN_S = 40.0


async def send_requests(fleet, consumer, fronts, tasks):
    """Send requests at random times until cancelled."""
    while True:
        await asyncio.sleep(random.expovariate(REQUESTS_PER_S))
        name = random.choice(list(ROUTES))
        kind, deadline_ms = ROUTES[name]
        method, body = ('GET', b'') if kind == 'safe' else ('POST', b'an order')
        front = random.choice(fronts)
        tasks.append(
            asyncio.ensure_future(
                send(consumer, front, method, f'/{name}/2f', body, deadline_ms)
            )
        )


async def send(consumer, front, *arguments):
    """Send one request; return the front machine, the id and the answer."""
    return front, *await consumer.send(front, *arguments)


async def main(fleet, has_trouble):
    """Run the case; return whether LIMIT was broken."""
    await fleet.start_store()
    routes = [
        route(name, kind, 'orders-app', ms, attempts=2 if kind == 'safe' else 1)
        for name, (kind, ms) in ROUTES.items()
    ]
    fleet.store.put(
        'config',
        'main',
        desired_state(7, routes, [plain_service('orders-app')], [('hule930', KEY)]),
    )
    servers = [
        Server(
            fleet.store, fleet.record, f'i-{new_id()[:8]}', 'orders-app', zone,
            fleet.server_address(), lambda: random.expovariate(1 / 0.08), slots=6,
        )
        for zone in fleet.zones * 2
    ]
    for server in servers:
        await server.start()
    for zone in fleet.zones:
        fleet.add_machine('storage', zone, bootstrap=True)
    fronts = [
        fleet.add_machine('front', zone, bootstrap=True)
        for zone in (*fleet.zones, *fleet.zones[:2])
    ]
    await fleet.wait_ready()
    await asyncio.sleep(4)
    tasks = []
    traffic = asyncio.ensure_future(
        send_requests(fleet, Consumer(fleet, KEY), fronts, tasks)
    )
    await asyncio.sleep(3)
    needy = servers[0]
    needy.limit_per_s = LIMIT_PER_S
    needy._work_s = lambda: 1.0
    fleet.record.say('in need', server=needy.name, limit_per_s=LIMIT_PER_S)
    limit_s = time.monotonic() + RUN_S
    await asyncio.sleep(3 * CONTACT_S)
    while time.monotonic() < limit_s:
        if has_trouble:
            fleet.store.put('servers', needy.name, {'service': 7})
            fleet.record.say('spoiled', server=needy.name)
        await asyncio.sleep(SPOIL_INTERVAL_S)
    traffic.cancel()
    answers = await asyncio.gather(*tasks)
    return judge(fleet, needy, answers)


def judge(fleet, needy, answers):
    """Apply LIMIT as written."""
    fronts = {request_id: front for front, request_id, _ in answers}
    passed_s = {}
    for front, _, answer in answers:
        if answer.headers['server-limit']:
            passed_s[front] = min(passed_s.get(front, answer.ended_s), answer.ended_s)
    first_s = min(passed_s.values())
    arrivals = sorted(
        arrived_s
        for arrived_s, request in needy.arrivals
        if request.headers['request-id'] in fronts
        and arrived_s >= first_s + CONTACT_S
        and arrived_s
        >= passed_s.get(fronts[request.headers['request-id']], float('inf')) + PASSED_S
    )
    allowed = 1.5 * LIMIT_PER_S * WINDOW_S + 5
    most = max(
        (
            sum(began_s <= other_s < began_s + WINDOW_S for other_s in arrivals)
            for began_s in arrivals
        ),
        default=0,
    )
    served = sum(answer.status == 200 for _, _, answer in answers)
    fleet.record.say(
        'end', sent=len(answers), served=served, most_in_4_s=most, allowed=allowed,
        counted=len(arrivals), fronts=len(passed_s),
    )
    return most > allowed


if __name__ == '__main__':
    sys.exit(run_case(main, Path(__file__).resolve().parent))
