"""Append-only log on disk with checksummed records and group commit.

Each start opens a new segment, so that no record is appended after one that a
power loss left incomplete. A record is durable once its batch is synced.
"""

import asyncio
import os
import struct
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path
from zlib import crc32

from rattanvalve.turnstore.durablefiles import sync_folder

__all__ = ('DiskLog', 'Location')

_HEADER = struct.Struct('>II')
_SUFFIX = '.log'
#: Disk space is reclaimed by whole segments, so a segment is small compared
#: with the disk.
SEGMENT_BYTES = 8 * 1024 * 1024
MAX_RECORD_BYTES = 32 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class Location:
    """Position of a record: segment number, offset and length in bytes."""

    segment: int
    offset: int
    length: int


class DiskLog:
    """Log segments in one folder; a single thread writes and syncs them.

    :param folder: folder of the segments; created if it does not exist.
    """

    def __init__(self, folder: Path) -> None:
        folder.mkdir(parents=True, exist_ok=True)
        sync_folder(folder.parent)
        self._folder = folder
        self._executor = ThreadPoolExecutor(1, 'disklog')
        self._files: dict[int, int] = {}
        self._pending: list[tuple[bytes, asyncio.Future[Location]]] = []
        self._writing: asyncio.Task | None = None
        self._segment = 0
        self._offset = 0

    def replay(self) -> Iterator[tuple[Location, bytes]]:
        """Read all intact records, then open a new segment for writing.

        The iterator must be exhausted before the first append.

        :returns: iterator over locations and records, oldest first.
        """
        names = sorted(self._folder.glob(f'*{_SUFFIX}'))
        for path in names:
            number = int(path.stem)
            self._files[number] = os.open(path, os.O_RDONLY)
            yield from _read_segment(number, path.read_bytes())
        last = max(self._files, default=0)
        self._open_segment(last + 1)

    async def append(self, record: bytes) -> Location:
        """Append a record and wait until it is synced.

        Records that arrive during a write are written in the next batch.

        :param record: content of the record.
        :returns: location of the record.
        :raises OSError: if writing or syncing fails.
        """
        done = asyncio.get_running_loop().create_future()
        self._pending.append((record, done))
        if self._writing is None or self._writing.done():
            self._writing = asyncio.create_task(self._write_pending())
        return await done

    def read(self, location: Location) -> bytes:
        """Read the content of a record.

        :param location: location of the record.
        :returns: content of the record.
        :raises OSError: if its segment was deleted or cannot be read.
        """
        descriptor = self._files.get(location.segment)
        if descriptor is None:
            raise FileNotFoundError(f'segment {location.segment} is deleted')
        return os.pread(descriptor, location.length, location.offset)

    def drop_segments(self, used: set[int]) -> None:
        """Delete all segments but the used ones and the one being written.

        :param used: numbers of the segments to keep.
        """
        for number in tuple(self._files):
            if number in used or number == self._segment:
                continue
            os.close(self._files.pop(number))
            self._segment_path(number).unlink(missing_ok=True)

    def close(self) -> None:
        """Stop the writer thread and close all segment files."""
        self._executor.shutdown()
        for descriptor in self._files.values():
            os.close(descriptor)
        self._files.clear()

    async def _write_pending(self) -> None:
        loop = asyncio.get_running_loop()
        while self._pending:
            batch = self._pending
            self._pending = []
            records = [record for record, _ in batch]
            try:
                locations = await loop.run_in_executor(
                    self._executor,
                    self._write_batch,
                    records,
                )
            except OSError as error:
                _fail(batch, error)
            else:
                _resolve(batch, locations)

    def _write_batch(self, records: list[bytes]) -> list[Location]:
        if self._offset > SEGMENT_BYTES:
            self._open_segment(self._segment + 1)
        parts = []
        locations = []
        offset = self._offset
        for record in records:
            header = _HEADER.pack(len(record), crc32(record))
            locations.append(
                Location(self._segment, offset + _HEADER.size, len(record)),
            )
            parts.extend((header, record))
            offset += _HEADER.size + len(record)
        descriptor = self._files[self._segment]
        _write_all(descriptor, b''.join(parts), self._offset)
        self._offset = offset
        os.fdatasync(descriptor)
        return locations

    def _open_segment(self, number: int) -> None:
        flags = os.O_RDWR | os.O_CREAT | os.O_TRUNC
        descriptor = os.open(self._segment_path(number), flags)
        os.fsync(descriptor)
        sync_folder(self._folder)
        self._files[number] = descriptor
        self._segment = number
        self._offset = 0

    def _segment_path(self, number: int) -> Path:
        return self._folder / f'{number:08d}{_SUFFIX}'


def _read_segment(number: int, body: bytes) -> Iterator[tuple[Location, bytes]]:
    offset = 0
    while offset + _HEADER.size <= len(body):
        length, checksum = _HEADER.unpack_from(body, offset)
        start = offset + _HEADER.size
        record = body[start : start + length]
        # Data after an incomplete record was never acknowledged.
        is_torn = length > MAX_RECORD_BYTES or len(record) < length
        if is_torn or not length or crc32(record) != checksum:
            return
        yield Location(number, start, length), record
        offset = start + length


def _write_all(descriptor: int, body: bytes, offset: int) -> None:
    view = memoryview(body)
    while view:
        written = os.pwrite(descriptor, view, offset)
        view = view[written:]
        offset += written


def _fail(
    batch: list[tuple[bytes, asyncio.Future[Location]]],
    error: OSError,
) -> None:
    for _, done in batch:
        if not done.done():
            done.set_exception(error)


def _resolve(
    batch: list[tuple[bytes, asyncio.Future[Location]]],
    locations: list[Location],
) -> None:
    for (_, done), location in zip(batch, locations, strict=True):
        if not done.done():
            done.set_result(location)
