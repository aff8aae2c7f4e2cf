"""Another writer leaves an unreadable entry; then a server drains."""

import asyncio
import time
from pathlib import Path

import fleet as f

DRAIN_S = 2.0
#: One half of a character that JSON writes as two escapes.
UNREADABLE = '\ud800'


async def play(record):
    """Write the entry, drain one server, replace the others."""
    fleet = f.Fleet(record, gateways=2)
    try:
        return await _play(fleet, record)
    finally:
        fleet.stop()


async def _play(fleet, record):
    old = [await fleet.add_server(f'i-old-{n}', 'app') for n in range(3)]
    await fleet.start(f.config())
    await asyncio.sleep(3)
    if f.has_trouble():
        fleet.store.put('servers', 'i-other', {'service': UNREADABLE})
        record('another writer has written the entry i-other')
        await asyncio.sleep(3)
    leaving = old[0]
    fleet.store.put('servers', leaving.name, leaving.entry('draining'))
    drained_s = time.monotonic()
    record(f'the store has confirmed that {leaving.name} is draining')
    late = []
    while time.monotonic() < drained_s + 10:
        sent_s = time.monotonic()
        answer = await fleet.request(
            '/look/x',
            method='GET',
            deadline_ms=1200,
            gateway=f'gateway-{len(late) % 2}',
        )
        ran = {run[1] for run in leaving.runs}
        if sent_s > drained_s + DRAIN_S and answer.request_id in ran:
            late.append(sent_s - drained_s)
            record(
                f'{leaving.name} ran {answer.request_id} '
                f'{sent_s - drained_s:.1f} s after it drained'
            )
        await asyncio.sleep(0.1)
    record(f'{len(late)} requests reached {leaving.name} too late')
    fresh = [await fleet.add_server(f'i-new-{n}', 'app') for n in range(3)]
    await asyncio.sleep(3)
    for server in old[1:]:
        fleet.store.put('servers', server.name, server.entry('draining'))
    await asyncio.sleep(5)
    for server in old:
        fleet.store.remove('servers', server.name)
        await server.stop()
    record('the old servers have left, three new ones are ready')
    await asyncio.sleep(3)
    unserved = 0
    for number in range(20):
        answer = await fleet.request(
            '/book/x', body=b'order', gateway=f'gateway-{number % 2}'
        )
        unserved += answer.status != 200
        await asyncio.sleep(0.2)
    runs = sum(len(server.runs) for server in fresh)
    record(f'new servers ran {runs}; {unserved} of 20 requests not served')
    return f.BROKEN if late else f.HOLDS


if __name__ == '__main__':
    f.run_case(Path(__file__).parent, play)
