"""Models of the inventory and rules that operators configure, and checks."""

from typing import Annotated, Literal

import msgspec
from msgspec import Meta
from result import Err, Ok, Result

__all__ = (
    'DEFAULT_RATE',
    'Budget',
    'Config',
    'ConfigError',
    'Inventory',
    'KeyEntry',
    'ModelEntry',
    'Rate',
    'RouteRule',
    'Rules',
    'ServiceEntry',
    'WorkspaceEntry',
    'check_config',
    'encode_config',
    'parse_config',
)

Name = Annotated[
    str,
    Meta(
        min_length=1,
        max_length=64,
        pattern='^[A-Za-z0-9][A-Za-z0-9._-]*$',
    ),
]
Digest = Annotated[str, Meta(pattern='^[0-9a-f]{64}$')]
Positive = Annotated[float, Meta(gt=0)]
PositiveCount = Annotated[int, Meta(ge=1)]
PriorityName = Literal['high', 'normal', 'low']
#: Policy names; the keys of the registries in ``routing`` and
#: ``queuepolicies``.
PlacementPolicyName = Literal['affinity', 'least_loaded', 'round_robin']
QueuePolicyName = Literal['first_come', 'program_fair', 'finish_first']


class _Model(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Base of all models: immutable, and unknown fields are an error."""


class ModelEntry(_Model):
    """A model name that callers send, and the engine service that serves it."""

    name: Annotated[str, Meta(min_length=1, max_length=128)]
    service: Name


class RouteRule(_Model):
    """Selects requests of a service by method and path prefix.

    The method ``*`` matches all methods.
    """

    method: Annotated[str, Meta(pattern='^([A-Z]+|[*])$')]
    path_prefix: Annotated[str, Meta(pattern='^/')]
    service: str = ''


class ServiceEntry(_Model):
    """A group of endpoints that serve the same requests.

    ``checks_fencing`` is set if the endpoints themselves refuse commands with
    an older fencing token. ``non_repeatable`` selects requests that must run
    at most once.
    """

    name: Name
    kind: Literal['engine', 'plain']
    checks_fencing: bool = False
    non_repeatable: tuple[RouteRule, ...] = ()


class WorkspaceEntry(_Model):
    """A customer. ``shards`` spreads a large workspace over several owners."""

    name: Name
    shards: Annotated[int, Meta(ge=1, le=64)] = 1


class KeyEntry(_Model):
    """An API key of a workspace; only its digest is stored."""

    name: Name
    workspace: Name
    digest_sha256: Digest


class Inventory(_Model):
    """Models, services, workspaces and keys; names are unique in each list."""

    models: tuple[ModelEntry, ...] = ()
    services: tuple[ServiceEntry, ...] = ()
    workspaces: tuple[WorkspaceEntry, ...] = ()
    keys: tuple[KeyEntry, ...] = ()


class Rate(_Model):
    """Rate limit of a workspace over the whole fleet, in requests."""

    rate_per_s: Positive
    burst: PositiveCount


#: Rate of a workspace without a rule.
DEFAULT_RATE = Rate(rate_per_s=10, burst=20)
#: Smallest burst of a shard; at half the rate it still admits one request.
MIN_SHARD_BURST = 2


class Budget(_Model):
    """Limits of one program of a workspace: tokens, calls, seconds."""

    program_tokens: PositiveCount = 10_000_000
    program_calls: PositiveCount = 1000
    program_seconds: Positive = 86_400.0


class Rules(_Model):
    """Rules for requests.

    ``rates``, ``priorities`` and ``budgets`` are keyed by workspace name.
    """

    rates: dict[str, Rate] = {}
    priorities: dict[str, PriorityName] = {}
    budgets: dict[str, Budget] = {}
    open_routes: tuple[RouteRule, ...] = ()
    drained_endpoints: tuple[str, ...] = ()
    placement_policy: PlacementPolicyName = 'affinity'
    queue_policy: QueuePolicyName = 'program_fair'


class Config(_Model):
    """The whole configuration, as operators write it."""

    inventory: Inventory = Inventory()
    rules: Rules = Rules()


class ConfigError(_Model):
    """Error in a configuration, with its JSON path in ``place``."""

    place: str
    text: str

    def __str__(self) -> str:
        return f'{self.place}: {self.text}'


def parse_config(raw: bytes) -> Result[Config, ConfigError]:
    """Parse and check a configuration document.

    :param raw: JSON text.
    :returns: the configuration, or the first error found.
    """
    try:
        config = msgspec.json.decode(raw, type=Config)
    except msgspec.ValidationError as error:
        text, _, place = str(error).partition(' - at `')
        return Err(ConfigError(place=place.rstrip('`') or '$', text=text))
    except msgspec.DecodeError as error:
        return Err(ConfigError(place='$', text=str(error)))
    found = check_config(config)
    return Ok(config) if found is None else Err(found)


def check_config(config: Config) -> ConfigError | None:
    """Check the rules that span several entries of a configuration.

    These are unique names and digests, references, and bursts of shards.

    :param config: configuration whose entries are valid by themselves.
    :returns: the first error found, or ``None``.
    """
    for check in _CHECKS:
        found = check(config)
        if found is not None:
            return found
    return None


def encode_config(config: Config) -> bytes:
    """Encode a configuration as JSON.

    :param config: valid configuration.
    :returns: JSON text that :func:`parse_config` reads.
    """
    return msgspec.json.encode(config)


def _check_unique(config: Config) -> ConfigError | None:
    for kind in ('models', 'services', 'workspaces', 'keys'):
        seen: set[str] = set()
        for index, entry in enumerate(getattr(config.inventory, kind)):
            if entry.name in seen:
                return ConfigError(
                    place=f'$.inventory.{kind}[{index}].name',
                    text=f'`{entry.name}` is listed twice',
                )
            seen.add(entry.name)
    return None


def _check_digests(config: Config) -> ConfigError | None:
    seen: set[str] = set()
    for index, entry in enumerate(config.inventory.keys):
        if entry.digest_sha256 in seen:
            return ConfigError(
                place=f'$.inventory.keys[{index}].digest_sha256',
                text='the same key is listed twice',
            )
        seen.add(entry.digest_sha256)
    return None


def _check_references(config: Config) -> ConfigError | None:
    services = {entry.name: entry.kind for entry in config.inventory.services}
    workspaces = {entry.name for entry in config.inventory.workspaces}
    for index, model in enumerate(config.inventory.models):
        if services.get(model.service) != 'engine':
            return ConfigError(
                place=f'$.inventory.models[{index}].service',
                text=f'`{model.service}` is not an engine service',
            )
    for index, key in enumerate(config.inventory.keys):
        if key.workspace not in workspaces:
            return ConfigError(
                place=f'$.inventory.keys[{index}].workspace',
                text=f'unknown workspace `{key.workspace}`',
            )
    return _check_rules(config.rules, set(services), workspaces)


def _check_rules(
    rules: Rules,
    services: set[str],
    workspaces: set[str],
) -> ConfigError | None:
    for kind in ('rates', 'priorities', 'budgets'):
        for name in getattr(rules, kind):
            if name not in workspaces:
                return ConfigError(
                    place=f'$.rules.{kind}.{name}',
                    text=f'unknown workspace `{name}`',
                )
    for index, route in enumerate(rules.open_routes):
        if route.service not in services:
            return ConfigError(
                place=f'$.rules.open_routes[{index}].service',
                text=f'unknown service `{route.service}`',
            )
    return None


def _check_bursts(config: Config) -> ConfigError | None:
    """Refuse a burst too small for its shards to admit a request each."""
    for index, entry in enumerate(config.inventory.workspaces):
        rate = config.rules.rates.get(entry.name)
        burst = rate.burst if rate else DEFAULT_RATE.burst
        if burst < MIN_SHARD_BURST * entry.shards:
            return ConfigError(
                place=(
                    f'$.rules.rates.{entry.name}.burst'
                    if rate
                    else f'$.inventory.workspaces[{index}].shards'
                ),
                text=(
                    f'a burst of {burst} is below {MIN_SHARD_BURST} for each '
                    f'of {entry.shards} shards'
                ),
            )
    return None


_CHECKS = (_check_unique, _check_digests, _check_references, _check_bursts)
