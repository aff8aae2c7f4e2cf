"""The configuration as tables of rows: digest, differences, shallow copies."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from hashlib import blake2b
from typing import Any

import msgspec

from rattanvalve.inventory import (
    Budget,
    Config,
    Inventory,
    KeyEntry,
    ModelEntry,
    PriorityName,
    Rate,
    RouteRule,
    Rules,
    ServiceEntry,
    WorkspaceEntry,
)

__all__ = (
    'ConfigTables',
    'Difference',
    'DifferenceError',
    'RowChange',
    'compare_tables',
    'tables_of',
)

#: Sums of row hashes are taken modulo this.
_DIGEST_MODULUS = 1 << 256
_DIGEST_BYTES = 32

_ROW_TYPES: dict[str, Any] = {
    'models': ModelEntry,
    'services': ServiceEntry,
    'workspaces': WorkspaceEntry,
    'keys': KeyEntry,
    'rates': Rate,
    'priorities': PriorityName,
    'budgets': Budget,
    'open_routes': RouteRule,
    'drained_endpoints': str,
    'policies': str,
}
_LISTS = frozenset(('models', 'services', 'workspaces', 'keys'))
_RULE_LISTS = frozenset(('open_routes', 'drained_endpoints'))
_POLICIES = ('placement_policy', 'queue_policy')


class DifferenceError(ValueError):
    """A difference is malformed or gives another document than its writer's."""


class Difference(msgspec.Struct, kw_only=True, frozen=True):
    """Rows that a generation changed, compared with the generation before.

    ``put`` lists table, name and new row; ``drop`` table and name. ``digest``
    is the one of the resulting document.
    """

    generation: int
    change_id: str
    author: str
    digest: str
    put: tuple[tuple[str, str, msgspec.Raw], ...] = ()
    drop: tuple[tuple[str, str], ...] = ()


@dataclass(frozen=True, slots=True)
class RowChange:
    """One row before and after; ``None`` stands for an absent row."""

    table: str
    name: str
    before: Any
    after: Any


@dataclass(frozen=True, slots=True)
class ConfigTables:
    """Rows of all tables, with the configuration that they stand for.

    ``digest_sum`` is the sum of the row hashes. It does not depend on the
    order of rows and follows a change at the cost of the changed rows. It
    detects faults; peers are authenticated by the MAC of the frames.
    """

    config: Config
    rows: dict[str, dict[str, Any]]
    digest_sum: int

    @property
    def digest(self) -> str:
        """Digest of the document as hexadecimal text."""
        return f'{self.digest_sum:064x}'

    def read_changes(self, difference: Difference) -> list[RowChange]:
        """Decode the rows of a difference.

        :param difference: difference to the next generation.
        :returns: the changed rows.
        :raises DifferenceError: if a table is unknown or a row is invalid.
        """
        try:
            return [
                *(
                    RowChange(
                        table,
                        name,
                        self.rows[table].get(name),
                        msgspec.json.decode(raw, type=_ROW_TYPES[table]),
                    )
                    for table, name, raw in difference.put
                ),
                *(
                    RowChange(table, name, self.rows[table].get(name), None)
                    for table, name in difference.drop
                ),
            ]
        except (KeyError, msgspec.MsgspecError) as error:
            raise DifferenceError(f'malformed difference: {error}') from error

    def with_changes(self, changes: Iterable[RowChange]) -> 'ConfigTables':
        """Make the tables after changes; unchanged tables are shared.

        :param changes: changed rows.
        :returns: new tables.
        """
        copied: dict[str, dict[str, Any]] = {}
        digest_sum = self.digest_sum
        for change in changes:
            rows = copied.get(change.table)
            if rows is None:
                rows = self.rows[change.table].copy()
                copied[change.table] = rows
            digest_sum += _change_hash(change)
            if change.after is None:
                rows.pop(change.name, None)
            else:
                rows[change.name] = change.after
        return ConfigTables(
            config=_revise_config(self.config, copied),
            rows=self.rows | copied,
            digest_sum=digest_sum % _DIGEST_MODULUS,
        )


