"""Decodes and applies configuration documents and differences."""

from collections.abc import Sequence

import msgspec

from rattanvalve.configtables import (
    ConfigTables,
    Difference,
    DifferenceError,
    RowChange,
    tables_of,
)
from rattanvalve.errors import StoreError
from rattanvalve.inventory import check_config, parse_config

__all__ = (
    'apply_differences',
    'check_tables',
    'decode_differences',
    'parse_tables',
)


def parse_tables(text: bytes) -> ConfigTables:
    """Parse and check a configuration.

    :param text: JSON text.
    :returns: its tables.
    :raises StoreError: if it is malformed or breaks a rule.
    """
    parsed = parse_config(text)
    if parsed.is_err():
        raise StoreError(f'invalid configuration: {parsed.unwrap_err()}')
    return tables_of(parsed.unwrap())


def apply_differences(
    tables: ConfigTables,
    generation: int,
    differences: Sequence[Difference],
) -> tuple[ConfigTables, list[RowChange]]:
    """Apply consecutive differences and verify each result.

    :param tables: tables of ``generation``.
    :param generation: generation to start from.
    :param differences: differences from ``generation`` on.
    :returns: the tables after the last one, and all changed rows in order.
    :raises DifferenceError: if one is missing or malformed, or if the digest
        of its result is not the recorded one.
    """
    changes: list[RowChange] = []
    for number, difference in enumerate(differences, start=generation + 1):
        if difference.generation != number:
            raise DifferenceError(f'no difference to generation {number}')
        row_changes = tables.read_changes(difference)
        tables = tables.with_changes(row_changes)
        if tables.digest != difference.digest:
            raise DifferenceError(f'other digest in generation {number}')
        changes.extend(row_changes)
    return tables, changes


def check_tables(tables: ConfigTables) -> None:
    """Check the rules that span several rows, such as references.

    :param tables: tables whose rows are valid by themselves.
    :raises DifferenceError: if a rule is broken.
    """
    error = check_config(tables.config)
    if error is not None:
        raise DifferenceError(f'invalid configuration: {error}')


def decode_differences(body: bytes) -> tuple[Difference, ...]:
    """Decode differences received from a peer.

    :param body: JSON text.
    :returns: the differences.
    :raises DifferenceError: if the text is malformed.
    """
    try:
        return msgspec.json.decode(body, type=tuple[Difference, ...])
    except msgspec.MsgspecError as error:
        raise DifferenceError(f'malformed differences: {error}') from error
