"""The adopted configuration of a process: verified, monotonic, propagated."""

from collections import deque
from collections.abc import Sequence
from contextlib import suppress

import msgspec

from rattanvalve.catalog import Catalog, build_catalog, revise_catalog
from rattanvalve.channels import Address
from rattanvalve.configapply import (
    apply_all,
    check_tables,
    decode_differences,
    parse_tables,
)
from rattanvalve.configdocs import (
    StoredConfig,
    decode_whole,
    encode_whole,
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
#: Kind of an answer that holds differences instead of the document.
PULL_DIFFERENCES = 'config-differences'
PULL_TIMEOUT_S = 2.0
#: ``newer_than`` of a pull that must be answered with the whole document.
PULL_WHOLE = -1
#: Differences kept for peers: a peer that missed more takes the document.
KEPT_COUNT = 128
KEPT_BYTES = 64 * 1024

_log = part_logger(LogPart.CONFIG)


class ConfigHolder:
    """The adopted document of this process and the last differences.

    :param context: blackboard and counters.
    """

    def __init__(self, context: ControlContext) -> None:
        self.tables = tables_of(Config())
        self._context = context
        self._envelope = StoredConfig(generation=0, change_id='', author='')
        self._whole: bytes = b''
        self._whole_bytes = 0
        self._kept: deque[tuple[Difference, int]] = deque()
        self._kept_bytes = 0

    @property
    def generation(self) -> int:
        """Generation of the adopted document; 0 if there is none."""
        return self._context.blackboard.catalog.generation

    def adopt_whole(self, stored: StoredConfig, text: bytes) -> None:
        """Adopt a whole document if it is newer than the adopted one.

        :param stored: envelope; its differences apply to ``text``.
        :param text: JSON text of the configuration.
        :raises StoreError: if the document is malformed.
        :raises DifferenceError: if a difference is.
        """
        if stored.generation <= self.generation:
            return
        first = stored.base.generation if stored.base else stored.generation
        later = [
            difference
            for difference in stored.differences
            if difference.generation > first
        ]
        tables, _ = apply_all(parse_tables(text), first, later)
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
            self._keep((difference,))
        else:
            self._keep(())
        self.tables = tables
        self._publish(stored, build_catalog(tables.config, stored.generation))

    def follow(
        self,
        differences: Sequence[Difference],
        *,
        is_from_store: bool = False,
    ) -> None:
        """Adopt differences that start at the adopted generation.

        Peers send what they checked themselves, and the digest tells that
        the result is the same document. A tool may have written to the store.

        :param differences: consecutive differences; those up to the adopted
            generation are passed over.
        :param is_from_store: whether the whole document is checked, too.
        :raises DifferenceError: if one is missing or gives another document
            than it did for its writer; nothing is adopted then.
        """
        news = [
            difference
            for difference in differences
            if difference.generation > self.generation
        ]
        if not news:
            return
        tables, changes = apply_all(self.tables, self.generation, news)
        if is_from_store:
            check_tables(tables)
        catalog = revise_catalog(
            self._context.blackboard.catalog,
            tables.config,
            news[-1].generation,
            changes,
        )
        self.tables = tables
        self._keep(news)
        self._publish(
            StoredConfig(
                generation=news[-1].generation,
                change_id=news[-1].change_id,
                author=news[-1].author,
            ),
            catalog,
        )
        self._context.metrics.count(Counter.CONFIG_DIFFERENCES, len(news))

    async def pull(self, address: Address) -> None:
        """Ask a peer for a newer document and adopt it.

        :param address: peer to ask; without an answer nothing changes.
        """
        with suppress(PeerError):
            document = await self._ask(address, self.generation)
            if self._take(document):
                return
            # Own state and differences do not fit together.
            self._take(await self._ask(address, PULL_WHOLE))

    def answer(self, pull: Pull) -> Document:
        """Make the answer to a pull.

        :param pull: request of a peer.
        :returns: differences if they are all kept and smaller than the
            document, else the document; no body if the peer has it already.
        """
        kind, body = PULL_CONFIG, b''
        if self.generation > pull.newer_than and self.generation:
            body = self._differences_since(pull.newer_than)
            kind = PULL_DIFFERENCES if body else PULL_CONFIG
            body = body or self._whole_document()
        return Document(kind=kind, version=self.generation, body=body)

    def reject(self, error: Exception) -> None:
        """Count and log a document that cannot be adopted.

        :param error: what is wrong with it.
        """
        if isinstance(error, OlderConfigError):
            self._context.metrics.count(Counter.CONFIG_REJECTED_OLDER)
        else:
            self._context.metrics.count_code(ResultCode.BAD_CONFIGURATION)
        _log.error('document not adopted: %s', error)

    async def _ask(self, address: Address, newer_than: int) -> Document | None:
        pull = Pull(kind=PULL_CONFIG, newer_than=newer_than)
        document = await self._context.call(address, pull, PULL_TIMEOUT_S)
        return document if isinstance(document, Document) else None

    def _take(self, document: Document | None) -> bool:
        """Adopt an answer; false if the whole document must be asked for."""
        if document is None or not document.body:
            return True
        if document.kind == PULL_DIFFERENCES:
            return self._take_differences(document.body)
        try:
            stored = decode_whole(document.body)
            self.adopt_whole(stored, stored.config_text())
        except (StoreError, DifferenceError) as error:
            self.reject(error)
        return True

    def _take_differences(self, body: bytes) -> bool:
        try:
            self.follow(decode_differences(body))
        except DifferenceError as error:
            self._context.metrics.count(Counter.CONFIG_MISMATCH)
            _log.warning('differences not adopted: %s', error)
            return False
        return True

    def _differences_since(self, generation: int) -> bytes:
        count = self.generation - generation
        if not 0 < count <= len(self._kept):
            return b''
        kept = list(self._kept)[-count:]
        if sum(size for _, size in kept) >= self._whole_bytes:
            return b''
        return msgspec.json.encode([difference for difference, _ in kept])

    def _whole_document(self) -> bytes:
        if not self._whole:
            text = encode_config(self.tables.config)
            self._whole = encode_whole(
                msgspec.structs.replace(
                    self._envelope,
                    digest=self.tables.digest,
                    config=msgspec.Raw(text),
                ),
            )
            self._whole_bytes = len(self._whole)
        return self._whole

    def _keep(self, differences: Sequence[Difference]) -> None:
        """Keep differences for peers; none at all after a gap."""
        if not differences:
            self._kept.clear()
            self._kept_bytes = 0
            return
        for difference in differences:
            size = len(msgspec.json.encode(difference))
            self._kept.append((difference, size))
            self._kept_bytes += size
        while len(self._kept) > KEPT_COUNT or self._kept_bytes > KEPT_BYTES:
            self._kept_bytes -= self._kept.popleft()[1]

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
        self._whole = b''
        if not self._whole_bytes:
            # The size of one packed document is a good estimate for later
            # ones, which then are packed only when a peer needs them.
            self._whole_document()
        self._context.metrics.count(Counter.CONFIG_ADOPTED)
        blackboard.publish()
        _log.info('adopted generation %s', stored.generation)
