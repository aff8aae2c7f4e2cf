"""Sample messages, views and configurations of realistic size."""

from dataclasses import dataclass

from rattanvalve import messages
from rattanvalve.catalog import Catalog, build_catalog
from rattanvalve.inventory import Config
from rattanvalve.messages import Member, View
from rattanvalve.views import ROLE_ENDPOINT, ROLE_ENTRY

__all__ = (
    'ENDPOINT_COUNT',
    'ENTRY_COUNT',
    'EVENT',
    'EVENT_COUNT',
    'SERVICE',
    'ConfigSize',
    'announce',
    'begin',
    'config_document',
    'finish',
    'sample_catalog',
    'sample_view',
    'summary',
    'ticket',
)

#: Members of a cell at target size, which has 8.5 entries on average.
ENTRY_COUNT = 9
ENDPOINT_COUNT = 57
#: Tokens of an average response, one event each: 2.6 million tokens/s divided
#: by 8,600 requests/s.
EVENT_COUNT = 302
SERVICE = 'agent-models-7'
_INCARNATION = '0123456789abcdef'
_EVENT_ID = 'chatcmpl-0123456789abcdef'
#: Server-sent event of one token in the published chat-completions protocol.
EVENT = (
    b'data: {"id":"%s","object":"chat.completion.chunk","created":1764806400,'
    b'"model":"agent-models-7","choices":[{"index":0,'
    b'"delta":{"content":" token"},"finish_reason":null}]}\n\n'
) % _EVENT_ID.encode()


@dataclass(frozen=True, slots=True)
class ConfigSize:
    """Numbers of workspaces and of keys per workspace in a configuration."""

    workspace_count: int = 1
    keys_per_workspace: int = 1


def _digest(workspace_number: int, key_number: int) -> str:
    return f'{workspace_number:032x}{key_number:032x}'


def _member(role: str, name: str) -> Member:
    return Member(
        name=name,
        role=role,
        host='10.20.30.40',
        port=7400,
        zone='is-south-selfoss',
        service_name=SERVICE if role == ROLE_ENDPOINT else '',
        incarnation=_INCARNATION,
    )


def sample_view(
    endpoint_count: int = ENDPOINT_COUNT,
    entry_count: int = ENTRY_COUNT,
    epoch: int = 1,
) -> View:
    """Build a view of a cell.

    :param endpoint_count: number of endpoint processes.
    :param entry_count: number of entry processes.
    :param epoch: epoch of the view.
    :returns: view whose members are sorted by name.
    """
    endpoints = (
        _member(ROLE_ENDPOINT, f'endpoint-{number:05d}')
        for number in range(endpoint_count)
    )
    entries = (
        _member(ROLE_ENTRY, f'entry-{number:02d}')
        for number in range(entry_count)
    )
    return View(
        cell='is-south-1',
        epoch=epoch,
        members=(*endpoints, *entries),
        change_id=_INCARNATION,
    )


def announce(member: Member) -> messages.Announce:
    """Build the periodic report of an endpoint process.

    :param member: endpoint process that reports.
    :returns: message.
    """
    return messages.Announce(
        member=member,
        epoch=123_456,
        running_count=6,
        queued_count=2,
        capacity_count=8,
        is_healthy=True,
    )


def begin(
    number: int,
    workspace: str = 'workspace-00000',
    message_count: int = 1,
) -> messages.Begin:
    """Build the message that asks for admission of one request.

    :param number: number that makes program and request unique.
    :param workspace: workspace name; ends in a dash and its number.
    :param message_count: number of messages in the history.
    :returns: message.
    """
    return messages.Begin(
        request_id=f'{number:032x}',
        workspace=workspace,
        key_digest=_digest(int(workspace.rpartition('-')[2]), 0),
        program_id=f'program-{number:024x}',
        priority=1,
        idempotency_key=f'{number:036x}',
        service_name=SERVICE,
        is_repeatable=True,
        prompt_tokens=200_000,
        max_tokens=1024,
        history_digests=tuple(
            (number + position) * 0x9E3779B97F4A7C15 % 2**63
            for position in range(message_count)
        ),
        epoch=123_456,
        timeout_ms=600_000,
    )


def ticket(number: int, workspace_number: int = 0) -> messages.Ticket:
    """Build the ticket of a request.

    :param number: number that makes ticket and program unique.
    :param workspace_number: number of the program's workspace.
    :returns: message.
    """
    return messages.Ticket(
        number=f'entry-01/{_INCARNATION}/{number + 1}',
        epoch=123_456,
        owner='entry-01',
        request_id=f'{number:032x}',
        workspace=f'workspace-{workspace_number:05d}',
        program_id=f'program-{number:024x}',
        turn=25,
        service_name=SERVICE,
        endpoint='endpoint-00001',
        endpoint_incarnation=_INCARNATION,
        host='10.20.30.40',
        port=7400,
        priority=1,
        attained_tokens=400_000,
        reserved_tokens=201_024,
        is_repeatable=True,
        idempotency_key=f'{number:036x}',
        history_digest=0x1E3779B97F4A7C15,
        timeout_ms=600_000,
        cache_hold_ms=30_000,
    )


def finish(number: int) -> messages.Finish:
    """Build the message that reports the end of a request.

    :param number: number of its ticket.
    :returns: message.
    """
    return messages.Finish(
        number=f'entry-01/{_INCARNATION}/{number + 1}',
        workspace='workspace-00000',
        program_id=f'program-{number:024x}',
        outcome='answered',
        usage=messages.Usage(
            prompt_tokens=200_000,
            cached_tokens=190_000,
            output_tokens=EVENT_COUNT,
        ),
        epoch=123_456,
    )


def summary(number: int) -> messages.RecordSummary:
    """Build the summary of a record that a reply to a seal contains.

    :param number: number of the ticket.
    :returns: message.
    """
    return messages.RecordSummary(
        ticket=ticket(number),
        outcome='answered',
        usage=finish(number).usage,
        age_ms=300_000,
    )


def config_document(config_size: ConfigSize) -> dict:
    """Build a configuration document.

    :param config_size: numbers of workspaces and keys.
    :returns: JSON object in which each workspace has a rate, a budget and a
        priority.
    """
    names = [f'workspace-{at:05d}' for at in range(config_size.workspace_count)]
    return {
        'inventory': {
            'models': [
                {'name': f'model-{at}', 'service': f'agent-models-{at}'}
                for at in range(1, 8)
            ],
            'services': [
                {'name': f'agent-models-{at}', 'kind': 'engine'}
                for at in range(1, 8)
            ],
            'workspaces': [{'name': name, 'shards': 1} for name in names],
            'keys': [
                {
                    'name': f'{name}-key-{at}',
                    'workspace': name,
                    'digest_sha256': _digest(index, at),
                }
                for index, name in enumerate(names)
                for at in range(config_size.keys_per_workspace)
            ],
        },
        'rules': _rules(names),
    }


def _rules(names: list[str]) -> dict:
    budget = {
        # Higher than any real budget, so that one program can run each probe.
        'program_tokens': 20_000_000_000,
        'program_calls': 1_000_000,
        'program_seconds': 86_400,
    }
    return {
        'rates': {
            name: {'rate_per_s': 1000.5, 'burst': 2_000_000} for name in names
        },
        'priorities': dict.fromkeys(names, 'normal'),
        'budgets': dict.fromkeys(names, budget),
    }


def sample_catalog(config: Config) -> Catalog:
    """Build the catalog of a configuration, as generation 1.

    :param config: parsed configuration.
    :returns: catalog.
    """
    return build_catalog(config, 1)
