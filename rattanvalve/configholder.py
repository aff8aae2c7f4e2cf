"""The adopted configuration of a process.

Each document is verified before it is adopted, the generation never decreases,
and the document and recent differences are sent to peers on request.
"""

from collections import deque
from collections.abc import Sequence
from contextlib import suppress

import msgspec

from rattanvalve.catalog import Catalog, build_catalog, revise_catalog
from rattanvalve.channels import Address
from rattanvalve.configapply import (
    apply_differences,
    check_tables,
    decode_differences,
    parse_tables,
)
from rattanvalve.configdocs import (
    StoredConfig,
    decode_document,
    encode_document,
)
from rattanvalve.configstore import OlderConfigError
from rattanvalve.configtables import (
    Difference,
    DifferenceError,
    compare_tables,
    tables_of,
)
from rattanvalve.control import ControlContext
from rattanvalve.counters import Counter
from rattanvalve.errors import PeerError, StoreError
from rattanvalve.inventory import Config, encode_config
from rattanvalve.logs import LogPart, part_logger
from rattanvalve.messages import Document, Pull
from rattanvalve.resultcodes import ResultCode

__all__ = (
    'PULL_CONFIG',
    'PULL_DIFFERENCES',
    'ConfigHolder',
)

PULL_CONFIG = 'config'
#: Kind of an answer that contains differences instead of the document.
PULL_DIFFERENCES = 'config-differences'
PULL_TIMEOUT_S = 2.0
#: ``newer_than`` of a pull that is answered with the whole document.
NEWER_THAN_NONE = -1
#: Limits of the differences retained for peers; a peer that is further behind
#: gets the whole document.
RETAINED_COUNT = 128
RETAINED_BYTES = 64 * 1024

_log = part_logger(LogPart.CONFIG)


