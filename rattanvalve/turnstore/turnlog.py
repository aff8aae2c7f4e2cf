"""Records of one store: the log on disk together with its index."""

import time
from collections.abc import Sequence
from dataclasses import replace

from rattanvalve.errors import FrameError
from rattanvalve.logs import LogPart, part_logger
from rattanvalve.turn_messages import LedgerEntry, TurnRecord
from rattanvalve.turnstore.disklog import DiskLog
from rattanvalve.turnstore.recordindex import RecordIndex
from rattanvalve.turnstore.turnrecords import (
    LoggedMessage,
    LogRecord,
    decode_record,
    encode_record,
    record_key,
    turn_key,
)

__all__ = ('TurnLog',)

#: Size of the records in one answer, far below that of the largest frame. A
#: record that is larger is sent alone.
ANSWER_BYTES = 4 * 1024 * 1024

_log = part_logger(LogPart.TURNS)


class TurnLog:
    """Stores records durably and looks them up.

    :param log: log on disk; the constructor replays it into the index.
    """

    def __init__(self, log: DiskLog) -> None:
        self.index = RecordIndex()
        self._log = log
        for location, encoded in log.replay():
            try:
                self.index.merge(decode_record(encoded), location)
            except FrameError as error:
                # The checksum matches, so another version wrote this record.
                _log.error(
                    'unreadable record skipped', extra={'error': str(error)}
                )

    async def store(self, message: LoggedMessage) -> None:
        """Store a new message, dated now; return once it is synced.

        :param message: message to store; a stored one is not written again.
        :raises OSError: if writing fails.
        """
        # Records outlast the epoch in which they were written.
        message = replace(message, epoch=0)
        await self._append(LogRecord(int(time.time() * 1000), message))

    async def store_replica(self, encoded: bytes) -> None:
        """Store a record pulled from a peer, keeping its original time.

        :param encoded: record as encoded in the peer's log.
        :raises FrameError: if the record is malformed.
        :raises OSError: if writing fails.
        """
        await self._append(decode_record(encoded))

    def ledger_entries(self, program_id: str) -> tuple[LedgerEntry, ...]:
        """List the token counts of a program.

        :param program_id: id of the program.
        :returns: an entry for each turn; empty if the program is unknown.
        """
        return self.index.ledger_entries(program_id)

    def turn_chain(self, turn_id: str) -> tuple[TurnRecord, ...]:
        """Read a turn and its predecessors.

        :param turn_id: id of the newest turn.
        :returns: newest first; ends at the first turn that is not indexed, and
            before one that does not fit into ``ANSWER_BYTES``.
        :raises OSError: if reading fails.
        """
        entries = self.index.turns.find_chain(turn_id)
        lengths = [entry.location.length for entry in entries]
        return tuple(
            decode_record(self._log.read(entry.location)).message
            for entry in entries[: _fitting_count(lengths)]
        )

    def read_records(
        self, keys: Sequence[str]
    ) -> tuple[tuple[bytes, ...], int]:
        """Read as many encoded records as fit into ``ANSWER_BYTES``.

        :param keys: keys of records; unknown ones are skipped.
        :returns: records as encoded in the log, and the number of keys that
            they cover; one record at least, however large it is.
        :raises OSError: if reading fails.
        """
        locations = self.index.find_locations(keys)
        lengths = [found.length if found else 0 for found in locations]
        count = _fitting_count(lengths)
        records = tuple(map(self._log.read, filter(None, locations[:count])))
        return records, count

    def missing_keys(self) -> list[str]:
        """List records of turns that are missing in the stored chains.

        :returns: keys of the records; empty if all chains are whole.
        """
        return list(map(turn_key, self.index.turns.missing_ids))

    def sweep(self, now_s: float) -> None:
        """Remove expired records, and delete segments without live records.

        :param now_s: Unix time in seconds.
        """
        self._log.drop_segments(self.index.sweep(now_s))

    def close(self) -> None:
        """Close the log; no method may be called afterwards."""
        self._log.close()

    async def _append(self, record: LogRecord) -> None:
        if record_key(record.message) in self.index:
            return
        location = await self._log.append(encode_record(record))
        self.index.merge(record, location)


def _fitting_count(lengths: Sequence[int]) -> int:
    """Count the first records that fit into one answer, at least one."""
    total = 0
    for count, length in enumerate(lengths):
        total += length
        if total > ANSWER_BYTES:
            return max(count, 1)
    return len(lengths)
