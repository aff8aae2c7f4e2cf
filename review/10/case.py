"""All servers of a zone are taken away at once; some never report ``draining``.

Two services with servers in three zones; the first zone has most. With trouble
the first zone is reclaimed again and again: one of its four servers reports
``draining``, the entries of the other three are removed. They serve on for
``drainMs`` and a little longer, say in all their answers that they leave, and
exit. New ones come some seconds later.
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
#: Servers of each service by zone.
COUNTS = {'selfoss': 2, 'hella': 1, 'vik': 1}
ROUTES = {
    'stock': ('safe', 'orders-app', 1200),
    'confirm': ('unsafe', 'orders-app', 3000),
    'fleet': ('unsafe', 'routes-app', 3000),
}
DRAIN_S = 2.0
#: How much longer than ``drainMs`` a server serves before it exits.
LONGER_S = 0.4
ROUNDS = 14
#: Time from the exit of the servers to the start of new ones, and from there
#: to the next round.
AWAY_S = 1.0
ROUND_PAUSE_S = 3.2
REQUESTS_PER_S = 10.0


def new_server(fleet, service, zone):
    """Create a server of a service."""
    return Server(
        fleet.store, fleet.record, f'i-{new_id()[:8]}', service, zone,
        fleet.server_address(), lambda: random.expovariate(1 / 0.08), slots=6,
    )


async def send_requests(fleet, consumer, fronts, answers):
    """Send requests at random times until cancelled."""
    async with asyncio.TaskGroup() as tasks:
        while True:
            await asyncio.sleep(random.expovariate(REQUESTS_PER_S))
            name = random.choice(list(ROUTES))
            kind, _, deadline_ms = ROUTES[name]
            method = 'GET' if kind == 'safe' else 'POST'
            body = b'' if kind == 'safe' else b'an order'

            async def send(name=name, method=method, body=body, ms=deadline_ms):
                front = random.choice(fronts)
                answers[name].append(
                    await consumer.send(front, method, f'/{name}/2f', body, ms)
                )

            tasks.create_task(send())


async def reclaim(fleet, servers, zone, left):
    """Take all servers of a zone away; they exit, and new ones come."""
    leaving = [server for server in servers if server.zone == zone]
    reports = random.choice(leaving)
    for server in leaving:
        servers.remove(server)
        if server is reports:
            server.report_draining()
        else:
            server.leave_list()
    confirmed_s = time.monotonic()
    left.extend((server, confirmed_s) for server in leaving)
    fleet.record.say('reclaimed', zone=zone, servers=[s.name for s in leaving])
    await asyncio.sleep(DRAIN_S + LONGER_S)
    for server in leaving:
        server.end()
    await asyncio.sleep(AWAY_S)
    for server in leaving:
        servers.append(new_server(fleet, server.service, zone))
        await servers[-1].start()


async def main(fleet, has_trouble):
    """Run the case; return whether DRAIN was broken."""
    await fleet.start_store()
    routes = [
        route(name, kind, service, ms, attempts=2 if kind == 'safe' else 1)
        for name, (kind, service, ms) in ROUTES.items()
    ]
    services = [plain_service('orders-app'), plain_service('routes-app')]
    fleet.store.put(
        'config', 'main', desired_state(7, routes, services, [('hule930', KEY)])
    )
    servers = [
        new_server(fleet, service['name'], zone)
        for service in services
        for zone, count in COUNTS.items()
        for _ in range(count)
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
    answers = {name: [] for name in ROUTES}
    left = []
    traffic = asyncio.ensure_future(
        send_requests(fleet, Consumer(fleet, KEY), fronts, answers)
    )
    for _ in range(ROUNDS):
        await asyncio.sleep(ROUND_PAUSE_S)
        if has_trouble:
            await reclaim(fleet, servers, fleet.zones[0], left)
        else:
            await asyncio.sleep(DRAIN_S + LONGER_S + AWAY_S)
    await asyncio.sleep(ROUND_PAUSE_S)
    traffic.cancel()
    await asyncio.gather(traffic, return_exceptions=True)
    return judge(fleet, left, answers)


def judge(fleet, left, answers):
    """Apply DRAIN: a request reaches a server that is gone for ``drainMs``."""
    late = {}
    for server, confirmed_s in left:
        for arrived_s, request in server.arrivals:
            expected = request.headers['expect-instance']
            if expected not in ('', server.name) or request.target == '/health':
                continue
            if arrived_s > confirmed_s + DRAIN_S:
                late[request.headers['request-id']] = arrived_s - confirmed_s
    lost = 0
    for name, pairs in answers.items():
        for request_id, answer in pairs:
            if request_id not in late:
                continue
            is_served = answer.status == 200 and answer.is_whole
            lost += not is_served
            fleet.record.say(
                'DRAIN broken', request=request_id, route=name,
                after_removal_s=round(late[request_id], 3), status=answer.status,
            )
    sent = sum(map(len, answers.values()))
    served = sum(a.status == 200 for pairs in answers.values() for _, a in pairs)
    fleet.record.say('end', sent=sent, served=served, late=len(late), late_unserved=lost)
    if served < sent / 2:
        raise RuntimeError('too few requests were served')
    return bool(late)


if __name__ == '__main__':
    sys.exit(run_case(main, Path(__file__).resolve().parent))
