"""Reads and conditional updates of the stored configuration."""

from contextlib import suppress
from dataclasses import dataclass

import msgspec

from rattanvalve.configdocs import (
    BaseConfig,
    BaseReference,
    StoredConfig,
    decode_base,
    decode_stored_config,
    encode_base,
    is_inline,
)
from rattanvalve.configtables import (
    ConfigTables,
    Difference,
    compare_tables,
)
from rattanvalve.control import ControlContext
from rattanvalve.errors import StoreConflictError, StoreError
from rattanvalve.inventory import encode_config
from rattanvalve.store import StoredObject

__all__ = (
    'CONFIG_KEY',
    'ConfigDraft',
    'ConfigStore',
    'MalformedConfigError',
    'OlderConfigError',
    'make_draft',
)

CONFIG_KEY = 'config'
_BASE_PREFIX = 'config-base'
#: Limits of the differences in a head. Every watcher reads the head on each
#: change, so its size determines the control traffic; a base is read rarely.
HEAD_DIFFERENCE_COUNT = 64
HEAD_DIFFERENCE_BYTES = 12 * 1024


class MalformedConfigError(StoreError):
    """The stored object is not a valid configuration."""


class OlderConfigError(MalformedConfigError):
    """The stored generation is older than the adopted one."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ConfigDraft:
    """A configuration to be written as a new generation.

    ``difference`` lists the rows that changed since the previous generation.
    """

    tables: ConfigTables
    difference: Difference
    generation: int
    change_id: str
    author: str


class ConfigStore:
    """Access to the object ``config`` and the bases that it refers to.

    :param context: store.
    """

    def __init__(self, context: ControlContext) -> None:
        self._context = context

    async def read(self) -> StoredObject | None:
        """Read the head.

        :returns: the object, or ``None`` if there is none.
        :raises StoreError: if the store does not answer.
        """
        return await self._context.store.get(CONFIG_KEY)

    async def watch(
        self,
        version: int,
        timeout_s: float,
    ) -> StoredObject | None:
        """Watch the store for a newer head.

        :param version: last known version of the head; 0 for none.
        :param timeout_s: seconds that the store waits for a change.
        :returns: the newer object, or ``None`` if there was no change.
        :raises StoreError: if the store does not answer.
        """
        return await self._context.store.watch(CONFIG_KEY, version, timeout_s)

    async def read_base(self, reference: BaseReference) -> bytes:
        """Read the base that a head refers to.

        :param reference: reference in the head.
        :returns: JSON text of the configuration.
        :raises MalformedConfigError: if the object does not match the
            reference; the head may have been replaced meanwhile.
        :raises StoreError: if the store does not answer.
        """
        stored = await self._context.store.get(reference.key)
        if stored is None:
            raise MalformedConfigError(f'{reference.key} does not exist')
        try:
            return decode_base(stored.body, reference)
        except StoreError as error:
            raise MalformedConfigError(str(error)) from error

    async def write(
        self,
        draft: ConfigDraft,
        head: StoredConfig | None,
        version: int,
    ) -> StoredObject:
        """Write a generation; the head is written last.

        :param draft: generation to write.
        :param head: valid head of the previous generation, or ``None``.
        :param version: version of the stored head; 0 if there is none.
        :returns: the written head.
        :raises ConfigTooLargeError: if the configuration is too large.
        :raises StoreConflictError: if the head has another version.
        :raises StoreError: if it is unknown whether the write took effect.
        """
        base_body = encode_base(
            draft.tables.config,
            draft.generation,
            draft.change_id,
        )
        written = _next_head(draft, head)
        if written is None:
            written = await self._write_base(draft, base_body, head)
        body = msgspec.json.encode(written)
        try:
            new_version = await self._context.store.put(
                CONFIG_KEY,
                body,
                version,
                draft.change_id,
            )
        except StoreConflictError:
            await self._clear_unused_base(written, draft.change_id)
            raise
        if head and head.base and head.base != written.base:
            await self._clear_base(head.base, draft.change_id)
        return StoredObject(new_version, body)

    async def _write_base(
        self,
        draft: ConfigDraft,
        body: bytes,
        head: StoredConfig | None,
    ) -> StoredConfig:
        key = f'{_BASE_PREFIX}/{draft.change_id}'
        version = await self._context.store.put(key, body, 0, draft.change_id)
        base = BaseReference(
            key=key,
            version=version,
            generation=draft.generation,
        )
        # A watcher that has the previous generation applies this difference
        # and does not read the base.
        last = (draft.difference,) if head else ()
        if len(msgspec.json.encode(last)) > HEAD_DIFFERENCE_BYTES:
            last = ()
        return _envelope(draft, base=base, differences=last)

    async def _clear_unused_base(
        self,
        written: StoredConfig,
        change_id: str,
    ) -> None:
        """Clear the base of a refused head, unless the stored head uses it.

        A write that took effect may look like a conflict if a later write
        follows before the read-back; the later head refers to the same base.
        """
        base = written.base
        if base is None or not base.key.endswith(f'/{change_id}'):
            return
        with suppress(StoreError):
            stored = await self.read()
            current = decode_stored_config(stored.body) if stored else None
            if current is None or current.base != base:
                await self._clear_base(base, change_id)

    async def _clear_base(self, base: BaseReference, change_id: str) -> None:
        """Overwrite a base with an empty one, as the API has no deletion."""
        # The change id differs, so that a retried write of this base does not
        # mistake the empty one for its own.
        clear_id = f'{change_id}/drop'
        with suppress(StoreError):
            await self._context.store.put(
                base.key,
                msgspec.json.encode(BaseConfig(change_id=clear_id)),
                base.version,
                clear_id,
            )


def make_draft(
    before: ConfigTables,
    after: ConfigTables,
    generation: int,
    change_id: str,
    author: str,
) -> ConfigDraft:
    """Build the draft of a new generation.

    :param before: tables of the previous generation.
    :param after: tables of the new generation.
    :param generation: number of the new generation.
    :param change_id: unique id of the change.
    :param author: name of the operator.
    :returns: the draft with the difference between both.
    """
    return ConfigDraft(
        tables=after,
        difference=msgspec.structs.replace(
            compare_tables(before, after),
            generation=generation,
            change_id=change_id,
            author=author,
        ),
        generation=generation,
        change_id=change_id,
        author=author,
    )


def _next_head(
    draft: ConfigDraft,
    head: StoredConfig | None,
) -> StoredConfig | None:
    """Build the next head; ``None`` if it needs a new base."""
    config = draft.tables.config
    if is_inline(config):
        return _envelope(draft, config=msgspec.Raw(encode_config(config)))
    if head is None or head.base is None:
        return None
    differences = (*head.differences, draft.difference)
    size = len(msgspec.json.encode(differences))
    if len(differences) > HEAD_DIFFERENCE_COUNT or size > HEAD_DIFFERENCE_BYTES:
        return None
    return _envelope(draft, base=head.base, differences=differences)


def _envelope(draft: ConfigDraft, **parts) -> StoredConfig:
    return StoredConfig(
        generation=draft.generation,
        change_id=draft.change_id,
        author=draft.author,
        digest=draft.tables.digest,
        **parts,
    )
