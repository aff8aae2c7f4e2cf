"""Servers in trouble answer without end; the gateway's memory is watched."""

import asyncio
from pathlib import Path

import fleet as f

SERVERS = 11
IN_TROUBLE = 4
CHUNK = b'x' * 65536
REQUESTS = 60
LIMIT_MB = 150


async def play(record):
    fleet = f.Fleet(record)
    try:
        return await _play(fleet, record)
    finally:
        fleet.stop()


def memory_mb(process):
    """Return the resident size of a process and its peak, in MB."""
    lines = Path(f'/proc/{process.pid}/status').read_text().splitlines()
    sizes = dict(line.split(':', 1) for line in lines)
    return [int(sizes[name].split()[0]) / 1024 for name in ('VmRSS', 'VmHWM')]


async def _play(fleet, record):
    sent = [0]

    def make_endless(server):
        async def answer(first, headers, body, writer):
            request_id = headers['request-id']
            writer.write(
                f.head(200, request_id, f'Server-Seal: seal.{request_id}')
            )
            while True:
                await asyncio.sleep(0.04)
                writer.write(b'%x\r\n%b\r\n' % (len(CHUNK), CHUNK))
                sent[0] += len(CHUNK)
                await writer.drain()
        server.answer = answer

    for number in range(SERVERS):
        server = await fleet.add_server(f'i-app-{number}', 'app', work_s=0.1)
        server.slots = 6
        if number < IN_TROUBLE and f.has_trouble():
            make_endless(server)
    await fleet.start(f.config())
    await asyncio.sleep(2)
    record(f'memory before: {memory_mb(fleet.processes["gateway-0"])}')
    tasks = []
    for number in range(REQUESTS):
        tasks.append(asyncio.ensure_future(fleet.request('/book/x', body=b'order')))
        await asyncio.sleep(0.02)
    peak = 0
    while not all(t.done() for t in tasks):
        await asyncio.sleep(0.1)
        peak = max(peak, memory_mb(fleet.processes['gateway-0'])[0])
    record(f'memory after: {memory_mb(fleet.processes["gateway-0"])} peak {peak} sent {sent[0]/1e6} MB')
    return f.BROKEN if peak > LIMIT_MB else f.HOLDS


if __name__ == '__main__':
    f.run_case(Path(__file__).parent, play)
