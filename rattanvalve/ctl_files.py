"""Reads configuration files and formats changes for ``rattanvalvectl``."""

import json
from pathlib import Path
from typing import Any

import msgspec

from rattanvalve.ctl_connection import fail_invalid
from rattanvalve.inventory import Config, parse_config
from rattanvalve.tables import format_table

__all__ = ('format_changes', 'read_config')

MAX_CELL_LENGTH = 40


def read_config(paths: tuple[Path, ...]) -> Config:
    """Read a complete document, or an inventory and a rules file.

    Exits with ``EXIT_INVALID`` if a file is invalid.

    :param paths: files whose top-level fields are merged; no field may occur
        in two files.
    :returns: validated configuration.
    """
    document: dict[str, Any] = {}
    for path in paths:
        content = _read_object(path)
        duplicates = document.keys() & content.keys()
        if duplicates:
            fail_invalid(f'{path}: {", ".join(sorted(duplicates))} given twice')
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


def format_changes(changes: list[dict[str, Any]]) -> str:
    """Format the differences between two configurations.

    :param changes: each with the fields of
        :class:`rattanvalve.configdiff.ConfigChange`.
    :returns: table with one row per change, or ``no changes``.
    """
    if not changes:
        return 'no changes'
    return format_table(
        ('change', 'place', 'before', 'after'),
        [
            (
                change['kind'],
                change['place'],
                _truncated_json(change['before']),
                _truncated_json(change['after']),
            )
            for change in changes
        ],
    )


def _truncated_json(content: Any) -> str:
    text = '' if content is None else json.dumps(content)
    if len(text) <= MAX_CELL_LENGTH:
        return text
    return f'{text[: MAX_CELL_LENGTH - 1]}…'
