"""Configuration files of ``rattanvalvectl`` and the table of changes."""

import json
from pathlib import Path
from typing import Any

import msgspec

from rattanvalve.ctl_connection import fail_invalid
from rattanvalve.inventory import Config, parse_config
from rattanvalve.tables import format_table

__all__ = ('changes_text', 'read_config')

MAX_CELL_LENGTH = 40


def read_config(paths: tuple[Path, ...]) -> Config:
    """Read a complete document, or an inventory and a rules file.

    The program ends if a file is invalid.

    :param paths: files whose top-level fields are combined.
    :returns: valid configuration.
    """
    document: dict[str, Any] = {}
    for path in paths:
        content = _read_object(path)
        twice = document.keys() & content.keys()
        if twice:
            fail_invalid(f'{path}: {", ".join(sorted(twice))} given twice')
        document.update(content)
    parsed = parse_config(msgspec.json.encode(document))
    if parsed.is_err():
        names = ', '.join(map(str, paths))
        fail_invalid(f'{names}: {parsed.unwrap_err()}')
    return parsed.unwrap()


def _read_object(path: Path) -> dict[str, Any]:
    try:
        content = json.loads(path.read_bytes())
    except ValueError as error:
        fail_invalid(f'{path}: {error}')
    if not isinstance(content, dict):
        fail_invalid(f'{path}: an object is expected')
    return content


def changes_text(changes: list[dict[str, Any]]) -> str:
    """Lay out the differences of two configurations.

    :param changes: fields of :class:`rattanvalve.configdiff.ConfigChange`.
    :returns: table, or a short sentence.
    """
    if not changes:
        return 'no changes'
    return format_table(
        ('change', 'place', 'before', 'after'),
        [
            (
                change['kind'],
                change['place'],
                _short_json(change['before']),
                _short_json(change['after']),
            )
            for change in changes
        ],
    )


def _short_json(content: Any) -> str:
    text = '' if content is None else json.dumps(content)
    if len(text) <= MAX_CELL_LENGTH:
        return text
    return f'{text[: MAX_CELL_LENGTH - 1]}…'
