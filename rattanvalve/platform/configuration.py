"""Decodes the operators' configuration into traffic rules."""

from typing import Annotated

import msgspec

from rattanvalve.errors import ConfigurationError
from rattanvalve.platform.malformed import MALFORMED_JSON
from rattanvalve.platform.number_bounds import (
    BURST_MAX,
    EVENT_TOKENS_MAX,
    RATE_MAX_PER_S,
    RATE_MIN_PER_S,
    RETENTION_MAX_S,
    TIMEOUT_MAX_MS,
    TOKENS_MAX,
    VERSION_MAX,
    WEIGHT_MAX,
    clamp,
)
from rattanvalve.sharedstate.rules import (
    Engine,
    Limits,
    Route,
    ServiceRule,
    TrafficRules,
    Workspace,
)

__all__ = ('decode_configuration',)


class _Split(msgspec.Struct):
    service: str
    weight: float


class _Route(msgspec.Struct, rename='camel'):
    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: float
    target_latency_ms: float = 0
    priority: int = 0
    service: str = ''
    traffic_split: tuple[_Split, ...] = ()
    max_attempts: int = 1
    # Whether turns may continue earlier ones, and how long turns are kept.
    retain_context: bool = False
    retention_s: float = 0
    # Whether another server may resume a stream after its last event.
    resumable: bool = False
    # Whether callers need no API key.
    auth_exempt: bool = False


class _Engine(msgspec.Struct, rename='camel'):
    slots: int = 1
    kv_capacity: int = 0
    tokens_per_event: int = 1


class _Service(msgspec.Struct, rename='camel'):
    name: str
    engine: _Engine | None = None


class _Limits(msgspec.Struct, rename='camel'):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 3000
    idle_timeout_ms: float = 15_000


class _Workspace(msgspec.Struct, rename='camel'):
    name: str
    api_keys: tuple[str, ...] = ()
    priority: int | None = None
    per_s: float = 0
    burst: float = 0


class _Configuration(msgspec.Struct, rename='camel'):
    version: Annotated[int, msgspec.Meta(le=VERSION_MAX)]
    routes: tuple[_Route, ...]
    services: tuple[_Service, ...] = ()
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: tuple[_Workspace, ...] | None = None


def decode_configuration(body: bytes) -> TrafficRules:
    """Decode a stored configuration.

    :param body: JSON content of the stored object.
    :returns: the rules; without ``tenants``, requests need no API key.
    :raises ConfigurationError: if it is not valid JSON or a field is missing
        or has a wrong type.
    """
    try:
        stored = msgspec.json.decode(body, type=_Configuration)
    except MALFORMED_JSON as error:
        raise ConfigurationError(
            f'unreadable configuration: {error}'
        ) from error
    workspaces = tuple(map(_workspace, stored.tenants or ()))
    return TrafficRules(
        version=stored.version,
        routes=tuple(map(_route, stored.routes)),
        services={rule.name: _service(rule) for rule in stored.services},
        workspaces=workspaces,
        needs_keys=stored.tenants is not None,
        limits=Limits(
            header_bytes=stored.limits.max_header_bytes,
            body_bytes=stored.limits.max_body_bytes,
            header_timeout_ms=_timeout_ms(stored.limits.header_timeout_ms),
            idle_timeout_ms=_timeout_ms(stored.limits.idle_timeout_ms),
        ),
    )


def _route(stored: _Route) -> Route:
    shares = tuple(
        (part.service, clamp(part.weight, 0, WEIGHT_MAX))
        for part in stored.traffic_split
    )
    retention_s = clamp(stored.retention_s, 0, RETENTION_MAX_S)
    return Route(
        name=stored.name,
        host=stored.host,
        path_prefix=stored.path_prefix,
        kind=stored.kind,
        timeout_ms=_timeout_ms(stored.timeout_ms),
        target_ms=_timeout_ms(stored.target_latency_ms),
        priority=stored.priority,
        services=shares or ((stored.service, 1),),
        max_attempts=stored.max_attempts,
        keeps_turns=stored.retain_context,
        retention_ms=int(retention_s * 1000),
        is_resumable=stored.resumable,
        is_open=stored.auth_exempt,
    )


def _service(stored: _Service) -> ServiceRule:
    engine = stored.engine
    return ServiceRule(
        name=stored.name,
        engine=engine
        and Engine(
            slots=engine.slots,
            cache_tokens=clamp(engine.kv_capacity, 0, TOKENS_MAX),
            event_tokens=clamp(engine.tokens_per_event, 0, EVENT_TOKENS_MAX),
        ),
    )


def _workspace(stored: _Workspace) -> Workspace:
    return Workspace(
        name=stored.name,
        keys=stored.api_keys,
        priority=stored.priority,
        rate_per_s=_rate_per_s(stored.per_s),
        burst=clamp(stored.burst, 0, BURST_MAX),
    )


def _rate_per_s(stored: float) -> float:
    """Return a rate within its bounds; 0 means no limit."""
    if stored <= 0:
        return 0
    return clamp(stored, RATE_MIN_PER_S, RATE_MAX_PER_S)


def _timeout_ms(stored: float) -> float:
    return clamp(stored, 0, TIMEOUT_MAX_MS)
