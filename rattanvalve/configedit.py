"""Edits of a configuration that operators request, one change each."""

from collections.abc import Callable

import msgspec
from result import Err, Ok, Result

from rattanvalve.inventory import Config, ConfigError, KeyEntry

__all__ = (
    'Edit',
    'drain_endpoint',
    'grant_key',
    'undrain_endpoint',
    'withdraw_key',
)

#: Returns the edited configuration, or the reason why the edit is refused.
Edit = Callable[[Config], Result[Config, ConfigError]]


def grant_key(name: str, workspace: str, digest: str) -> Edit:
    """Return an edit that adds a key.

    :param name: name of the key entry; an existing name is refused.
    :param workspace: workspace that the key belongs to; it must exist.
    :param digest: SHA-256 digest of the key in hexadecimal.
    :returns: the edit.
    """

    def edit(config: Config) -> Result[Config, ConfigError]:
        if any(entry.name == name for entry in config.inventory.keys):
            return _error('inventory.keys', f'key `{name}` exists already')
        known = {entry.name for entry in config.inventory.workspaces}
        if workspace not in known:
            return _error(
                'inventory.workspaces',
                f'unknown workspace `{workspace}`',
            )
        entry = KeyEntry(name=name, workspace=workspace, digest_sha256=digest)
        return Ok(_with_keys(config, (*config.inventory.keys, entry)))

    return edit


def withdraw_key(name: str) -> Edit:
    """Return an edit that removes a key.

    :param name: name of the key entry; an unknown name is refused.
    :returns: the edit.
    """

    def edit(config: Config) -> Result[Config, ConfigError]:
        kept = tuple(
            entry for entry in config.inventory.keys if entry.name != name
        )
        if len(kept) == len(config.inventory.keys):
            return _error('inventory.keys', f'unknown key `{name}`')
        return Ok(_with_keys(config, kept))

    return edit


def drain_endpoint(endpoint: str) -> Edit:
    """Return an edit that drains an endpoint: it gets no new work.

    :param endpoint: endpoint name; it need not be known yet.
    :returns: the edit.
    """

    def edit(config: Config) -> Result[Config, ConfigError]:
        return Ok(_with_drains(config, drains_of(config) | {endpoint}))

    return edit


def undrain_endpoint(endpoint: str) -> Edit:
    """Return an edit that ends the drain of an endpoint.

    :param endpoint: endpoint name; one that is not drained is refused.
    :returns: the edit.
    """

    def edit(config: Config) -> Result[Config, ConfigError]:
        drains = drains_of(config)
        if endpoint not in drains:
            return _error(
                'rules.drained_endpoints',
                f'endpoint `{endpoint}` is not drained',
            )
        return Ok(_with_drains(config, drains - {endpoint}))

    return edit


def drains_of(config: Config) -> frozenset[str]:
    """Return the drained endpoints.

    :param config: configuration to read.
    :returns: endpoint names; they need not be in a view.
    """
    return frozenset(config.rules.drained_endpoints)


def _error(place: str, text: str) -> Err[ConfigError]:
    return Err(ConfigError(place=f'$.{place}', text=text))


def _with_keys(config: Config, keys: tuple[KeyEntry, ...]) -> Config:
    inventory = msgspec.structs.replace(config.inventory, keys=keys)
    return msgspec.structs.replace(config, inventory=inventory)


def _with_drains(config: Config, drains: frozenset[str]) -> Config:
    rules = msgspec.structs.replace(
        config.rules,
        drained_endpoints=tuple(sorted(drains)),
    )
    return msgspec.structs.replace(config, rules=rules)
