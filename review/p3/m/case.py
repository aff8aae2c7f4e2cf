"""Another writer leaves a long entry; front processes exceed their memory.

Three storage machines and three front machines. Consumers send orders on channels
that they keep. The platform kills a process that uses more than ``memoryMb`` and
starts it again after a short delay. With trouble another writer leaves one entry in
the list of servers, and the platform's store turns the storage machines away for
some seconds.
"""

import asyncio
import json
import random
import sys
import time
from collections import Counter
from contextlib import suppress
from pathlib import Path

from fleet2.consumers import (
    HOST,
    desired_state,
    new_id,
    plain_service,
    route,
)
from fleet2.http import encode_answer, parse_headers, read_request
from fleet2.machines import run_case
from fleet2.servers import Server
from fleet2.store import MetadataStore

KEY = '3fexd9dnn2ctnfzs989a'
SERVICE = 'orda22b'
#: Largest value of the platform's store, and of one page of a list.
VALUE_BYTES = 1_048_576
PAGE_BYTES = 1_000_000
#: Content of the entry: a long text and some empty lists.
TEXT_BYTES = 1_040_000
LIST_COUNT = 70
#: Limits of the site, in units of 10**6 bytes.
MEMORY_MB = {'front': 150, 'storage': 170}
CHECK_INTERVAL_S = 0.02
RESTART_S = 0.5
CALM_S = 3
#: As in the site file.
TURNED_AWAY_S = 9.0
AFTER_S = 6
CHANNEL_COUNT = 4
DEADLINE_MS = 3000
#: Fault: processes of two machines end three times.
MACHINES_MIN = 2
ENDS_MIN = 3
#: LOST: at most so many requests are passed on and get no answer.
CUTS_MAX = 3


class PagedStore(MetadataStore):
    """The platform's store, with lists of one megabyte a page at most.

    It has a listener of its own for storage machines, which it may turn away.
    """

    def __init__(self, record):
        super().__init__(record)
        self.turns_storage_away = False

    async def start_for_storage(self, host, port):
        """Listen for the programs of storage machines."""
        self._storage_server = await asyncio.start_server(
            self._serve_storage, host, port
        )

    async def _serve_storage(self, reader, writer):
        with suppress(OSError, EOFError, asyncio.CancelledError):
            while True:
                request = await read_request(reader)
                status, content = 503, {}
                if not self.turns_storage_away:
                    status, content = await self._answer(request)
                body = json.dumps(content).encode()
                writer.write(
                    encode_answer(status, body, Content_Type='application/json')
                )
                await writer.drain()
        writer.close()

    async def _read(self, kind, rest, query):
        status, content = await super()._read(kind, rest, query)
        items = content.get('items', ())
        kept, length = [], 0
        for item in items:
            length += len(json.dumps(item))
            if kept and length > PAGE_BYTES:
                break
            kept.append(item)
        if len(kept) < len(items):
            content |= {'items': kept, 'hasMore': True}
        return status, content


class Platform:
    """Kills processes that use more than their memory and restarts them."""

    def __init__(self, fleet):
        self.ends = Counter()
        self.most_mb = Counter()
        self._fleet = fleet

    async def run(self):
        """Check all processes until cancelled."""
        while True:
            for name, process_id in self._fleet.process_ids().items():
                self._check(name, process_id)
            await asyncio.sleep(CHECK_INTERVAL_S)

    def _check(self, name, process_id):
        used_mb = most_memory_mb(process_id)
        limit_mb = MEMORY_MB[name.partition('-')[0]]
        self.most_mb[name] = max(self.most_mb[name], round(used_mb))
        if used_mb <= limit_mb and name not in self._fleet.ended():
            return
        self.ends[name] += 1
        self._fleet.record.write(
            'over its memory', name=name, used_mb=round(used_mb), limit_mb=limit_mb
        )
        self._fleet.kill(name)
        asyncio.get_running_loop().call_later(
            RESTART_S, self._fleet.start_program, name
        )


def most_memory_mb(process_id):
    """Return the most memory that a process has used since its start, in MB."""
    with suppress(OSError):
        lines = Path(f'/proc/{process_id}/status').read_text().splitlines()
        fields = dict(line.split(':', 1) for line in lines)
        # The files of the program, which the system can read again, don't count.
        used_kb = _kilobytes(fields, 'VmHWM') - _kilobytes(fields, 'RssFile')
        return used_kb * 1024 / 1e6
    return 0


def _kilobytes(fields, name):
    return int(fields.get(name, '0').split()[0])


