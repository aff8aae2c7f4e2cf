"""Copies of the newest documents on the disk of a turn store.

After a power loss of all VMs the platform's store may be unavailable as well.
All processes then start from the documents that the turn stores saved.
"""

import asyncio
import struct
from collections.abc import Iterator
from pathlib import Path
from zlib import crc32

from rattanvalve import wire
from rattanvalve.errors import FrameError
from rattanvalve.logs import LogPart, part_logger
from rattanvalve.messages import Document
from rattanvalve.sharedstate.documents import DocumentBoard, DocumentKind
from rattanvalve.sharedstate.exchange import EXCHANGED_KINDS
from rattanvalve.turnstore.durablefiles import replace_file

__all__ = ('DocumentFiles', 'decode_document', 'encode_document')

#: Servers that register within this interval cause a single write.
SAVE_INTERVAL_S = 0.5
_SUFFIX = '.document'
_CHECKSUM = struct.Struct('>I')

_log = part_logger(LogPart.CONFIG)


class DocumentFiles:
    """Saves the newest document of each kind in a file of its own.

    :param folder: folder of the files; created if it does not exist.
    :param board: documents of this process.
    """

    def __init__(self, folder: Path, board: DocumentBoard) -> None:
        folder.mkdir(parents=True, exist_ok=True)
        self._folder = folder
        self._board = board
        self._versions: dict[DocumentKind, int] = {}

    def load(self) -> Iterator[Document]:
        """Read the saved documents; missing and damaged files are skipped.

        :returns: iterator over the documents that can be read.
        """
        for kind in EXCHANGED_KINDS:
            try:
                body = self._file_path(kind).read_bytes()
                document = decode_document(body)
            except FileNotFoundError:
                # No document of this kind was saved yet.
                continue
            except (OSError, FrameError) as error:
                _log.warning(
                    'kept document passed over',
                    extra={'kind': str(kind), 'error': str(error)},
                )
                continue
            self._versions[kind] = document.version
            yield document

    async def run(self) -> None:
        """Save new documents periodically until cancelled."""
        while True:
            await self.save()
            await asyncio.sleep(SAVE_INTERVAL_S)

    async def save(self) -> None:
        """Write the documents that are newer than their files.

        A failed write is logged and retried by the next call.
        """
        for kind in EXCHANGED_KINDS:
            document = self._board.newest(kind)
            if document.version <= self._versions.get(kind, 0):
                continue
            try:
                await asyncio.to_thread(
                    replace_file,
                    self._file_path(kind),
                    encode_document(document),
                )
            except OSError as error:
                _log.warning(
                    'document not kept',
                    extra={'kind': str(kind), 'error': str(error)},
                )
                continue
            self._versions[kind] = document.version

    def _file_path(self, kind: str) -> Path:
        return self._folder / f'{kind}{_SUFFIX}'


def encode_document(document: Document) -> bytes:
    """Encode a document for a file.

    :param document: the document.
    :returns: checksum and encoded document.
    """
    payload = wire.encode_struct(document)
    return _CHECKSUM.pack(crc32(payload)) + payload


def decode_document(body: bytes) -> Document:
    """Decode a saved document.

    The checksum guards the version: a corrupted one that is too high would
    block the adoption of newer documents.

    :param body: content of the file.
    :returns: the document.
    :raises FrameError: if the content is damaged.
    """
    payload = body[_CHECKSUM.size :]
    if body[: _CHECKSUM.size] != _CHECKSUM.pack(crc32(payload)):
        raise FrameError('document checksum mismatch')
    return wire.decode_struct(Document, payload)
