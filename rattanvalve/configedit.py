"""Single edits of a configuration, as operators make them."""

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

#: An edit gives the new configuration, or says why it cannot be made.
Edit = Callable[[Config], Result[Config, ConfigError]]


def grant_key(name: str, workspace: str, digest: str) -> Edit:
    """Make an edit that adds a key.

    :param name: name of the key entry, which must be new.
    :param workspace: workspace that the key belongs to.
    :param digest: SHA-256 digest of the key.
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
    """Make an edit that removes a key.

    :param name: name of the key entry.
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
    """Make an edit after which an endpoint gets no new work.

    :param endpoint: endpoint name; one that is not known yet is allowed.
    :returns: the edit.
    """

    def edit(config: Config) -> Result[Config, ConfigError]:
        return Ok(_with_drains(config, drains_of(config) | {endpoint}))

    return edit


def undrain_endpoint(endpoint: str) -> Edit:
    """Make an edit after which an endpoint gets new work again.

    :param endpoint: endpoint name.
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
    """List the drained endpoints.

    :param config: configuration.
    :returns: endpoint names.
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
