"""Adoption of the stored configuration, and the reason if it fails."""

from contextlib import suppress

from rattanvalve.configdocs import StoredConfig, decode_stored_config
from rattanvalve.configholder import ConfigHolder
from rattanvalve.configstore import (
    ConfigStore,
    MalformedConfigError,
    OlderConfigError,
)
from rattanvalve.configtables import DifferenceError
from rattanvalve.control import ControlContext
from rattanvalve.errors import StoreError
from rattanvalve.store import StoredObject

__all__ = ('ConfigAdoption',)

#: Attempts at reading head and base; the base may be replaced in between.
READ_ATTEMPT_COUNT = 3


class ConfigAdoption:
    """Adopts the stored configuration in the holder.

    :param context: counters and the callback that requests a heartbeat.
    :param holder: adopted configuration.
    :param store: access to the stored configuration.
    """

    def __init__(
        self,
        context: ControlContext,
        holder: ConfigHolder,
        store: ConfigStore,
    ) -> None:
        #: Why the stored document was not adopted; empty if it was.
        self.problem = ''
        self._context = context
        self._holder = holder
        self._store = store
        self._known_version = 0

    async def refresh(self) -> StoredObject | None:
        """Read the newest configuration from the store and adopt it.

        :returns: the stored head, or ``None`` if none is stored.
        :raises StoreError: if the store does not answer.
        """
        for _ in range(READ_ATTEMPT_COUNT - 1):
            known = self._holder.generation
            stored = await self._store.read()
            with suppress(MalformedConfigError):
                await self._adopt_once(stored, known)
                return stored
        return await self._refresh_last()

    async def watch(self, timeout_s: float) -> None:
        """Watch the store for a newer configuration and adopt it.

        :param timeout_s: seconds that the store waits for a change.
        :raises StoreError: if the store does not answer.
        """
        known = self._holder.generation
        stored = await self._store.watch(self._known_version, timeout_s)
        try:
            await self._adopt_once(stored, known)
        except MalformedConfigError:
            await self.refresh()

    async def adopt_written(self, stored: StoredObject) -> None:
        """Adopt a head that this process has written.

        :param stored: the head and its new version.
        :raises StoreError: if the store does not answer.
        """
        with suppress(MalformedConfigError):
            await self._adopt_once(stored, self._holder.generation)

    def valid_head(self, stored: StoredObject | None) -> StoredConfig | None:
        """Decode the head if it holds the adopted generation.

        :param stored: result of :meth:`refresh`.
        :returns: the head, or ``None`` if none is stored, it is malformed, or
            its generation is not the adopted one.
        """
        if stored is None or self.problem:
            return None
        head = decode_stored_config(stored.body)
        return head if head.generation == self._holder.generation else None

    async def _refresh_last(self) -> StoredObject | None:
        known = self._holder.generation
        stored = await self._store.read()
        try:
            await self._adopt_once(stored, known)
        except MalformedConfigError as error:
            # The version is recorded, so that it is reported only once.
            self._holder.reject(error)
            self.problem = f'the stored configuration is malformed: {error}'
            self._known_version = stored.version if stored else 0
        return stored

    async def _adopt_once(
        self,
        stored: StoredObject | None,
        known_generation: int,
    ) -> None:
        """Adopt a head and request a heartbeat that announces it.

        ``known_generation`` was adopted before the store was called; an older
        one in the answer is an error.
        """
        if stored is None or stored.version <= self._known_version:
            return
        generation = self._holder.generation
        await self._adopt_head(_decode_head(stored), known_generation)
        if stored.version > self._known_version:
            self._known_version = stored.version
            self.problem = ''
        if self._holder.generation > generation:
            self._context.request_heartbeat()

    async def _adopt_head(self, head: StoredConfig, known: int) -> None:
        if head.generation < known:
            raise OlderConfigError(
                f'older generation {head.generation}, in force is {known}',
            )
        if head.generation <= self._holder.generation:
            return
        with suppress(DifferenceError):
            self._holder.adopt_differences(head.differences, is_from_store=True)
        if head.generation > self._holder.generation:
            text = (
                await self._store.read_base(head.base)
                if head.base
                else head.config_text()
            )
            self._adopt_text(head, text)

    def _adopt_text(self, head: StoredConfig, text: bytes) -> None:
        try:
            self._holder.adopt_document(head, text)
        except (StoreError, DifferenceError) as error:
            raise MalformedConfigError(str(error)) from error


def _decode_head(stored: StoredObject) -> StoredConfig:
    try:
        return decode_stored_config(stored.body)
    except StoreError as error:
        raise MalformedConfigError(str(error)) from error
