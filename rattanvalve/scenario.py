"""Scenario files in JSON: a deployment, its programs and timed events."""

from pathlib import Path
from typing import Annotated, Literal

import msgspec
from msgspec import Meta

from rattanvalve.errors import SettingsError
from rattanvalve.inventory import RouteRule
from rattanvalve.keys import key_digest
from rattanvalve.standins.batch import EngineCosts
from rattanvalve.uncontended_times import RunCosts

__all__ = (
    'EventSpec',
    'GroupSpec',
    'ProgramSpec',
    'Scenario',
    'ServiceSpec',
    'WorkspaceSpec',
    'bundled_scenarios',
    'config_document',
    'load_scenario',
    'scenario_costs',
)

_SCENARIO_FOLDER = Path(__file__).parent / 'scenarios'

Count = Annotated[int, Meta(ge=1)]
Seconds = Annotated[float, Meta(ge=0)]
Share = Annotated[float, Meta(ge=0, le=1)]


class _Model(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Base of all models: immutable; decoding rejects unknown fields."""


class ServiceSpec(_Model, kw_only=True):
    """A service and its stand-in servers.

    ``behaviour`` maps command line options of ``rattanvalve-standin`` to
    their numbers; the names have underscores in place of hyphens and no
    leading ``--``.
    """

    name: str
    kind: Literal['engine', 'plain']
    server_count: Count
    model: str = ''
    capacity_count: Count = 8
    checks_fencing: bool = False
    non_repeatable: tuple[RouteRule, ...] = ()
    behaviour: dict[str, float] = {}


class GroupSpec(_Model, kw_only=True):
    """Programs that use one key.

    Arrivals are open-loop, with exponential gaps, from ``start_s`` on.
    """

    key: str
    program_count: Count
    programs_per_s: Annotated[float, Meta(gt=0)]
    start_s: Seconds = 0


class WorkspaceSpec(_Model, kw_only=True):
    """A workspace with its rate limit, priority and groups of programs.

    ``burst`` is the capacity of the rate limit's token bucket, in requests.
    """

    name: str
    rate_per_s: Annotated[float, Meta(gt=0)]
    burst: Count
    shards: Count = 1
    priority: Literal['high', 'normal', 'low'] = 'normal'
    groups: tuple[GroupSpec, ...] = ()


class ProgramSpec(_Model, kw_only=True):
    """Parameters from which all programs are generated.

    ``stream_share`` and ``sub_agent_share`` are probabilities per turn;
    ``tool_pause_s`` is the mean pause before each turn except the first.
    """

    min_turns: Count
    max_turns: Count
    max_tokens: Count = 64
    message_words: Count = 40
    tool_pause_s: Seconds = 0.2
    stream_share: Share = 0.5
    sub_agent_share: Share = 0.1
    order_service: str
    order_path: str


class EventSpec(_Model, kw_only=True):
    """An operator's change or a fault, ``at_s`` seconds after the run starts.

    ``target`` is the name of a key, a workspace, an entry process or an
    endpoint, depending on ``action``.
    """

    at_s: Seconds
    action: Literal['grant', 'withdraw', 'set_rate', 'kill_entry', 'drain']
    target: str
    workspace: str = ''
    rate_per_s: float = 0
    burst: int = 0


class Scenario(_Model, kw_only=True):
    """A small deployment, the load on it and the events of a run.

    ``client_delay_s`` is the simulated one-way delay between clients and
    entry processes.
    """

    name: str
    cell: str
    zones: Annotated[tuple[str, ...], Meta(min_length=1)]
    services: Annotated[tuple[ServiceSpec, ...], Meta(min_length=1)]
    workspaces: Annotated[tuple[WorkspaceSpec, ...], Meta(min_length=1)]
    programs: ProgramSpec
    events: tuple[EventSpec, ...] = ()
    client_delay_s: Seconds = 0

    def engine_service(self) -> ServiceSpec:
        """Return the service that the programs' chat calls use.

        :returns: first service of kind ``engine``.
        :raises SettingsError: if the scenario has no such service.
        """
        for service in self.services:
            if service.kind == 'engine':
                return service
        raise SettingsError(f'scenario {self.name} has no engine service')

    def initial_keys(self) -> dict[str, str]:
        """Return the keys that exist when the run starts.

        :returns: workspace by key name; keys that an event grants are left
            out.
        """
        granted = {
            event.target for event in self.events if event.action == 'grant'
        }
        return {
            group.key: workspace.name
            for workspace in self.workspaces
            for group in workspace.groups
            if group.key not in granted
        }


def bundled_scenarios() -> list[str]:
    """List the scenarios that are part of the package.

    :returns: names in alphabetical order.
    """
    return sorted(path.stem for path in _SCENARIO_FOLDER.glob('*.json'))


def load_scenario(name: str) -> Scenario:
    """Read and validate a scenario.

    :param name: name of a bundled scenario, or path of a JSON file.
    :returns: the scenario.
    :raises SettingsError: if the file cannot be read or is invalid; the
        message contains the path of the file and, for an invalid field, the
        JSON path of that field.
    """
    path = (
        _SCENARIO_FOLDER / f'{name}.json' if name.isidentifier() else Path(name)
    )
    try:
        return msgspec.json.decode(path.read_bytes(), type=Scenario)
    except OSError as error:
        raise SettingsError(f'{path}: {error.strerror}') from error
    except msgspec.DecodeError as error:
        raise SettingsError(f'{path}: {error}') from error


def config_document(
    scenario: Scenario,
    keys: dict[str, str],
    policy: tuple[str, str] = ('affinity', 'program_fair'),
) -> dict:
    """Build the configuration document of a scenario.

    :param scenario: scenario that defines services, workspaces and rules.
    :param keys: key by key name, for all keys of
        :meth:`Scenario.initial_keys`.
    :param policy: placement policy and queue policy.
    :returns: document of lists and dictionaries that JSON can encode.
    """
    return {
        'inventory': {
            'models': _models(scenario),
            'services': [_service(service) for service in scenario.services],
            'workspaces': [
                {'name': workspace.name, 'shards': workspace.shards}
                for workspace in scenario.workspaces
            ],
            'keys': _key_entries(scenario, keys),
        },
        'rules': _rules(scenario, policy),
    }


def scenario_costs(scenario: Scenario) -> RunCosts:
    """Read from a scenario how long calls take without contention.

    :param scenario: scenario with the behaviour of its stand-in servers.
    :returns: costs of engine, plain service and network.
    """
    behaviour = scenario.engine_service().behaviour
    order_service = next(
        service
        for service in scenario.services
        if service.name == scenario.programs.order_service
    )
    return RunCosts(
        engine=EngineCosts(
            **{
                name: behaviour[name]
                for name in EngineCosts.__dataclass_fields__
                if name in behaviour
            },
        ),
        order_s=order_service.behaviour.get('delay_s', 0),
        round_trip_s=2 * scenario.client_delay_s,
    )


def _models(scenario: Scenario) -> list[dict]:
    return [
        {'name': service.model, 'service': service.name}
        for service in scenario.services
        if service.kind == 'engine'
    ]


def _service(service: ServiceSpec) -> dict:
    return {
        'name': service.name,
        'kind': service.kind,
        'checks_fencing': service.checks_fencing,
        'non_repeatable': [
            {'method': rule.method, 'path_prefix': rule.path_prefix}
            for rule in service.non_repeatable
        ],
    }


def _key_entries(scenario: Scenario, keys: dict[str, str]) -> list[dict]:
    return [
        {
            'name': name,
            'workspace': workspace,
            'digest_sha256': key_digest(keys[name]),
        }
        for name, workspace in scenario.initial_keys().items()
    ]


def _rules(scenario: Scenario, policy: tuple[str, str]) -> dict:
    return {
        'rates': {
            workspace.name: {
                'rate_per_s': workspace.rate_per_s,
                'burst': workspace.burst,
            }
            for workspace in scenario.workspaces
        },
        'priorities': {
            workspace.name: workspace.priority
            for workspace in scenario.workspaces
        },
        'placement_policy': policy[0],
        'queue_policy': policy[1],
    }
