"""Controller of the configuration: watches, pulls, adopts and writes it."""

import asyncio
from contextlib import suppress

from rattanvalve.channels import Address, Handler, Send
from rattanvalve.configadoption import ConfigAdoption
from rattanvalve.configdocs import StoredConfig
from rattanvalve.configholder import PULL_CONFIG, ConfigHolder
from rattanvalve.configstore import ConfigDraft, ConfigStore, make_draft
from rattanvalve.configtables import tables_of
from rattanvalve.control import ControlContext, sleep_or_wake
from rattanvalve.errors import StoreConflictError, StoreError
from rattanvalve.inventory import Config
from rattanvalve.messages import Member, Pull
from rattanvalve.rendezvous import rank
from rattanvalve.views import entries_of

__all__ = ('ConfigController', 'GenerationConflictError')

#: Watching entries of each zone of a cell.
WATCHER_COUNT = 2
#: Time within which a change must be in force everywhere.
APPLY_BOUND_S = 15.0
#: A watch that gets no answer ends early enough for another process, or a new
#: watch, to bring the change to all processes within that time.
WATCH_TIMEOUT_S = 5.0
ROUND_INTERVAL_S = 1.0


class GenerationConflictError(StoreConflictError):
    """Another operator changed the configuration first.

    :param expected: generation that the change was based on.
    :param current: generation that is stored.
    """

    def __init__(self, expected: int, current: int) -> None:
        super().__init__(
            f'expected generation {expected}, current generation {current}',
        )
        self.current_generation = current


class ConfigController:
    """Keeps ``blackboard.catalog`` current.

    :param member: this entry process.
    :param context: store, peers, clock and blackboard.
    """

    def __init__(self, member: Member, context: ControlContext) -> None:
        self._member = member
        self._context = context
        self._holder = ConfigHolder(context)
        self._store = ConfigStore(context)
        self._adoption = ConfigAdoption(context, self._holder, self._store)
        #: Peers that reported a newer generation.
        self._newer_peers: set[Address] = set()
        self._wake = asyncio.Event()
        context.observe_generation = self.observe_generation

    @property
    def problem(self) -> str:
        """Why the stored document was not adopted; empty if it was."""
        return self._adoption.problem

    def handlers(self) -> dict[type, Handler]:
        """Return the handlers of messages from peers.

        :returns: handler of ``Pull(kind='config')``.
        """
        return {Pull: self._answer_pull}

    def observe_generation(self, generation: int, address: Address) -> None:
        """Record the generation of a peer and schedule a pull of a newer one.

        :param generation: generation that the peer has adopted.
        :param address: address of the peer.
        """
        if generation > self._holder.generation:
            self._newer_peers.add(address)
            self._wake.set()

    def is_watcher(self) -> bool:
        """Return whether this process watches the store.

        :returns: whether rendezvous hashing ranks it among the first
            ``WATCHER_COUNT`` entries of its zone.
        """
        zone = self._member.zone
        names = [
            member.name
            for member in entries_of(self._context.blackboard.view)
            if member.zone == zone
        ]
        order = rank(f'config/{self._context.cell}/{zone}', names)
        return self._member.name in order[:WATCHER_COUNT]

    async def run(self) -> None:
        """Load the configuration and keep it current until cancelled."""
        await self.load()
        await asyncio.gather(self._run_pulls(), self._run_watch())

    async def load(self) -> None:
        """Read the configuration from the store, else from the seed peers."""
        with suppress(StoreError):
            await self.refresh()
            return
        self._newer_peers.update(self._context.seed_peers)
        await self.pull_newer()

    async def refresh(self) -> None:
        """Read the newest configuration from the store.

        :raises StoreError: if the store does not answer.
        """
        await self._adoption.refresh()

    async def pull_newer(self) -> None:
        """Pull from the peers that reported a newer generation."""
        addresses = tuple(self._newer_peers)
        self._newer_peers.clear()
        await asyncio.gather(*map(self._holder.pull, addresses))

    async def watch_once(self) -> None:
        """Watch the store until a newer configuration or the timeout.

        :raises StoreError: if the store does not answer.
        """
        await self._adoption.watch(WATCH_TIMEOUT_S)

    async def apply(
        self,
        config: Config,
        expected_generation: int,
        author: str,
        change_id: str,
    ) -> int:
        """Write a new generation of the configuration.

        The call is idempotent: a repetition with the change id of the current
        generation changes nothing. A stored document that cannot be adopted
        is replaced.

        :param config: valid configuration.
        :param expected_generation: generation that the change is based on.
        :param author: name of the operator.
        :param change_id: unique id of the change, the same for a retry.
        :returns: the new generation.
        :raises GenerationConflictError: if another generation is current.
        :raises ConfigTooLargeError: if the configuration is too large.
        :raises StoreError: if it is unknown whether the write took effect.
        """
        stored = await self._adoption.refresh()
        head = self._adoption.valid_head(stored)
        if head and head.change_id == change_id:
            return head.generation
        if not head:
            await self.pull_newer()
        generation = self._holder.generation
        if generation != expected_generation:
            raise GenerationConflictError(expected_generation, generation)
        version = stored.version if stored else 0
        next_generation = generation + 1
        if stored and not head:
            # Each generation takes at least one write, so no overwritten
            # generation, of this or another cell, exceeds the version of the
            # object. The new generation must exceed them all.
            next_generation = max(generation, version) + 1
        draft = make_draft(
            self._holder.tables,
            tables_of(config),
            next_generation,
            change_id,
            author,
        )
        await self._write(draft, head, version)
        return next_generation

    async def _write(
        self,
        draft: ConfigDraft,
        head: StoredConfig | None,
        version: int,
    ) -> None:
        generation = self._holder.generation
        try:
            written = await self._store.write(draft, head, version)
        except StoreConflictError as error:
            with suppress(StoreError):
                await self.refresh()
            current = self._holder.generation
            raise GenerationConflictError(generation, current) from error
        await self._adoption.adopt_written(written)

    async def _answer_pull(self, message: Pull, send: Send) -> None:
        if message.kind != PULL_CONFIG:
            return
        await send(self._holder.answer(message))

    async def _run_pulls(self) -> None:
        while True:
            self._wake.clear()
            await self.pull_newer()
            await sleep_or_wake(
                self._context.sleep,
                ROUND_INTERVAL_S,
                self._wake,
            )

    async def _run_watch(self) -> None:
        while True:
            if self.is_watcher():
                with suppress(StoreError):
                    await self.watch_once()
            elif not self._holder.generation:
                await self.load()
            # The delay also limits the call rate while the store fails.
            jitter = self._context.random_source.uniform(0.1, 1)
            await self._context.sleep(ROUND_INTERVAL_S * jitter)
