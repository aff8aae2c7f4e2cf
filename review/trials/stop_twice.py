"""Front machines are stopped in turn; the signal to stop comes twice.

Consumers send requests that are not idempotent at an even rate. Each front
machine in turn gets SIGTERM and starts again after it has exited. With trouble
it gets a second SIGTERM a second after the first.
"""

import asyncio
import random
import signal
import sys
import time
from pathlib import Path

from fleet2.consumers import Consumer, desired_state, new_id, plain_service, route
from fleet2.machines import GRACE_S, run_case
from fleet2.servers import Server

KEY = '3fexd9dnn2ctnfzs989a'
TIMEOUT_MS = 3000
REQUESTS_PER_S = 40.0
SECOND_AFTER_S = 1.0
#: Time in which the platform finds that a machine isn't ready.
MISSES_S = 2.0
BETWEEN_S = 5.0


async def send_requests(consumer, rotation, answers):
    """Send requests to the machines in rotation until cancelled."""

    async def send(front):
        sent_s = time.monotonic()
        request_id, answer = await consumer.send(
            front, 'POST', '/confirm/2f', b'an order', TIMEOUT_MS
        )
        answers.append((front, sent_s, request_id, answer))

    async with asyncio.TaskGroup() as tasks:
        while True:
            await asyncio.sleep(random.expovariate(REQUESTS_PER_S))
            tasks.create_task(send(random.choice(rotation)))


async def stop_and_start(fleet, front, rotation, has_trouble):
    """Stop a machine as the platform does, and start it again."""
    stopped_s = time.monotonic()
    fleet.signal(front, signal.SIGTERM)
    await asyncio.sleep(SECOND_AFTER_S)
    if has_trouble:
        fleet.signal(front, signal.SIGTERM)
    await asyncio.sleep(MISSES_S - SECOND_AFTER_S)
    rotation.remove(front)
    while time.monotonic() < stopped_s + GRACE_S and front not in fleet.ended():
        await asyncio.sleep(0.05)
    fleet.kill(front)
    fleet.start_program(front)
    await fleet.wait_ready()
    rotation.append(front)
    return stopped_s


async def main(fleet, has_trouble):
    """Run the case; return whether LOST was broken."""
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
            fleet.server_address(), lambda: min(random.expovariate(1 / 0.2), 0.8),
            slots=6,
        )
        for zone in fleet.zones * 2
    ]
    for server in servers:
        await server.start()
    for zone in fleet.zones:
        fleet.add_machine('storage', zone, bootstrap=True)
    fronts = [
        fleet.add_machine('front', zone, bootstrap=True) for zone in fleet.zones
    ]
    await fleet.wait_ready()
    await asyncio.sleep(5)
    answers = []
    rotation = list(fronts)
    traffic = asyncio.ensure_future(
        send_requests(Consumer(fleet, KEY), rotation, answers)
    )
    stops = {}
    for front in fronts:
        await asyncio.sleep(BETWEEN_S)
        stops[front] = await stop_and_start(fleet, front, rotation, has_trouble)
    await asyncio.sleep(BETWEEN_S)
    traffic.cancel()
    await asyncio.gather(traffic, return_exceptions=True)
    return judge(fleet, servers, stops, answers)


def judge(fleet, servers, stops, answers):
    """Apply LOST around planned work: a request that was passed on is cut."""
    runs = {
        run['request'].headers['request-id'] for server in servers for run in server.runs
    }
    lost = 0
    for front, sent_s, request_id, answer in answers:
        duration_s = answer.ended_s - answer.began_s
        is_near = sent_s - 5 < stops[front] < answer.ended_s < stops[front] + GRACE_S + 1
        is_cut = not answer.is_whole and duration_s < TIMEOUT_MS / 1000
        if is_near and is_cut and request_id in runs:
            lost += 1
            fleet.record.say(
                'LOST', request=request_id, front=front,
                sent_after_stop_s=round(sent_s - stops[front], 2),
                cut_after_s=round(duration_s, 2), error=answer.error,
            )
    served = sum(answer.status == 200 for *_, answer in answers)
    fleet.record.say('end', sent=len(answers), served=served, lost=lost)
    if served < len(answers) / 2:
        raise RuntimeError('too few requests were served')
    return lost > 0


if __name__ == '__main__':
    sys.exit(run_case(main, Path(__file__).resolve().parent))
