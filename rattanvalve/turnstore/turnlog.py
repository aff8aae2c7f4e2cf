"""The records of one store: log, index and what callers of it may ask."""

import time
from collections.abc import Iterable

from rattanvalve.errors import FrameError
from rattanvalve.logs import LogPart, part_logger
from rattanvalve.turn_messages import LedgerEntry, TurnRecord
from rattanvalve.turnstore.disklog import DiskLog
from rattanvalve.turnstore.recordindex import RecordIndex
from rattanvalve.turnstore.turnrecords import (
    LogRecord,
    Stored,
    decode_record,
    encode_record,
    key_of,
)

__all__ = ('TurnLog',)

_log = part_logger(LogPart.TURNS)


class TurnLog:
    """Appends records and finds them again.

    :param log: log on disk; it is replayed here.
    """

    def __init__(self, log: DiskLog) -> None:
        self.index = RecordIndex()
        self._log = log
        for location, encoded in log.replay():
            try:
                self.index.merge(decode_record(encoded), location)
            except FrameError as error:
                # The checksum held, so another version wrote this record.
                _log.error('record passed over', extra={'error': str(error)})

    async def store(self, message: Stored) -> None:
        """Store a message that arrives now; return once it is on disk.

        :param message: what to store.
        :raises OSError: if the disk fails.
        """
        await self._append(LogRecord(int(time.time() * 1000), message))

    async def take_over(self, encoded: bytes) -> None:
        """Store a record of a peer.

        :param encoded: record as it lies in the peer's log.
        :raises FrameError: if it is malformed.
        :raises OSError: if the disk fails.
        """
        await self._append(decode_record(encoded))

    def ledger_of(self, program_id: str) -> tuple[LedgerEntry, ...]:
        """List the tokens of a program.

        :param program_id: program.
        :returns: an entry for each turn.
        """
        return self.index.ledger_of(program_id)

    def chain_of(self, turn_id: str) -> tuple[TurnRecord, ...]:
        """Read a turn and those that it continues.

        :param turn_id: newest turn.
        :returns: newest first, as far as they are known.
        :raises OSError: if the disk fails.
        """
        return tuple(
            decode_record(self._log.read(place.location)).message
            for place in self.index.chain_of(turn_id)
        )

    def read_records(self, keys: Iterable[str]) -> tuple[bytes, ...]:
        """Read records as they lie in the log.

        :param keys: keys of records.
        :returns: those that are known.
        :raises OSError: if the disk fails.
        """
        return tuple(map(self._log.read, self.index.locations_of(keys)))

    def sweep(self, now_s: float) -> None:
        """Forget what is no longer kept, and delete its segments.

        :param now_s: Unix time in seconds.
        """
        self._log.drop_segments(self.index.sweep(now_s))

    def close(self) -> None:
        """Close the log."""
        self._log.close()

    async def _append(self, record: LogRecord) -> None:
        if key_of(record.message) in self.index:
            return
        location = await self._log.append(encode_record(record))
        self.index.merge(record, location)
