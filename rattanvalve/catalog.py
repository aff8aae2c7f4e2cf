"""Lookup tables for one generation of the configuration."""

import enum
from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from hashlib import blake2b

from rattanvalve.configtables import RowChange
from rattanvalve.inventory import (
    DEFAULT_RATE,
    Budget,
    Config,
    ModelEntry,
    Rate,
    RouteRule,
    ServiceEntry,
)

__all__ = (
    'SUBAGENT_SEPARATOR',
    'Catalog',
    'Priority',
    'build_catalog',
    'revise_catalog',
    'root_program_id',
)

#: Budget of a workspace without a rule.
DEFAULT_BUDGET = Budget()
#: Separates the id of the root program from the rest in the program id of a
#: sub-agent.
SUBAGENT_SEPARATOR = '~'


def root_program_id(program_id: str) -> str:
    """Return the root program in the program id of a sub-agent.

    :param program_id: program id.
    :returns: id of the root, or an empty string if the id has no separator
        and is thus not the id of a sub-agent.
    """
    root, separator, _ = program_id.partition(SUBAGENT_SEPARATOR)
    return root if separator else ''


class Priority(enum.IntEnum):
    """Priority class; lower values are served first."""

    HIGH = 0
    NORMAL = 1
    LOW = 2


_PRIORITIES = {
    'high': Priority.HIGH,
    'normal': Priority.NORMAL,
    'low': Priority.LOW,
}


@dataclass(frozen=True, slots=True, kw_only=True)
class Catalog:
    """One generation of the configuration, indexed by name and key digest."""

    generation: int = 0
    config: Config = field(default_factory=Config)
    models: dict[str, ModelEntry] = field(default_factory=dict)
    services: dict[str, ServiceEntry] = field(default_factory=dict)
    shard_counts: dict[str, int] = field(default_factory=dict)
    key_workspaces: dict[str, str] = field(default_factory=dict)
    drained_endpoints: frozenset[str] = frozenset()

    def workspace_of_key(self, digest: str) -> str | None:
        """Find the workspace of a key.

        :param digest: digest by :func:`rattanvalve.keys.key_digest`.
        :returns: workspace name, or ``None`` for an unknown or withdrawn key.
        """
        return self.key_workspaces.get(digest)

    def service_of_model(self, model: str) -> str | None:
        """Find the engine service of a model.

        :param model: model name that a caller sent.
        :returns: service name, or ``None`` for an unknown model.
        """
        entry = self.models.get(model)
        return entry.service if entry else None

    def rate_of_shard(self, workspace: str) -> Rate:
        """Return the rate and burst of each shard of a workspace.

        :param workspace: workspace name.
        :returns: an equal share of the workspace's rate and burst; the burst
            is rounded down, so the shares never exceed the whole.
        """
        rate = self.config.rules.rates.get(workspace, DEFAULT_RATE)
        shards = self.shard_counts.get(workspace, 1)
        return Rate(
            rate_per_s=rate.rate_per_s / shards,
            burst=rate.burst // shards,
        )

    def budget_of(self, workspace: str) -> Budget:
        """Return the budget of each program of a workspace.

        :param workspace: workspace name.
        :returns: the configured budget, or ``DEFAULT_BUDGET``.
        """
        return self.config.rules.budgets.get(workspace, DEFAULT_BUDGET)

    def priority_of(self, workspace: str) -> Priority:
        """Return the priority class of a workspace.

        :param workspace: workspace name.
        :returns: the configured class, or normal.
        """
        return _PRIORITIES[
            self.config.rules.priorities.get(workspace, 'normal')
        ]

    def shard_of(self, workspace: str, program_id: str) -> int:
        """Return the shard that a program belongs to.

        A sub-agent belongs to the shard of its root program, as they share a
        budget that one owner counts.

        :param workspace: workspace name.
        :param program_id: program id within the workspace.
        :returns: shard index from 0.
        """
        shards = self.shard_counts.get(workspace, 1)
        root = root_program_id(program_id) or program_id
        digest = blake2b(root.encode(), digest_size=8).digest()
        return int.from_bytes(digest, 'big') % shards

    def is_repeatable(self, service: str, method: str, path: str) -> bool:
        """Return whether a request may run more than once.

        :param service: service name.
        :param method: HTTP method.
        :param path: path within the service, starting with ``/``.
        :returns: ``False`` if a ``non_repeatable`` rule of the service
            matches the request.
        """
        entry = self.services.get(service)
        rules = entry.non_repeatable if entry else ()
        return not any(_matches(rule, method, path) for rule in rules)

    def is_open_route(self, service: str, method: str, path: str) -> bool:
        """Return whether a request needs no key.

        :param service: service name.
        :param method: HTTP method.
        :param path: path within the service, starting with ``/``.
        :returns: whether a rule in ``open_routes`` matches the request.
        """
        return any(
            rule.service == service and _matches(rule, method, path)
            for rule in self.config.rules.open_routes
        )


