"""Steps of config_differences.feature."""

import itertools

import hypothesis
import msgspec
from behave import then, when
from hypothesis import strategies

from rattanvalve.catalog import Catalog, build_catalog, revise_catalog
from rattanvalve.configapply import apply_differences
from rattanvalve.configtables import Difference, compare_tables, tables_of
from rattanvalve.errors import RattanvalveError
from rattanvalve.inventory import KeyEntry, Rate, WorkspaceEntry
from rattanvalve.keys import key_digest
from tests import configfaults
from tests.cellsim import soak_settings
from tests.samples import sample_config

_small_numbers = strategies.integers(0, 3)
#: Digest by key name, shards by workspace, rate by workspace, drains.
_states = strategies.tuples(
    strategies.dictionaries(_small_numbers, _small_numbers),
    strategies.dictionaries(_small_numbers, strategies.integers(1, 3)),
    strategies.dictionaries(_small_numbers, strategies.integers(1, 3)),
    strategies.sets(_small_numbers),
)


@when('the configuration meets the fault {name}')
def step_fault(context, name):
    context.failure = None
    try:
        context.run(configfaults.run_fault(name))
    except (AssertionError, RattanvalveError) as error:
        context.failure = error


def config_of(state):
    """Build a configuration; of keys with equal digests the first remains."""
    keys, workspaces, rates, drains = state
    first_names = {digest: name for name, digest in reversed(keys.items())}
    config = sample_config()
    return msgspec.structs.replace(
        config,
        inventory=msgspec.structs.replace(
            config.inventory,
            keys=tuple(
                KeyEntry(
                    name=f'key-{name}',
                    workspace=f'w-{digest % 2}',
                    digest_sha256=key_digest(str(digest)),
                )
                for digest, name in first_names.items()
            ),
            workspaces=tuple(
                WorkspaceEntry(name=f'w-{number}', shards=shards)
                for number, shards in workspaces.items()
            ),
        ),
        rules=msgspec.structs.replace(
            config.rules,
            rates={
                f'w-{number}': Rate(rate_per_s=float(rate), burst=1)
                for number, rate in rates.items()
            },
            drained_endpoints=tuple(f'e-{number}' for number in drains),
        ),
    )


def lookups_of(catalog: Catalog):
    """Return the parts of a catalog that do not depend on the row order."""
    return {
        'generation': catalog.generation,
        'models': catalog.models,
        'services': catalog.services,
        'shards': catalog.shard_counts,
        'keys': catalog.key_workspaces,
        'drains': catalog.drained_endpoints,
        'rates': catalog.config.rules.rates,
    }


@then('tables and catalogs after differences are those of the whole document')
def step_random(context):
    @soak_settings
    @hypothesis.given(strategies.lists(_states, min_size=2, max_size=5))
    def soak(states):
        documents = [tables_of(config_of(state)) for state in states]
        differences = [
            msgspec.json.decode(
                msgspec.json.encode(
                    msgspec.structs.replace(
                        compare_tables(before, after),
                        generation=generation,
                    ),
                ),
                type=Difference,
            )
            for generation, (before, after) in enumerate(
                itertools.pairwise(documents),
                start=2,
            )
        ]
        tables, changes = apply_differences(documents[0], 1, differences)
        last = documents[-1]
        newest = len(documents)
        assert tables.digest == last.digest == tables_of(tables.config).digest
        revised = revise_catalog(
            build_catalog(documents[0].config, 1),
            tables.config,
            newest,
            changes,
        )
        expected = build_catalog(last.config, newest)
        assert lookups_of(revised) == lookups_of(expected)

    soak()
