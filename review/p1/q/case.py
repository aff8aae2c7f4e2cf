"""Turn store processes are killed three times while a tenant floods."""

import asyncio
import signal
import time
from pathlib import Path

import fleet as f

#: The limit of the example that `fleetbench wire` prints.
PER_S = 134
BURST = 134
WINDOW_S = 5
OVERAGE = 0.1
SLACK = 20
LIMIT = (PER_S * WINDOW_S + BURST) * (1 + OVERAGE) + SLACK
FLOOD_S = 6
#: Times of the kills after the flood has begun, in seconds.
KILLS_S = (1.0, 2.2, 3.4)
RESTART_DELAY_S = 0.1


class _Quiet:
    """Writes only what is no single request to the record."""

    def __init__(self, record):
        self._record = record

    def __call__(self, text):
        if not text.startswith(('sent', 'answered')):
            self._record(text)


async def play(record):
    """Flood three gateways, kill the stores, count what the servers run."""
    fleet = f.Fleet(_Quiet(record), gateways=3)
    try:
        return await _play(fleet, record)
    finally:
        fleet.stop()


async def _play(fleet, record):
    for number in range(6):
        await fleet.add_server(f'i-app-{number}', 'app', work_s=0.005)
    await fleet.start(f.config(perS=PER_S, burst=BURST))
    await asyncio.sleep(6)
    began_s = time.monotonic()
    sent_s = {}
    floods = (
        _flood(fleet, name, began_s, sent_s)
        for name in fleet.hosts
        if name.startswith('gateway')
    )
    await asyncio.gather(_kill(fleet, began_s), *floods)
    runs = sorted(
        (sent_s[request_id], ran_s)
        for server in fleet.servers.values()
        for ran_s, request_id, *_ in server.runs
        if request_id in sent_s
    )
    for sent, ran in runs:
        record(f'sent {sent - began_s:.3f} s, ran {ran - began_s:.3f} s')
    most, at_s = max((_in_window(runs, sent), sent) for sent, _ in runs)
    record(f'{len(sent_s)} requests sent, {len(runs)} run')
    record(
        f'{most} sent and run in the {WINDOW_S} s from {at_s - began_s:.2f} s; '
        f'the limit is {LIMIT:.0f}'
    )
    return f.BROKEN if most > LIMIT else f.HOLDS


def _in_window(runs, from_s):
    until_s = from_s + WINDOW_S
    return sum(sent >= from_s and ran <= until_s for sent, ran in runs)


async def _flood(fleet, gateway, began_s, sent_s):
    async def send():
        now_s = time.monotonic()
        answer = await fleet.request('/book/x', gateway=gateway, body=b'order')
        sent_s[answer.request_id] = now_s

    tasks = []
    while time.monotonic() < began_s + FLOOD_S:
        tasks.append(asyncio.ensure_future(send()))
        await asyncio.sleep(1 / PER_S)
    await asyncio.gather(*tasks)


async def _kill(fleet, began_s):
    stores = [name for name in fleet.hosts if name.startswith('store')]
    for kill_s in KILLS_S if f.has_trouble() else ():
        await asyncio.sleep(began_s + kill_s - time.monotonic())
        for name in stores:
            fleet.signal(name, signal.SIGKILL)
        for name in stores:
            fleet.processes[name].wait()
        await asyncio.sleep(RESTART_DELAY_S)
        for name in stores:
            fleet.start_process(name)


if __name__ == '__main__':
    f.run_case(Path(__file__).parent, play)
