"""Controller of the configuration: watches, pulls, adopts and writes it."""

import asyncio
from contextlib import suppress

import msgspec

from rattanvalve.configdocs import (
    PULL_CONFIG,
    ConfigHolder,
    StoredConfig,
    decode_stored_config,
)
from rattanvalve.control import ControlContext, sleep_or_wake
from rattanvalve.errors import StoreConflictError, StoreError
from rattanvalve.inventory import Config, encode_config
from rattanvalve.messages import Member, Pull
from rattanvalve.peers import Address, Handler, Send
from rattanvalve.rendezvous import rank
from rattanvalve.store import StoredObject
from rattanvalve.views import entries_of

__all__ = ('ConfigController', 'GenerationConflictError')

CONFIG_KEY = 'config'
#: Watching entries of each zone of a cell.
WATCHER_COUNT = 2
WATCH_TIMEOUT_S = 20.0
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
        self._known_version = 0
        self._newer_at: set[Address] = set()
        self._wake = asyncio.Event()
        context.hear_generation = self.hear

    def handlers(self) -> dict[type, Handler]:
        """List the handlers of messages from peers.

        :returns: handler of ``Pull(kind='config')``.
        """
        return {Pull: self._answer_pull}

    def hear(self, generation: int, address: Address) -> None:
        """Note the generation of a peer; a newer one is pulled.

        :param generation: generation that the peer has.
        :param address: address of the peer.
        """
        if generation > self._holder.generation:
            self._newer_at.add(address)
            self._wake.set()

    def is_watcher(self) -> bool:
        """Tell whether this process watches the store.

        :returns: whether it is one of the first entries of its zone.
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
        """Get the newest configuration at start, from store or peers."""
        with suppress(StoreError):
            await self.refresh()
            return
        self._newer_at.update(self._context.seed_peers)
        await self.pull_newer()

    async def refresh(self) -> None:
        """Read the newest configuration from the store.

        :raises StoreError: if the store does not answer.
        """
        self._adopt_stored(await self._context.store.get(CONFIG_KEY))

    async def pull_newer(self) -> None:
        """Pull from the peers that are known to have a newer generation."""
        addresses = tuple(self._newer_at)
        self._newer_at.clear()
        await asyncio.gather(*map(self._holder.pull, addresses))

    async def watch_once(self) -> None:
        """Wait in the store for a newer configuration.

        :raises StoreError: if the store does not answer.
        """
        self._adopt_stored(
            await self._context.store.watch(
                CONFIG_KEY,
                self._known_version,
                WATCH_TIMEOUT_S,
            ),
        )

    async def apply(
        self,
        config: Config,
        expected_generation: int,
        author: str,
        change_id: str,
    ) -> int:
        """Write a new generation of the configuration.

        A repeated call with the change id of the current generation changes
        nothing, so that an operator may retry.

        :param config: valid configuration.
        :param expected_generation: generation that the change is based on.
        :param author: name of the operator.
        :param change_id: identifies the change.
        :returns: the new generation.
        :raises GenerationConflictError: if another generation is current.
        :raises StoreError: if it is unknown whether the write took effect.
        """
        stored = await self._context.store.get(CONFIG_KEY)
        current = decode_stored_config(stored.body) if stored else None
        generation = _generation_of(stored)
        if current and current.change_id == change_id:
            return generation
        if generation != expected_generation:
            raise GenerationConflictError(expected_generation, generation)
        if generation < self._holder.generation:
            raise StoreError(f'store holds older generation {generation}')
        body = msgspec.json.encode(
            StoredConfig(
                generation=generation + 1,
                change_id=change_id,
                author=author,
                config=msgspec.Raw(encode_config(config)),
            ),
        )
        await self._write(body, stored.version if stored else 0, generation)
        return generation + 1

    async def _write(self, body: bytes, version: int, generation: int) -> None:
        change_id = decode_stored_config(body).change_id
        try:
            new_version = await self._context.store.put(
                CONFIG_KEY,
                body,
                version,
                change_id,
            )
        except StoreConflictError as error:
            stored = await self._context.store.get(CONFIG_KEY)
            current = _generation_of(stored)
            raise GenerationConflictError(generation, current) from error
        self._adopt_stored(StoredObject(new_version, body))

    def _adopt_stored(self, stored: StoredObject | None) -> None:
        """Adopt a stored document; a watcher spreads it at once."""
        if stored is None:
            return
        self._known_version = max(self._known_version, stored.version)
        if self._holder.adopt(stored.body):
            self._context.request_beat()

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
            # Also bounds the call rate while the store answers with errors.
            jitter = self._context.random_source.uniform(0.1, 1)
            await self._context.sleep(ROUND_INTERVAL_S * jitter)


def _generation_of(stored: StoredObject | None) -> int:
    return decode_stored_config(stored.body).generation if stored else 0
