"""The configuration document: envelope, validation, monotonic adoption."""

from contextlib import suppress

import msgspec

from rattanvalve.catalog import build_catalog
from rattanvalve.control import ControlContext
from rattanvalve.counters import Counter
from rattanvalve.errors import PeerError, StoreError
from rattanvalve.inventory import Config, parse_config
from rattanvalve.logs import LogPart, part_logger
from rattanvalve.messages import Document, Pull
from rattanvalve.peers import Address
from rattanvalve.resultcodes import ResultCode

__all__ = (
    'PULL_CONFIG',
    'ConfigHolder',
    'StoredConfig',
    'decode_stored_config',
)

PULL_CONFIG = 'config'
PULL_TIMEOUT_S = 2.0

_log = part_logger(LogPart.CONFIG)


class StoredConfig(msgspec.Struct, kw_only=True):
    """Envelope of the stored configuration."""

    generation: int
    change_id: str
    author: str
    config: msgspec.Raw


def decode_stored_config(body: bytes) -> StoredConfig:
    """Read the envelope of a stored configuration.

    :param body: JSON text from the store or a peer.
    :returns: the envelope; the configuration itself is not checked.
    :raises StoreError: if the text is not such a document.
    """
    try:
        return msgspec.json.decode(body, type=StoredConfig)
    except msgspec.DecodeError as error:
        raise StoreError(f'malformed configuration: {error}') from error


class ConfigHolder:
    """The adopted document of this process.

    :param context: blackboard and counters.
    """

    def __init__(self, context: ControlContext) -> None:
        self.body = b''
        self._context = context

    @property
    def generation(self) -> int:
        """Generation of the adopted document; 0 if there is none."""
        return self._context.blackboard.catalog.generation

    def adopt(self, body: bytes) -> bool:
        """Adopt a document if it is valid and newer than the adopted one.

        :param body: JSON text from the store or a peer.
        :returns: whether it was adopted.
        """
        try:
            document = decode_stored_config(body)
        except StoreError as error:
            return self._reject(str(error))
        if document.generation <= self.generation:
            if document.generation < self.generation:
                self._context.metrics.count(Counter.CONFIG_REJECTED_OLDER)
            return False
        parsed = parse_config(bytes(document.config))
        if parsed.is_err():
            return self._reject(str(parsed.unwrap_err()))
        self._publish(body, document.generation, parsed.unwrap())
        return True

    async def pull(self, address: Address) -> None:
        """Ask a peer for a newer document and adopt it.

        :param address: peer to ask; without an answer nothing changes.
        """
        pull = Pull(kind=PULL_CONFIG, newer_than=self.generation)
        with suppress(PeerError):
            document = await self._context.call(address, pull, PULL_TIMEOUT_S)
            if isinstance(document, Document) and document.body:
                self.adopt(document.body)

    def answer(self, pull: Pull) -> Document:
        """Make the answer to a pull.

        :param pull: request of a peer.
        :returns: the document; without a body if the peer's one is as new.
        """
        is_newer = self.generation > pull.newer_than
        return Document(
            kind=PULL_CONFIG,
            version=self.generation,
            body=self.body if is_newer else b'',
        )

    def _publish(self, body: bytes, generation: int, config: Config) -> None:
        self._context.check(
            generation > self.generation,
            f'generation decreases to {generation}',
        )
        self.body = body
        self._context.blackboard.catalog = build_catalog(config, generation)
        self._context.metrics.count(Counter.CONFIG_ADOPTED)
        self._context.blackboard.publish()
        _log.info('adopted generation %s', generation)

    def _reject(self, text: str) -> bool:
        self._context.metrics.count_code(ResultCode.BAD_CONFIGURATION)
        _log.error('document not adopted: %s', text)
        return False
