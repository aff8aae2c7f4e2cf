"""Benchmark of configuration changes at target size; prints a Markdown table.

Run ``python -m tests.config_bench``. Absolute times depend on the machine, so
adopting the whole document and adopting a difference are timed alternately,
and their ratio is printed.
"""

import asyncio
import statistics
import sys
import time

import msgspec

from rattanvalve.blackboard import Blackboard
from rattanvalve.catalog import build_catalog, revise_catalog
from rattanvalve.config_controller import ConfigController
from rattanvalve.configapply import apply_differences, parse_tables
from rattanvalve.configdocs import StoredConfig, encode_base, encode_document
from rattanvalve.configedit import grant_key
from rattanvalve.configtables import RowChange, compare_tables, tables_of
from rattanvalve.control import ControlContext
from rattanvalve.counters import Metrics
from rattanvalve.inventory import KeyEntry, encode_config, parse_config
from rattanvalve.keys import key_digest
from rattanvalve.messages import Member
from tests.cellsim import FakeStore

WORKSPACE_COUNT = 1800
KEYS_PER_WORKSPACE = 3
CHANGES_PER_S = 12_000 / 86_400
ROUND_COUNT = 40
#: Enough changes that several bases are written.
CHANGE_COUNT = 150
_MS_PER_S = 1000


def make_document(workspace_count=WORKSPACE_COUNT):
    """Build a configuration with rules for each workspace."""
    names = [f'workspace-{number:04d}' for number in range(workspace_count)]
    services = [f'engine-{number}' for number in range(7)]
    return {
        'inventory': {
            'models': [
                {'name': f'model-{name}', 'service': name} for name in services
            ],
            'services': [{'name': name, 'kind': 'engine'} for name in services],
            'workspaces': [{'name': name} for name in names],
            'keys': [
                {
                    'name': f'{name}-app-{number}',
                    'workspace': name,
                    'digest_sha256': key_digest(f'{name}/{number}'),
                }
                for name in names
                for number in range(KEYS_PER_WORKSPACE)
            ],
        },
        'rules': {
            'rates': {name: {'rate_per_s': 50, 'burst': 100} for name in names},
            'priorities': dict.fromkeys(names, 'normal'),
            'budgets': {
                name: {'program_tokens': 2_000_000, 'program_calls': 200}
                for name in names
            },
        },
    }


def main():
    """Run the benchmark and print the table."""
    text = msgspec.json.encode(make_document())
    tables = tables_of(parse_config(text).unwrap())
    key = KeyEntry(
        name='workspace-0001-app-9',
        workspace='workspace-0001',
        digest_sha256=key_digest('new'),
    )
    granted = tables.with_changes([RowChange('keys', key.name, None, key)])
    difference = msgspec.structs.replace(
        compare_tables(tables, granted),
        generation=2,
        change_id='0' * 32,
        author='operator',
    )
    catalog = build_catalog(tables.config, 1)
    document_text = msgspec.json.encode(tables.config)

    def adopt_whole():
        build_catalog(parse_tables(document_text).config, 2)

    def adopt_difference():
        after, changes = apply_differences(tables, 1, [difference])
        revise_catalog(catalog, after.config, 2, changes)

    times = {adopt_whole: [], adopt_difference: []}
    for _ in range(ROUND_COUNT):
        for operation, durations_ms in times.items():
            began_s = time.perf_counter()
            operation()
            durations_ms.append((time.perf_counter() - began_s) * _MS_PER_S)
    ratios = [long / short for long, short in zip(*times.values(), strict=True)]
    _print_sizes(tables, difference)
    for operation, durations_ms in times.items():
        _print_row(f'{operation.__name__} (ms)', *_spread(durations_ms))
    _print_row('ratio', *_spread(ratios))
    sizes = asyncio.run(_watch_changes(tables.config))
    _print_row('read by a watcher at a change (bytes)', *_spread(sizes))
    mean = statistics.mean(sizes)
    _print_row('mean of these (bytes)', f'{mean:.0f}', '', '')
    _print_row('watcher (bytes/s)', f'{mean * CHANGES_PER_S:.0f}', '', '')


class CountingStore:
    """Wraps a store and counts the bytes read."""

    def __init__(self, store):
        self.store = store
        self.read_bytes = 0

    async def get(self, key):
        """Read an object."""
        stored = self.store.get(key)
        self.read_bytes += len(stored.body) if stored else 0
        return stored

    async def put(self, key, body, version, change_id):
        """Write conditionally."""
        return self.store.put(key, body, version)

    async def watch(self, key, version, timeout_s):
        """Read the object at once."""
        return await self.get(key)


def _controller(store):
    context = ControlContext(
        cell='cell',
        blackboard=Blackboard(),
        store=CountingStore(store),
        call=None,
        metrics=Metrics(),
    )
    return context, ConfigController(Member(name='a'), context)


async def _watch_changes(config):
    """Grant keys one after another; return the bytes read per change."""
    store = FakeStore()
    _, writer = _controller(store)
    context, watcher = _controller(store)
    await writer.apply(config, 0, 'operator', 'first')
    await watcher.watch_once()
    sizes = []
    for number in range(1, CHANGE_COUNT + 1):
        edit = grant_key(
            f'new-{number}',
            'workspace-0001',
            key_digest(str(number)),
        )
        config = edit(config).unwrap()
        await writer.apply(config, number, 'operator', f'{number:032d}')
        context.store.read_bytes = 0
        await watcher.watch_once()
        assert context.blackboard.catalog.generation == number + 1
        sizes.append(context.store.read_bytes)
    return sizes


def _print_sizes(tables, difference):
    envelope = StoredConfig(
        generation=1,
        change_id='0' * 32,
        author='operator',
        config=msgspec.Raw(encode_config(tables.config)),
    )
    base = encode_base(tables.config, 1, '0' * 32)
    change = len(msgspec.json.encode([difference]))
    _print_row('measure', 'median', 'least', 'most')
    _print_row('---', '---', '---', '---')
    _print_row('document (bytes)', len(encode_config(tables.config)), '', '')
    _print_row('base object (bytes)', len(base), '', '')
    _print_row(
        'packed for a peer (bytes)', len(encode_document(envelope)), '', ''
    )
    _print_row('difference of one key (bytes)', change, '', '')
    per_s = change * CHANGES_PER_S
    _print_row('differences at a daemon (bytes/s)', f'{per_s:.0f}', '', '')


def _spread(samples):
    return [
        f'{value:.2f}'
        for value in (statistics.median(samples), min(samples), max(samples))
    ]


def _print_row(*cells):
    sys.stdout.write(f'| {" | ".join(map(str, cells))} |\n')


if __name__ == '__main__':
    main()
