"""Formats the status of entries and cells for ``rattanvalvectl``."""

from typing import Any

from rattanvalve.tables import format_table

__all__ = ('find_outdated_entries', 'format_cell_status', 'format_status')

_TOP_COUNT = 3
_REFUSED = 'refused.'
_ENDPOINT_COLUMNS = (
    'endpoint',
    'service',
    'zone',
    'state',
    'vm',
    'running',
    'queued',
)
_ENTRY_COLUMNS = ('name', 'zone', 'epoch', 'generation', 'act_mode')


def format_status(body: dict[str, Any]) -> str:
    """Format the status of one entry.

    :param body: response of ``/v1/status``.
    :returns: problems, properties of the entry and table of endpoints.
    """
    columns = ('name', 'cell', 'zone', 'epoch', 'generation', 'act_mode')
    return '\n'.join(
        (
            _format_problems(body.get('problems', [])),
            ', '.join(
                f'{name} {body[name]}' for name in columns if name in body
            ),
            _table(_ENDPOINT_COLUMNS, body.get('endpoints', [])),
        ),
    )


def format_cell_status(body: dict[str, Any]) -> str:
    """Format the status of all entries of a cell.

    :param body: response of ``/v1/status?all=true``.
    :returns: problems, table of entries and table of endpoints; a problem
        that several entries report is listed once, with their names.
    """
    rows = [
        {**entry, 'top refusals': _top_refusals(entry['counters'])}
        for entry in body['entries']
    ]
    rows.extend(
        {'name': name, 'act_mode': 'no answer'} for name in body['unreachable']
    )
    return '\n'.join(
        (
            _format_problems(_list_problems(body)),
            _table((*_ENTRY_COLUMNS, 'top refusals'), rows),
            _table(_ENDPOINT_COLUMNS, _merge_endpoints(body)),
        ),
    )


def find_outdated_entries(body: dict[str, Any], generation: int) -> list[str]:
    """List the entries that are not known to have a generation in force.

    :param body: response of ``/v1/status?all=true``.
    :param generation: lowest generation that counts as in force.
    :returns: names of the entries with an older generation, then of those
        that did not respond.
    """
    older = [
        entry['name']
        for entry in body['entries']
        if entry['generation'] < generation
    ]
    return older + body['unreachable']


def _list_problems(body: dict[str, Any]) -> list[str]:
    entries = body['entries']
    reporters: dict[str, list[str]] = {}
    if body['unreachable']:
        reporters['no answer'] = body['unreachable']
    for entry in entries:
        for problem in entry['problems']:
            reporters.setdefault(problem, []).append(entry['name'])
    return [
        *(f'{text} ({", ".join(names)})' for text, names in reporters.items()),
        *_find_mismatches(entries),
    ]


def _find_mismatches(entries: list[dict[str, Any]]) -> list[str]:
    problems = []
    for column in ('generation', 'epoch'):
        distinct = sorted({row[column] for row in entries})
        if len(distinct) > 1:
            listed = ', '.join(map(str, distinct))
            problems.append(f'entries differ in their {column}: {listed}')
    return problems


def _merge_endpoints(body: dict[str, Any]) -> list[dict[str, Any]]:
    """Merge endpoint rows; a state other than ``ready`` has precedence."""
    rows: dict[str, dict[str, Any]] = {}
    for entry in body['entries']:
        for row in entry['endpoints']:
            shown = rows.setdefault(row['endpoint'], row)
            if shown['state'] == 'ready':
                rows[row['endpoint']] = row
    return [rows[name] for name in sorted(rows)]


def _top_refusals(counters: dict[str, int]) -> str:
    refused = sorted(
        (-count, name.removeprefix(_REFUSED))
        for name, count in counters.items()
        if name.startswith(_REFUSED)
    )
    return ', '.join(f'{name} {-count}' for count, name in refused[:_TOP_COUNT])


def _format_problems(problems: list[str]) -> str:
    lines = [f'problem: {problem}' for problem in problems]
    return '\n'.join(lines or ['no problems'])


def _table(columns: tuple[str, ...], rows: list[dict[str, Any]]) -> str:
    return format_table(
        columns,
        [tuple(str(row.get(name, '')) for name in columns) for row in rows],
    )
