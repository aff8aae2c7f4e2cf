"""Another writer leaves long entries; all processes exceed their memory.

Three storage machines and three front machines. Consumers send orders. The platform
kills a process that uses more than ``memoryMb`` and starts it again after a short
delay. With trouble another writer leaves entries in the list of servers; nothing
else is disturbed.
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
    Consumer,
    desired_state,
    new_id,
    plain_service,
    route,
)
from fleet2.machines import run_case
from fleet2.servers import Server
from fleet2.store import MetadataStore

KEY = '3fexd9dnn2ctnfzs989a'
SERVICE = 'orda22b'
#: Largest value of the platform's store, and of one page of a list.
VALUE_BYTES = 1_048_576
PAGE_BYTES = 1_000_000
import os
ENTRY_COUNT = int(os.environ.get("N", 24))
#: Pause between two writes of the other writer.
WRITE_GAP_S = 1.0
#: Content of its entries: a long text and some empty lists.
TEXT_BYTES = 1_040_000
LIST_COUNT = 70
#: Limits of the site, in units of 10**6 bytes.
MEMORY_MB = {'front': 150, 'storage': 170}
CHECK_INTERVAL_S = 0.02
RESTART_S = 0.5
CALM_S = 3
WATCH_S = 30
CONSUMER_COUNT = 4
DEADLINE_MS = 3000
#: Fault: processes of two machines end three times.
MACHINES_MIN = 2
ENDS_MIN = 3


class PagedStore(MetadataStore):
    """The platform's store, with lists of one megabyte a page at most."""

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
        if (used_mb <= limit_mb or "NOKILL" in os.environ) and name not in self._fleet.ended():
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


async def send_orders(consumer, front, orders):
    """Send orders one after the other until cancelled."""
    while True:
        _, answer = await consumer.send(
            front, 'POST', '/book/4b', f'order {new_id()}'.encode(), DEADLINE_MS
        )
        orders.append(answer)
        await asyncio.sleep(random.uniform(0.1, 0.3))


def write_entry(fleet, number):
    """Write an entry that names no server, as another writer does."""
    spec = {'text': 'x' * TEXT_BYTES, 'lists': [[]] * LIST_COUNT}
    length = len(json.dumps(spec))
    if length > VALUE_BYTES:
        raise RuntimeError('the entry is larger than the store allows')
    fleet.store.put('servers', f'i-other-{number}', spec)
    fleet.record.say('entry of another writer', number=number, length=length)


async def main(fleet, has_trouble):
    """Run the case; return whether Fault was broken."""
    fleet.store = PagedStore(fleet.record)
    await fleet.start_store()
    fleet.store.put(
        'config',
        'main',
        desired_state(
            7, [route('book', 'unsafe', SERVICE, DEADLINE_MS)],
            [plain_service(SERVICE)], [('hule930', KEY)],
        ),
    )
    for zone in fleet.zones * 2:
        server = Server(
            fleet.store, fleet.record, f'i-{new_id()[:8]}', SERVICE, zone,
            fleet.server_address(), lambda: random.uniform(0.09, 0.13),
        )
        await server.start()
    for zone in fleet.zones:
        fleet.add_machine('storage', zone, bootstrap=True)
    fronts = [
        fleet.add_machine('front', zone, bootstrap=True) for zone in fleet.zones
    ]
    await fleet.wait_ready()
    platform = Platform(fleet)
    consumer = Consumer(fleet, KEY)
    orders = []
    tasks = [asyncio.ensure_future(platform.run())]
    for front in fronts * CONSUMER_COUNT:
        tasks.append(asyncio.ensure_future(send_orders(consumer, front, orders)))
    await asyncio.sleep(CALM_S)
    for number in range(ENTRY_COUNT):
        if has_trouble:
            write_entry(fleet, number)
        await asyncio.sleep(WRITE_GAP_S)
    began_s = time.monotonic()
    await asyncio.sleep(WATCH_S)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    return judge(fleet, platform, orders, began_s)


def judge(fleet, platform, orders, began_s):
    """Apply Fault as written."""
    names = sorted(fleet.process_ids().keys() | platform.ends.keys())
    for name in names:
        fleet.record.say(
            name, most_memory_mb=platform.most_mb[name], ends=platform.ends[name]
        )
    late = [answer for answer in orders if answer.began_s > began_s]
    fleet.record.say(
        'orders', served_before=count_served(orders) - count_served(late),
        sent_after_the_entries=len(late), served_of_these=count_served(late),
    )
    often = [name for name, count in platform.ends.items() if count >= ENDS_MIN]
    return len(often) >= MACHINES_MIN


def count_served(answers):
    """Count the orders that were answered with success."""
    return sum(answer.status == 200 for answer in answers)


if __name__ == '__main__':
    sys.exit(run_case(main, Path(__file__).resolve().parent))
