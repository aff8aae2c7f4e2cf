"""A gateway that drains gets SIGTERM once more; requests are under way."""

import asyncio
import signal
from pathlib import Path

import fleet as f

WORK_S = 2.5
BETWEEN_S = 1.0


async def play(record):
    """Send requests, stop the gateway, see which requests are answered."""
    fleet = f.Fleet(record)
    try:
        return await _play(fleet, record)
    finally:
        fleet.stop()


async def _play(fleet, record):
    for number in range(2):
        await fleet.add_server(f'i-app-{number}', 'app', work_s=WORK_S)
    await fleet.start(f.config())
    await asyncio.sleep(2)
    requests = [
        asyncio.ensure_future(fleet.request('/book/x', body=b'order'))
        for _ in range(6)
    ]
    await asyncio.sleep(0.5)
    fleet.signal('gateway-0', signal.SIGTERM)
    if f.has_trouble():
        await asyncio.sleep(BETWEEN_S)
        fleet.signal('gateway-0', signal.SIGTERM)
    answers = await asyncio.gather(*requests)
    runs = {
        request_id
        for server in fleet.servers.values()
        for _, request_id, *_ in server.runs
    }
    cut = [a for a in answers if not a.status and a.request_id in runs]
    record(f'{len(runs)} ran, {len(cut)} of them were never answered')
    if len(runs) < len(answers):
        return f.NOT_RUN
    return f.BROKEN if cut else f.HOLDS


if __name__ == '__main__':
    f.run_case(Path(__file__).parent, play)
