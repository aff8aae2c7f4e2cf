"""Reading and applying of configuration documents and differences."""

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

__all__ = ('apply_all', 'check_tables', 'decode_differences', 'parse_tables')


def parse_tables(text: bytes) -> ConfigTables:
    """Read a configuration.

    :param text: JSON text.
    :returns: its tables.
    :raises StoreError: if it is invalid.
    """
    parsed = parse_config(text)
    if parsed.is_err():
        raise StoreError(f'invalid configuration: {parsed.unwrap_err()}')
    return tables_of(parsed.unwrap())


def apply_all(
    tables: ConfigTables,
    generation: int,
    differences: Sequence[Difference],
) -> tuple[ConfigTables, list[RowChange]]:
    """Apply consecutive differences and verify each result.

    :param tables: tables of ``generation``.
    :param generation: generation to start from.
    :param differences: differences from ``generation`` on.
    :returns: the tables after the last one, and all changed rows.
    :raises DifferenceError: if one is missing, malformed or gives another
        digest than its writer had.
    """
    changes: list[RowChange] = []
    for number, difference in enumerate(differences, start=generation + 1):
        if difference.generation != number:
            raise DifferenceError(f'no difference to generation {number}')
        step = tables.read_changes(difference)
        tables = tables.with_changes(step)
        if tables.digest != difference.digest:
            raise DifferenceError(f'other digest in generation {number}')
        changes.extend(step)
    return tables, changes


def check_tables(tables: ConfigTables) -> None:
    """Check the references between rows.

    :param tables: tables whose rows are valid by themselves.
    :raises DifferenceError: if a reference is wrong.
    """
    error = check_config(tables.config)
    if error is not None:
        raise DifferenceError(f'invalid configuration: {error}')


def decode_differences(body: bytes) -> tuple[Difference, ...]:
    """Read differences from a peer.

    :param body: JSON text.
    :returns: the differences.
    :raises DifferenceError: if the text is malformed.
    """
    try:
        return msgspec.json.decode(body, type=tuple[Difference, ...])
    except msgspec.MsgspecError as error:
        raise DifferenceError(f'malformed differences: {error}') from error
