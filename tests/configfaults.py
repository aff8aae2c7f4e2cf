"""Faults that propagation and storage of the configuration must tolerate."""

import json
from unittest import mock

import msgspec

from rattanvalve import configdocs, configstore
from rattanvalve.admission_mode import AdmissionMode
from rattanvalve.catalog import build_catalog
from rattanvalve.configdocs import BaseConfig
from rattanvalve.configtables import tables_of
from rattanvalve.counters import Counter
from rattanvalve.errors import ConfigTooLargeError, StoreError
from rattanvalve.inventory import KeyEntry, parse_config
from rattanvalve.keys import key_digest
from rattanvalve.store import StoredObject
from tests import cellsim
from tests.samples import sample_config, sample_document


def with_keys(names, digest_of=key_digest):
    """Return the sample configuration with other keys."""
    config = sample_config()
    keys = tuple(
        KeyEntry(name=name, workspace='north', digest_sha256=digest_of(name))
        for name in names
    )
    inventory = msgspec.structs.replace(config.inventory, keys=keys)
    return msgspec.structs.replace(config, inventory=inventory)


async def apply(sim, config, expected, name='a'):
    """Apply a configuration and run two rounds that propagate it."""
    controller = sim.entries[name].config
    generation = await controller.apply(
        config,
        expected,
        'eva',
        f'change-{expected}',
    )
    await sim.rounds(2)
    return generation


def check_all(sim, config, generation):
    """Check the catalog and the digest of all entries."""
    expected = build_catalog(config, generation)
    for entry in sim.entries.values():
        catalog = entry.context.blackboard.catalog
        assert catalog.generation == generation, catalog.generation
        assert catalog.key_workspaces == expected.key_workspaces
        assert catalog.shard_counts == expected.shard_counts
        assert catalog.drained_endpoints == expected.drained_endpoints
        assert tables_of(catalog.config).digest == tables_of(config).digest


def total_count(sim, counter):
    """Return the sum of a counter over all entries."""
    return sum(
        entry.context.metrics.counts[counter] for entry in sim.entries.values()
    )


async def change_often(sim):
    """Withdraw, add and move keys; peers receive only differences."""
    names = ['one', 'two', 'three']
    for generation in range(8):
        names = [*names[1:], f'key-{generation}']
        config = with_keys(names)
        assert await apply(sim, config, generation) == generation + 1
        check_all(sim, config, generation + 1)
    assert total_count(sim, Counter.CONFIG_DIFFERENCES) >= 7
    # Two keys exchange their digests within one change.
    first, second, _ = names
    digests = {first: key_digest(second), second: key_digest(first)}
    config = with_keys((first, second), digests.get)
    await apply(sim, config, 8)
    check_all(sim, config, 9)


async def split_often(sim):
    """Store a base and differences; a restarted process reads both."""
    with (
        mock.patch.object(configdocs, 'MAX_INLINE_BYTES', 0),
        mock.patch.object(configstore, 'HEAD_DIFFERENCE_COUNT', 3),
    ):
        await change_often(sim)
        sim.do_start('b', 0)
        await sim.entries['b'].config.load()
        catalog = sim.entries['b'].context.blackboard.catalog
        assert catalog.generation == 9
    bases = [
        msgspec.json.decode(stored.body, type=BaseConfig)
        for key, stored in sim.store.stored.items()
        if key.startswith('config-base/')
    ]
    assert len(bases) > 1
    # Bases that no head refers to any more are cleared.
    assert len([base for base in bases if base.packed]) == 1


async def diverge(sim):
    """Put rows into two processes that differ from their generation."""
    await apply(sim, with_keys(['one']), 0)
    for name in 'bc':
        holder = sim.entries[name].config._holder
        holder.tables = tables_of(with_keys(['other']))
    await apply(sim, with_keys(['one', 'two']), 1)
    check_all(sim, with_keys(['one', 'two']), 2)
    assert total_count(sim, Counter.CONFIG_MISMATCH) > 0


async def replace_base(sim):
    """Replace the base between the reads of the head and of the base."""
    with (
        mock.patch.object(configdocs, 'MAX_INLINE_BYTES', 0),
        mock.patch.object(configstore, 'HEAD_DIFFERENCE_COUNT', 0),
    ):
        await apply(sim, with_keys(['one']), 0)
        sim.do_start('b', 0)
        reader = sim.entries['b'].config
        original_read_base = reader._store.read_base

        async def read_late(reference):
            reader._store.read_base = original_read_base
            await sim.entries['a'].config.apply(
                with_keys(['two']),
                1,
                'eva',
                'change-1',
            )
            return await original_read_base(reference)

        reader._store.read_base = read_late
        await reader.refresh()
        assert not reader.problem
        catalog = sim.entries['b'].context.blackboard.catalog
        assert catalog.generation == 2
        assert tables_of(catalog.config).digest == (
            tables_of(with_keys(['two'])).digest
        )