def tables_of(config: Config) -> ConfigTables:
    """Split a configuration into rows.

    :param config: valid configuration.
    :returns: its tables.
    """
    inventory, rules = config.inventory, config.rules
    rows: dict[str, dict[str, Any]] = {
        table: {entry.name: entry for entry in getattr(inventory, table)}
        for table in ('models', 'services', 'workspaces', 'keys')
    }
    rows['rates'] = dict(rules.rates)
    rows['priorities'] = dict(rules.priorities)
    rows['budgets'] = dict(rules.budgets)
    # Routes have no name; their text tells them apart.
    rows['open_routes'] = {
        msgspec.json.encode(route).decode(): route
        for route in rules.open_routes
    }
    rows['drained_endpoints'] = {name: name for name in rules.drained_endpoints}
    rows['policies'] = {name: getattr(rules, name) for name in _POLICIES}
    digest_sum = sum(
        _row_hash(table, name, row)
        for table, named in rows.items()
        for name, row in named.items()
    )
    return ConfigTables(config, rows, digest_sum % _DIGEST_MODULUS)


def compare_tables(before: ConfigTables, after: ConfigTables) -> Difference:
    """List the rows that differ.

    :param before: tables of the older generation.
    :param after: tables of the newer generation.
    :returns: difference without generation, author and change id.
    """
    put: list[tuple[str, str, msgspec.Raw]] = []
    drop: list[tuple[str, str]] = []
    for change in _compare(before, after):
        if change.after is None:
            drop.append((change.table, change.name))
        else:
            raw = msgspec.Raw(msgspec.json.encode(change.after))
            put.append((change.table, change.name, raw))
    return Difference(
        generation=0,
        change_id='',
        author='',
        digest=after.digest,
        put=tuple(put),
        drop=tuple(drop),
    )


def _compare(before: ConfigTables, after: ConfigTables) -> Iterator[RowChange]:
    for table, new in after.rows.items():
        old = before.rows[table]
        if old is new:
            continue
        for name in new.keys() - old.keys():
            yield RowChange(table, name, None, new[name])
        for name in new.keys() & old.keys():
            if old[name] != new[name]:
                yield RowChange(table, name, old[name], new[name])
        for name in old.keys() - new.keys():
            yield RowChange(table, name, old[name], None)


def _change_hash(change: RowChange) -> int:
    delta = 0
    if change.before is not None:
        delta -= _row_hash(change.table, change.name, change.before)
    if change.after is not None:
        delta += _row_hash(change.table, change.name, change.after)
    return delta


def _row_hash(table: str, name: str, row: Any) -> int:
    if table == 'services':
        # The order of the rules of a service has no meaning.
        rules = sorted(row.non_repeatable, key=msgspec.json.encode)
        row = msgspec.structs.replace(row, non_repeatable=tuple(rules))
    text = b'\0'.join(
        (table.encode(), name.encode(), msgspec.json.encode(row)),
    )
    digest = blake2b(text, digest_size=_DIGEST_BYTES).digest()
    return int.from_bytes(digest, 'big')


def _revise_config(
    config: Config,
    changed: dict[str, dict[str, Any]],
) -> Config:
    lists = {
        table: tuple(rows.values())
        for table, rows in changed.items()
        if table in _LISTS
    }
    rules: dict[str, Any] = {
        table: tuple(rows.values()) if table in _RULE_LISTS else rows
        for table, rows in changed.items()
        if table not in _LISTS and table != 'policies'
    }
    rules.update(changed.get('policies', {}))
    inventory: Inventory = config.inventory
    revised_rules: Rules = config.rules
    return Config(
        inventory=msgspec.structs.replace(inventory, **lists),
        rules=msgspec.structs.replace(revised_rules, **rules),
    )
