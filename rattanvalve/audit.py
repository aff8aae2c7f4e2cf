"""Audit records of configuration changes, one store object per generation."""

import asyncio
from contextlib import suppress
from typing import Any

import msgspec

from rattanvalve.control import Store
from rattanvalve.errors import StoreError
from rattanvalve.logs import LogPart, part_logger

__all__ = ('read_audit', 'write_audit')

#: Changes listed in one record; further ones are cut off to keep the object
#: below the limit of 1 MB.
MAX_CHANGES_COUNT = 500

_log = part_logger(LogPart.ADMIN)


async def write_audit(
    store: Store,
    generation: int,
    entry: dict[str, Any],
) -> None:
    """Write the record of one generation.

    The change is already in force, so a store failure is logged, not raised.

    :param store: object store.
    :param generation: generation that the change created.
    :param entry: JSON object with ``change_id``, ``author`` and ``changes``.
    """
    entry = {**entry, 'changes': entry['changes'][:MAX_CHANGES_COUNT]}
    try:
        await store.put(
            _key_of(generation),
            msgspec.json.encode(entry),
            0,
            entry['change_id'],
        )
    except StoreError as error:
        _log.error(
            'cannot write audit record of generation %d: %s',
            generation,
            error,
        )


async def read_audit(
    store: Store,
    newest: int,
    count: int,
) -> list[dict[str, Any]]:
    """Read the newest records.

    :param store: object store.
    :param newest: newest generation.
    :param count: number of generations to read.
    :returns: JSON objects, newest first; generations without a readable
        record, such as the first one, are skipped.
    :raises StoreError: if the store does not answer.
    """
    generations = range(newest, max(0, newest - count), -1)
    found = await asyncio.gather(
        *(store.get(_key_of(generation)) for generation in generations),
    )
    records = []
    for stored in found:
        if stored is not None:
            with suppress(msgspec.DecodeError):
                records.append(msgspec.json.decode(stored.body))
    return records


def _key_of(generation: int) -> str:
    return f'audit/{generation}'
