"""Traffic rules of the operators, decoded for use by the processes."""

from collections.abc import Mapping
from dataclasses import dataclass, field

__all__ = (
    'Engine',
    'Limits',
    'Route',
    'ServiceRule',
    'TrafficRules',
    'Workspace',
)

REPEATABLE_KIND = 'safe'
STREAM_KIND = 'stream'


@dataclass(frozen=True, slots=True)
class Route:
    """One route for requests of callers.

    ``services`` are pairs of a service's name and its weight.
    """

    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: float
    target_ms: float
    priority: int
    services: tuple[tuple[str, float], ...]
    max_attempts: int = 1
    keeps_turns: bool = False
    retention_ms: int = 0
    is_resumable: bool = False
    is_open: bool = False

    @property
    def is_repeatable(self) -> bool:
        """Return whether a request may run more than once.

        :returns: whether the route is of the safe kind or resumable.
        """
        return self.kind == REPEATABLE_KIND or self.is_resumable

    @property
    def is_stream(self) -> bool:
        """Return whether responses are event streams.

        :returns: whether the route is of the stream kind.
        """
        return self.kind == STREAM_KIND


@dataclass(frozen=True, slots=True)
class Engine:
    """Capacity of each server of a model engine service.

    ``event_tokens`` is the number of tokens that an event of a stream counts
    for.
    """

    slots: int
    cache_tokens: int
    event_tokens: int


@dataclass(frozen=True, slots=True)
class ServiceRule:
    """One service; ``engine`` is ``None`` unless it runs model engines."""

    name: str
    engine: Engine | None = None


@dataclass(frozen=True, slots=True)
class Workspace:
    """One workspace; a rate of 0 means no limit.

    ``rate_per_s`` is in requests per second, ``burst`` in requests.
    """

    name: str
    keys: tuple[str, ...] = ()
    priority: int | None = None
    rate_per_s: float = 0
    burst: float = 0


@dataclass(frozen=True, slots=True)
class Limits:
    """Size and time limits for requests of callers."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_ms: float = 3000
    idle_timeout_ms: float = 15_000


@dataclass(frozen=True, slots=True)
class TrafficRules:
    """One version of the rules, indexed by host, key and workspace name."""

    version: int = 0
    routes: tuple[Route, ...] = ()
    services: Mapping[str, ServiceRule] = field(default_factory=dict)
    workspaces: tuple[Workspace, ...] = ()
    needs_keys: bool = False
    limits: Limits = field(default_factory=Limits)
    _by_host: dict[str, list[Route]] = field(default_factory=dict)
    _by_key: dict[str, Workspace] = field(default_factory=dict)
    _by_name: dict[str, Workspace] = field(default_factory=dict)

    def __post_init__(self) -> None:
        longest_first = sorted(self.routes, key=_prefix_length, reverse=True)
        for route in longest_first:
            self._by_host.setdefault(route.host, []).append(route)
        for workspace in self.workspaces:
            self._by_name[workspace.name] = workspace
            self._by_key.update(dict.fromkeys(workspace.keys, workspace))

    def find_route(self, host: str, path: str) -> Route | None:
        """Find the route with the longest prefix that matches a path.

        :param host: host of the request, without a port.
        :param path: path without a query.
        :returns: the route, or ``None`` if no route matches.
        """
        for route in self._by_host.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def event_tokens(self, route: Route) -> int:
        """Return how many tokens each event on a route counts for.

        :param route: route of the events.
        :returns: tokens per event of its first engine service; 1 if it has
            none.
        """
        for service, _ in route.services:
            rule = self.services.get(service)
            if rule and rule.engine:
                return rule.engine.event_tokens
        return 1

    def workspace_of_key(self, key: str) -> Workspace | None:
        """Find the workspace of a key.

        :param key: key of a caller.
        :returns: the workspace, or ``None`` if the key is unknown.
        """
        return self._by_key.get(key)

    def allows(self, key: str, workspace: Workspace | None) -> bool:
        """Check whether a key still belongs to its workspace.

        :param key: key of a caller.
        :param workspace: workspace of the key when the request was admitted;
            ``None`` on an open route.
        :returns: whether the key is still valid; true on an open route.
        """
        if workspace is None:
            return True
        holder = self._by_key.get(key)
        return holder is not None and holder.name == workspace.name

    def workspace_named(self, name: str) -> Workspace | None:
        """Find a workspace by name.

        :param name: name of the workspace.
        :returns: the workspace, or ``None`` if there is none of this name.
        """
        return self._by_name.get(name)


def _prefix_length(route: Route) -> int:
    return len(route.path_prefix)
