"""Steps of gateway/odd_entries.feature."""

import asyncio
import json
import random
import time
from unittest import mock

import aiohttp
from behave import given, then, when

from rattanvalve.platform.json_bounds import cut_deep_values
from rattanvalve.platform.json_repair import replace_unreadable
from rattanvalve.platform.objects import (
    ObjectStore,
    StoredEntry,
    decode_entry,
)
from rattanvalve.platform.servers import decode_servers, encode_servers
from rattanvalve.sharedstate import tasks
from tests.platform_fleet import KEY, configuration
from tests.platform_store import PlatformStore

NEW_KEY = 'key-added-later'
#: Sorted before all servers, so that it is on the first page of a list.
ODD_NAME = 'aa-odd'
REQUEST_INTERVAL_S = 0.05
#: JSON text by the grammar, but no character.
HALF_PAIR = r'"\ud800"'
SOUND_SPEC = {
    'service': 'app',
    'address': '127.0.0.1:1',
    'zone': 'z',
    'slots': 4,
    'state': 'draining',
    'born': 1,
}


def _nested(levels):
    return '[' * levels + ']' * levels


def _server_text(oddity):
    """Return the JSON text of an odd server entry."""
    words = oddity.split()
    number = next((word for word in words if word[0].isdigit()), '')
    if words[0] == 'nested':
        return f'{json.dumps(SOUND_SPEC)[:-1]}, "odd": {_nested(int(number))}}}'
    fields = {
        'with': {'slots': number},
        'born': {'born': '9' * 400},
        'that': {'coldRemainingMs': number},
        'at': {'address': f'"127.0.0.1:{number}"'},
        'whose': {'service': HALF_PAIR},
        'of': {'slots': 'NaN'},
        'keyed': {HALF_PAIR.strip('"'): '1', 'slots': 'null'},
    }
    spec = {name: json.dumps(part) for name, part in SOUND_SPEC.items()}
    spec |= fields[words[0]]
    if 'name' in words:
        spec |= {'slots': '4', 'service': json.dumps('x' * int(number))}
    pairs = ', '.join(f'"{name}": {part}' for name, part in spec.items())
    return f'{{{pairs}}}'


def _watch_tasks(context):
    patch = mock.patch.object(tasks, '_log')
    context.task_log = patch.start()
    context.add_cleanup(patch.stop)


@when('another writer adds an entry of a server {oddity}')
def step_odd_server(context, oddity):
    _watch_tasks(context)
    context.fleet.store.put_text('servers', ODD_NAME, _server_text(oddity))


@when('another writer adds a {kind} that is {oddity}')
def step_odd_object(context, kind, oddity):
    _watch_tasks(context)
    text = oddity
    if oddity.startswith('nested'):
        text = _nested(int(oddity.split()[1]))
    context.fleet.store.put_text(kind, ODD_NAME, text)


@when('then the operators add a key and server {name} is added')
def step_change(context, name):
    async def change():
        # The odd entry is read by all before the changes.
        await asyncio.sleep(1)
        context.changed_s = time.monotonic()
        context.fleet.store.put(
            'config', 'main', configuration(2, keys=(KEY, NEW_KEY))
        )
        await context.fleet.add_server(name)

    context.run(change())


@then('the key is accepted by both gateways within {bound_s:d} s')
def step_accepted(context, bound_s):
    async def send():
        await asyncio.sleep(context.changed_s + bound_s - time.monotonic())
        return [
            (await context.fleet.request('/look/x', index, X_Api_Key=NEW_KEY))[
                0
            ]
            for index in (0, 1)
        ]

    assert context.run(send()) == [200, 200]


@then('{name} gets requests, and no process has failed a task')
def step_served(context, name):
    fleet = context.fleet

    async def send():
        while not fleet.servers[name].requests:
            await asyncio.gather(
                *(fleet.request('/look/whole') for _ in range(4))
            )
            await asyncio.sleep(REQUEST_INTERVAL_S)

    context.run(asyncio.wait_for(send(), 5))
    assert not context.task_log.error.called, context.task_log.error.call_args


@then('an entry of a server {oddity} names no usable server')
def step_unusable(context, oddity):
    listed = [StoredEntry('odd', 1, _server_text(oddity).encode())]
    if oddity.startswith('nested'):
        metadata = b'{"metadata": {"name": "odd"}, "spec": '
        listed = [decode_entry(metadata + listed[0].spec + b'}')]
    assert decode_servers(encode_servers(listed)) == [('odd', None)]


def _random_value(chance, levels):
    """Return a random value of at most this many levels."""
    if not levels or chance.random() < 0.1:
        return chance.choice((1, 'a', r'}"\[', None))
    parts = [
        _random_value(chance, levels - 1) for _ in range(chance.randint(0, 3))
    ]
    if chance.random() < 0.5:
        return parts
    return {f'{number}[': part for number, part in enumerate(parts)}


def _without_depth(content, levels):
    if not isinstance(content, dict | list):
        return content
    if not levels:
        return None
    if isinstance(content, list):
        return [_without_depth(part, levels - 1) for part in content]
    return {
        name: _without_depth(part, levels - 1) for name, part in content.items()
    }


@then('each of {count:d} random values keeps its upper levels when it is cut')
def step_cut(context, count):
    chance = random.Random(1)
    for _ in range(count):
        content = _random_value(chance, 7)
        levels = chance.randint(1, 4)
        cut = cut_deep_values(json.dumps(content).encode(), levels)
        assert json.loads(cut) == _without_depth(content, levels), content


@then('the JSON text {text} is read as {expected}')
def step_replaced(context, text, expected):
    assert replace_unreadable(text.encode()) == expected.encode()


@given('a store with pages of two entries, of which the second page is odd')
def step_paged_store(context):
    context.store = PlatformStore()
    for number in range(6):
        context.store.put('servers', f'server-{number}', SOUND_SPEC)
    for number in (2, 3):
        context.store.put_text('servers', f'server-{number}', _nested(1100))


@then('a list has all entries that can be read')
def step_list(context):
    async def read():
        address = await context.store.start()
        async with aiohttp.ClientSession() as session:
            client = ObjectStore(f'http://{address}', session)
            changes = await client.list_objects('servers')
        await context.store.stop()
        return changes

    changes = context.run(read())
    names = [entry.name for entry in changes.written]
    assert names == [f'server-{number}' for number in range(6)], names
