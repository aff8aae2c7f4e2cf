"""The configuration as tables of rows, with digest and differences."""

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

#: Modulus of the sum of row hashes.
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
    """A difference is malformed, or its result has another digest."""


class Difference(msgspec.Struct, kw_only=True, frozen=True):
    """Rows that changed from the previous generation to ``generation``.

    ``put`` lists table, name and new row; ``drop`` lists table and name of
    removed rows. ``digest`` is the digest of the resulting document.
    """

    generation: int
    change_id: str
    author: str
    digest: str
    put: tuple[tuple[str, str, msgspec.Raw], ...] = ()
    drop: tuple[tuple[str, str], ...] = ()


@dataclass(frozen=True, slots=True)
class RowChange:
    """One row before and after a change; ``None`` means an absent row."""

    table: str
    name: str
    before: Any
    after: Any


@dataclass(frozen=True, slots=True)
class ConfigTables:
    """Rows of all tables, and the configuration that they represent.

    ``digest_sum`` is the sum of the row hashes. It does not depend on the
    order of rows, and an update costs only the hashes of the changed rows. It
    detects faults, not attacks; the MAC of the frames authenticates peers.
    """

    config: Config
    rows: dict[str, dict[str, Any]]
    digest_sum: int

    @property
    def digest(self) -> str:
        """Digest of the document in hexadecimal, 64 digits."""
        return f'{self.digest_sum:064x}'

    def read_changes(self, difference: Difference) -> list[RowChange]:
        """Decode the rows of a difference.

        :param difference: difference that applies to these tables.
        :returns: the changed rows, with the current rows as ``before``.
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
        """Return the tables after changes; these tables stay as they are.

        :param changes: changed rows.
        :returns: new tables, which share the tables without a change.
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
    """Split a configuration into tables of rows.

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
    # Routes have no name; their JSON text is the key.
    rows['open_routes'] = {
        msgspec.json.encode(route).decode(): route
        for route in rules.open_routes
    }
    rows['drained_endpoints'] = {name: name for name in rules.drained_endpoints}
    rows['policies'] = {name: getattr(rules, name) for name in _POLICIES}
    digest_sum = sum(
        _row_hash(table, name, row)
        for table, rows_by_name in rows.items()
        for name, row in rows_by_name.items()
    )
    return ConfigTables(config, rows, digest_sum % _DIGEST_MODULUS)


def compare_tables(before: ConfigTables, after: ConfigTables) -> Difference:
    """Compute the rows that differ.

    :param before: tables of the older generation.
    :param after: tables of the newer generation.
    :returns: difference; generation, author and change id are not set.
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
        # The order of these rules has no meaning and must not affect the hash.
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