async def lose_responses(sim):
    """Lose the response to the write of the base, then to that of the head."""
    with mock.patch.object(configdocs, 'MAX_INLINE_BYTES', 0):
        for _ in range(2):
            sim.store.lost_response_count = 1
            try:
                await apply(sim, with_keys(['one']), 0)
            except StoreError:
                sim.store.lost_response_count = 0
        assert await apply(sim, with_keys(['one']), 0) == 1
        check_all(sim, with_keys(['one']), 1)


async def write_too_much(sim):
    """Refuse a configuration that exceeds the size limit of the store."""
    await apply(sim, with_keys(['one']), 0)
    before = dict(sim.store.stored)
    with mock.patch.object(configdocs, 'MAX_OBJECT_BYTES', 500):
        try:
            await apply(sim, with_keys(['one', 'two']), 1)
        except ConfigTooLargeError:
            assert sim.store.stored['config'] == before['config']
            return
    raise AssertionError('not refused')


MALFORMED_HEADS = (
    b'',
    b'{"generation":9',
    b'{"generation":9,"change_id":"x","author":""}',
    b'{"generation":9,"change_id":"x","author":"","config":{"colour":1}}',
    b'{"generation":9,"change_id":"x","author":"","digest":"1","config":{}}',
    b'{"generation":1,"change_id":"x","author":"","config":{}}',
    b'{"generation":9,"change_id":"x","author":"","base":'
    b'{"key":"none","version":1,"generation":9}}',
)


async def write_rubbish(sim):
    """Overwrite the head with malformed documents; a change replaces each."""
    generation = 0
    for number, body in enumerate(MALFORMED_HEADS):
        config = with_keys([f'key-{number}'])
        generation = await apply(sim, config, generation)
        version = sim.store.get('config').version
        sim.store.stored['config'] = StoredObject(version + 1, body)
        await sim.rounds(2)
        check_all(sim, config, generation)
        assert all(
            entry.config.problem
            for entry in sim.entries.values()
            if entry.config.is_watcher()
        ), body
        repaired = await apply(sim, config, generation, 'c')
        # The number of an overwritten generation must not be reused.
        assert repaired > version, (repaired, version)
        generation = repaired
        check_all(sim, config, generation)
        assert not any(entry.config.problem for entry in sim.entries.values())


async def spoil_view(sim):
    """Overwrite the view with a malformed one; a repair waits for the lease."""
    entry_blackboard = sim.entries['a'].context.blackboard
    epoch = entry_blackboard.view.epoch
    version = sim.store.get('view/cell').version
    sim.store.stored['view/cell'] = StoredObject(version + 1, b'{"epoch":')
    await sim.rounds(5)
    assert any(entry.view.repair.problem for entry in sim.entries.values())
    for entry in sim.entries.values():
        entry.view.repair.request()
    await sim.rounds(2)
    assert sim.store.get('view/cell').body == b'{"epoch":', 'too early'
    await sim.rounds(20)
    assert set(sim.modes().values()) == {AdmissionMode.FULL}
    assert entry_blackboard.view.epoch == epoch
    assert not any(entry.view.repair.problem for entry in sim.entries.values())
    assert total_count(sim, Counter.VIEW_MALFORMED) > 0
    assert sim.store.get('view/cell').version == version + 2


async def reorder(sim):
    """Reverse all lists; the digest must not depend on the order."""
    document = sample_document()
    digest = tables_of(sample_config()).digest
    for part in (document['inventory'], document['rules']):
        for content in part.values():
            if isinstance(content, list):
                content.reverse()
    reordered = parse_config(json.dumps(document).encode()).unwrap()
    assert reordered != sample_config()
    assert tables_of(reordered).digest == digest


FAULTS = {
    fault.__name__: fault
    for fault in (
        change_often,
        split_often,
        diverge,
        replace_base,
        lose_responses,
        write_too_much,
        write_rubbish,
        spoil_view,
        reorder,
    )
}


async def run_fault(name):
    """Run a fault in a settled cell."""
    await FAULTS[name](await cellsim.start_cell())
