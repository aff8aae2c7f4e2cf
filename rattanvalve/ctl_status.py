"""Texts of ``rattanvalvectl`` about the state of entries and of a cell."""

from typing import Any

from rattanvalve.tables import format_table

__all__ = ('cell_text', 'entries_behind', 'status_text')

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


def status_text(body: dict[str, Any]) -> str:
    """Describe one entry.

    :param body: response of ``/v1/status``.
    :returns: text for a person.
    """
    facts = ('name', 'cell', 'zone', 'epoch', 'generation', 'act_mode')
    return '\n'.join(
        (
            _problem_text(body.get('problems', [])),
            ', '.join(f'{fact} {body[fact]}' for fact in facts if fact in body),
            _table(_ENDPOINT_COLUMNS, body.get('endpoints', [])),
        ),
    )


def cell_text(body: dict[str, Any]) -> str:
    """Describe all entries of a cell.

    :param body: response of ``/v1/status?all=true``.
    :returns: text for a person; a problem that several entries report is
        shown once, with their names.
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
            _problem_text(_cell_problems(body)),
            _table((*_ENTRY_COLUMNS, 'top refusals'), rows),
            _table(_ENDPOINT_COLUMNS, _endpoints(body)),
        ),
    )


def entries_behind(body: dict[str, Any], generation: int) -> list[str]:
    """Name the entries at which a generation is not known to be in force.

    :param body: response of ``/v1/status?all=true``.
    :param generation: generation.
    :returns: names of entries with an older one or without an answer.
    """
    older = [
        entry['name']
        for entry in body['entries']
        if entry['generation'] < generation
    ]
    return older + body['unreachable']


def _cell_problems(body: dict[str, Any]) -> list[str]:
    entries = body['entries']
    reporters: dict[str, list[str]] = {}
    if body['unreachable']:
        reporters['no answer'] = body['unreachable']
    for entry in entries:
        for problem in entry['problems']:
            reporters.setdefault(problem, []).append(entry['name'])
    return [
        *(f'{text} ({", ".join(names)})' for text, names in reporters.items()),
        *_disagreements(entries),
    ]


def _disagreements(entries: list[dict[str, Any]]) -> list[str]:
    problems = []
    for fact in ('generation', 'epoch'):
        seen = sorted({row[fact] for row in entries})
        if len(seen) > 1:
            listed = ', '.join(map(str, seen))
            problems.append(f'entries differ in their {fact}: {listed}')
    return problems


def _endpoints(body: dict[str, Any]) -> list[dict[str, Any]]:
    """List each endpoint once; the worst state at any entry is shown."""
    rows: dict[str, dict[str, Any]] = {}
    for entry in body['entries']:
        for row in entry['endpoints']:
            known = rows.setdefault(row['endpoint'], row)
            if known['state'] == 'ready':
                rows[row['endpoint']] = row
    return [rows[name] for name in sorted(rows)]


def _top_refusals(counters: dict[str, int]) -> str:
    refused = sorted(
        (-count, name.removeprefix(_REFUSED))
        for name, count in counters.items()
        if name.startswith(_REFUSED)
    )
    return ', '.join(f'{name} {-count}' for count, name in refused[:_TOP_COUNT])


def _problem_text(problems: list[str]) -> str:
    lines = [f'problem: {problem}' for problem in problems]
    return '\n'.join(lines or ['no problems'])


def _table(columns: tuple[str, ...], rows: list[dict[str, Any]]) -> str:
    return format_table(
        columns,
        [tuple(str(row.get(name, '')) for name in columns) for row in rows],
    )