def build_catalog(config: Config, generation: int) -> Catalog:
    """Build the lookup tables of a configuration.

    :param config: valid configuration.
    :param generation: its generation number.
    :returns: the catalog.
    """
    inventory = config.inventory
    return Catalog(
        generation=generation,
        config=config,
        models={entry.name: entry for entry in inventory.models},
        services={entry.name: entry for entry in inventory.services},
        shard_counts={
            entry.name: entry.shards for entry in inventory.workspaces
        },
        key_workspaces={
            entry.digest_sha256: entry.workspace for entry in inventory.keys
        },
        drained_endpoints=frozenset(config.rules.drained_endpoints),
    )


def revise_catalog(
    previous: Catalog,
    config: Config,
    generation: int,
    changes: Iterable[RowChange],
) -> Catalog:
    """Update the lookup tables after changes of a few rows.

    :param previous: catalog of the configuration before the changes.
    :param config: configuration after the changes.
    :param generation: its generation number.
    :param changes: changed rows in the order in which they were made.
    :returns: a new catalog. Tables with a change are copied, others shared.
    """
    net_changes: dict[tuple[str, str], RowChange] = {}
    for change in changes:
        place = (change.table, change.name)
        first = net_changes.get(place, change)
        net_changes[place] = replace(change, before=first.before)
    names = {_TABLE_OF_ROWS.get(table) for table, _ in net_changes} - {None}
    tables = {name: getattr(previous, name).copy() for name in names}
    # A key digest may move from one key entry to another, so all old rows are
    # removed before new rows are added.
    for is_removal in (True, False):
        for change in net_changes.values():
            _revise_row(tables, change, is_removal)
    return replace(
        previous,
        generation=generation,
        config=config,
        drained_endpoints=frozenset(config.rules.drained_endpoints),
        **tables,
    )


def _revise_row(
    tables: dict[str, dict],
    change: RowChange,
    is_removal: bool,
) -> None:
    row = change.before if is_removal else change.after
    target = _TABLE_OF_ROWS.get(change.table)
    if target is None or row is None:
        return
    name, content = _index_entry(change.table, row)
    if is_removal:
        tables[target].pop(name, None)
    else:
        tables[target][name] = content


def _index_entry(table, row):
    if table == 'keys':
        return row.digest_sha256, row.workspace
    return row.name, row.shards if table == 'workspaces' else row


_TABLE_OF_ROWS = {
    'models': 'models',
    'services': 'services',
    'workspaces': 'shard_counts',
    'keys': 'key_workspaces',
}


def _matches(rule: RouteRule, method: str, path: str) -> bool:
    if rule.method not in {'*', method}:
        return False
    # A prefix matches whole path segments only: /orders does not match
    # /ordersheet.
    prefix = rule.path_prefix.rstrip('/')
    return path == prefix or path.startswith(f'{prefix}/')