class ConfigHolder:
    """Holds the adopted document of this process and the last differences.

    :param context: blackboard and counters.
    """

    def __init__(self, context: ControlContext) -> None:
        self.tables = tables_of(Config())
        self._context = context
        self._envelope = StoredConfig(generation=0, change_id='', author='')
        self._encoded: bytes = b''
        self._encoded_bytes = 0
        self._retained: deque[tuple[Difference, int]] = deque()
        self._retained_bytes = 0

    @property
    def generation(self) -> int:
        """Generation of the adopted document; 0 if there is none."""
        return self._context.blackboard.catalog.generation

    def adopt_document(self, stored: StoredConfig, text: bytes) -> None:
        """Adopt a whole document if it is newer than the adopted one.

        :param stored: envelope; its differences apply to ``text``.
        :param text: JSON text of the configuration.
        :raises StoreError: if the document is malformed.
        :raises DifferenceError: if a difference is malformed.
        """
        if stored.generation <= self.generation:
            return
        base_generation = (
            stored.base.generation if stored.base else stored.generation
        )
        later = [
            difference
            for difference in stored.differences
            if difference.generation > base_generation
        ]
        tables, _ = apply_differences(
            parse_tables(text), base_generation, later
        )
        if later:
            check_tables(tables)
        if stored.digest not in {'', tables.digest}:
            raise StoreError('the configuration has another digest')
        if stored.generation == self.generation + 1 and self.generation:
            difference = msgspec.structs.replace(
                compare_tables(self.tables, tables),
                generation=stored.generation,
                change_id=stored.change_id,
                author=stored.author,
            )
            self._retain((difference,))
        else:
            self._retain(())
        self.tables = tables
        self._publish(stored, build_catalog(tables.config, stored.generation))

    def adopt_differences(
        self,
        differences: Sequence[Difference],
        *,
        is_from_store: bool = False,
    ) -> None:
        """Adopt differences that start at the adopted generation.

        Peers send only documents that they checked, and an equal digest shows
        that the result is the same document. What the store holds may have
        been written by a tool, so it is checked here.

        :param differences: consecutive differences; those up to the adopted
            generation are skipped.
        :param is_from_store: whether to check the resulting document, too.
        :raises DifferenceError: if one is missing or malformed, or if the
            digest of its result differs; nothing is adopted then.
        """
        newer = [
            difference
            for difference in differences
            if difference.generation > self.generation
        ]
        if not newer:
            return
        tables, changes = apply_differences(self.tables, self.generation, newer)
        if is_from_store:
            check_tables(tables)
        catalog = revise_catalog(
            self._context.blackboard.catalog,
            tables.config,
            newer[-1].generation,
            changes,
        )
        self.tables = tables
        self._retain(newer)
        self._publish(
            StoredConfig(
                generation=newer[-1].generation,
                change_id=newer[-1].change_id,
                author=newer[-1].author,
            ),
            catalog,
        )
        self._context.metrics.count(Counter.CONFIG_DIFFERENCES, len(newer))

    async def pull(self, address: Address) -> None:
        """Request a newer document from a peer and adopt it.

        :param address: address of the peer; a failed call is ignored.
        """
        with suppress(PeerError):
            document = await self._request(address, self.generation)
            if self._adopt_answer(document):
                return
            # The differences do not apply to the adopted document.
            self._adopt_answer(await self._request(address, NEWER_THAN_NONE))

    def answer(self, pull: Pull) -> Document:
        """Build the answer to a pull.

        :param pull: request of a peer.
        :returns: differences if all that the peer lacks are retained and
            smaller than the document, else the document; an empty body if the
            peer is up to date.
        """
        kind, body = PULL_CONFIG, b''
        if self.generation > pull.newer_than and self.generation:
            body = self._differences_since(pull.newer_than)
            kind = PULL_DIFFERENCES if body else PULL_CONFIG
            body = body or self._encode_document()
        return Document(kind=kind, version=self.generation, body=body)

    def reject(self, error: Exception) -> None:
        """Count and log a document that cannot be adopted.

        :param error: reason of the rejection.
        """
        if isinstance(error, OlderConfigError):
            self._context.metrics.count(Counter.CONFIG_REJECTED_OLDER)
        else:
            self._context.metrics.count_code(ResultCode.BAD_CONFIGURATION)
        _log.error('document not adopted: %s', error)

    async def _request(
        self,
        address: Address,
        newer_than: int,
    ) -> Document | None:
        pull = Pull(kind=PULL_CONFIG, newer_than=newer_than)
        document = await self._context.call(address, pull, PULL_TIMEOUT_S)
        return document if isinstance(document, Document) else None

    def _adopt_answer(self, document: Document | None) -> bool:
        """Adopt an answer; ``False`` if a pull of the whole is needed."""
        if document is None or not document.body:
            return True
        if document.kind == PULL_DIFFERENCES:
            return self._adopt_difference_answer(document.body)
        try:
            stored = decode_document(document.body)
            self.adopt_document(stored, stored.config_text())
        except (StoreError, DifferenceError) as error:
            self.reject(error)
        return True

    def _adopt_difference_answer(self, body: bytes) -> bool:
        try:
            self.adopt_differences(decode_differences(body))
        except DifferenceError as error:
            self._context.metrics.count(Counter.CONFIG_MISMATCH)
            _log.warning('differences not adopted: %s', error)
            return False
        return True

    def _differences_since(self, generation: int) -> bytes:
        count = self.generation - generation
        if not 0 < count <= len(self._retained):
            return b''
        retained = list(self._retained)[-count:]
        if sum(size for _, size in retained) >= self._encoded_bytes:
            return b''
        return msgspec.json.encode([difference for difference, _ in retained])

    def _encode_document(self) -> bytes:
        if not self._encoded:
            text = encode_config(self.tables.config)
            self._encoded = encode_document(
                msgspec.structs.replace(
                    self._envelope,
                    digest=self.tables.digest,
                    config=msgspec.Raw(text),
                ),
            )
            self._encoded_bytes = len(self._encoded)
        return self._encoded

    def _retain(self, differences: Sequence[Difference]) -> None:
        """Retain differences for peers; an empty sequence discards all.

        They are discarded after a gap, as peers need consecutive ones.
        """
        if not differences:
            self._retained.clear()
            self._retained_bytes = 0
            return
        for difference in differences:
            size = len(msgspec.json.encode(difference))
            self._retained.append((difference, size))
            self._retained_bytes += size
        while (
            len(self._retained) > RETAINED_COUNT
            or self._retained_bytes > RETAINED_BYTES
        ):
            self._retained_bytes -= self._retained.popleft()[1]

    def _publish(self, stored: StoredConfig, catalog: Catalog) -> None:
        blackboard = self._context.blackboard
        self._context.check(
            stored.generation > self.generation,
            f'generation decreases to {stored.generation}',
        )
        self._envelope = msgspec.structs.replace(
            stored,
            base=None,
            differences=(),
            config=msgspec.Raw(),
        )
        blackboard.catalog = catalog
        self._encoded = b''
        if not self._encoded_bytes:
            # The size of the first compressed document serves as the estimate
            # for later ones, which are compressed only on request of a peer.
            self._encode_document()
        self._context.metrics.count(Counter.CONFIG_ADOPTED)
        blackboard.publish()
        _log.info('adopted generation %s', stored.generation)