class Channel:
    """Sends orders one after the other on a channel that is kept."""

    def __init__(self, fleet, front):
        self.sent = []
        self._fleet = fleet
        self._front = front

    async def run(self):
        """Send until cancelled; a channel that has closed is opened again."""
        while True:
            with suppress(OSError, EOFError, TimeoutError):
                await self._use()
            await asyncio.sleep(0.1)

    async def _use(self):
        reader, writer = await asyncio.open_connection(
            *self._fleet.front_address(self._front)
        )
        try:
            is_kept = False
            while True:
                headers = await self._send(reader, writer, is_kept)
                if headers['connection'].lower() == 'close':
                    return
                is_kept = True
                await asyncio.sleep(random.uniform(0.02, 0.08))
        finally:
            writer.transport.abort()

    async def _send(self, reader, writer, is_kept):
        request_id = new_id()
        sent = {'id': request_id, 's': time.monotonic(), 'kept': is_kept, 'got': None}
        self.sent.append(sent)
        record = self._fleet.record
        record.write('sent', front=self._front, request=request_id, kept=is_kept)
        body = f'order {request_id}'.encode()
        lines = [
            'POST /book/4b HTTP/1.1', f'Host: {HOST}', f'Request-Id: {request_id}',
            f'Deadline-Ms: {DEADLINE_MS}', f'X-Api-Key: {KEY}',
            f'Content-Length: {len(body)}', '', '',
        ]
        writer.write('\r\n'.join(lines).encode() + body)
        try:
            async with asyncio.timeout(DEADLINE_MS / 1000):
                head = await reader.readuntil(b'\r\n\r\n')
                start, *rest = head.decode('latin-1').strip().split('\r\n')
                headers = parse_headers(rest)
                await reader.readexactly(int(headers['content-length'] or 0))
        except (OSError, EOFError, TimeoutError) as error:
            sent['got'] = type(error).__name__
            record.write('no answer', request=request_id, error=sent['got'])
            raise
        sent['got'] = int(start.split(' ')[1])
        record.write('answered', request=request_id, status=sent['got'])
        return headers


def write_entry(fleet):
    """Write an entry that names no server, as another writer does."""
    spec = {'text': 'x' * TEXT_BYTES, 'lists': [[]] * LIST_COUNT}
    length = len(json.dumps(spec))
    if length > VALUE_BYTES:
        raise RuntimeError('the entry is larger than the store allows')
    fleet.store.put('servers', 'i-other', spec)
    fleet.record.say('entry of another writer', length=length)


async def main(fleet, has_trouble):
    """Run the case; return whether a rule was broken."""
    fleet.store = PagedStore(fleet.record)
    await fleet.start_store()
    host, port = fleet.extra_address(1)
    await fleet.store.start_for_storage(host, port)
    fleet.store_addresses['storage'] = f'{host}:{port}'
    fleet.store.put(
        'config',
        'main',
        desired_state(
            7, [route('book', 'unsafe', SERVICE, DEADLINE_MS)],
            [plain_service(SERVICE)], [('hule930', KEY)],
        ),
    )
    servers = [
        Server(
            fleet.store, fleet.record, f'i-{new_id()[:8]}', SERVICE, zone,
            fleet.server_address(), lambda: random.uniform(0.09, 0.13),
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
    platform = Platform(fleet)
    channels = [Channel(fleet, front) for front in fronts for _ in range(CHANNEL_COUNT)]
    tasks = [asyncio.ensure_future(part.run()) for part in (platform, *channels)]
    await asyncio.sleep(CALM_S)
    if has_trouble:
        write_entry(fleet)
    await asyncio.sleep(CALM_S)
    began_s = time.monotonic()
    fleet.store.turns_storage_away = has_trouble
    fleet.record.say('storage machines are turned away', has_trouble=has_trouble)
    await asyncio.sleep(TURNED_AWAY_S)
    fleet.store.turns_storage_away = False
    ended_s = time.monotonic()
    fleet.record.say('all machines are served again')
    await asyncio.sleep(AFTER_S)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    return judge(fleet, servers, platform, channels, (began_s, ended_s))


def judge(fleet, servers, platform, channels, span_s):
    """Apply Fault and LOST as written."""
    names = sorted(fleet.process_ids().keys() | platform.ends.keys())
    for name in names:
        fleet.record.say(
            name, most_memory_mb=platform.most_mb[name], ends=platform.ends[name]
        )
    ran = {
        run['request'].headers['request-id'] for server in servers for run in server.runs
    }
    sent = [one for channel in channels for one in channel.sent]
    cut = [
        one['id']
        for one in sent
        if one['kept'] and isinstance(one['got'], str) and one['id'] in ran
    ]
    during = [one for one in sent if span_s[0] <= one['s'] < span_s[1]]
    fleet.record.say(
        'orders', sent=len(sent), run_and_cut=len(cut), sent_meanwhile=len(during),
        served_of_these=sum(one['got'] == 200 for one in during),
    )
    often = [name for name, count in platform.ends.items() if count >= ENDS_MIN]
    return len(often) >= MACHINES_MIN or len(cut) > CUTS_MAX


if __name__ == '__main__':
    sys.exit(run_case(main, Path(__file__).resolve().parent))
