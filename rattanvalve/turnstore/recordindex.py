"""In-memory index of one store's records: turns, ledgers, arrival order."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from rattanvalve.turn_messages import (
    LedgerEntry,
    RecordKey,
    Reserve,
    TurnRecord,
)
from rattanvalve.turnstore.disklog import Location
from rattanvalve.turnstore.turnchains import TurnChains
from rattanvalve.turnstore.turnrecords import (
    TURN_KEY_PREFIX,
    LogRecord,
    record_key,
)

__all__ = ('RecordIndex',)


@dataclass(slots=True)
class _Ledger:
    entries: dict[str, LedgerEntry] = field(default_factory=dict)
    expires_s: float = 0


@dataclass(slots=True)
class _RecordEntry:
    location: Location
    position: int
    expires_s: float
    program_id: str


class RecordIndex:
    """Index of the records in the log; merging a record is idempotent."""

    def __init__(self) -> None:
        self.turns = TurnChains()
        self._ledgers: dict[str, _Ledger] = {}
        self._records: dict[str, _RecordEntry] = {}
        #: Keys in arrival order; the first has position ``_first_position``.
        self._order: list[str] = []
        self._first_position = 0

    def __contains__(self, key: str) -> bool:
        """Return whether a record is indexed.

        :param key: key of the record.
        :returns: whether it was merged and has not been swept.
        """
        return key in self._records

    def __len__(self) -> int:
        """Return the number of records.

        :returns: indexed records, without swept ones.
        """
        return len(self._records)

    def merge(self, record: LogRecord, location: Location) -> None:
        """Add a record that is on disk.

        :param record: the record; one whose key is indexed is ignored.
        :param location: location in the log.
        """
        key = record_key(record.message)
        if key in self._records:
            return
        message = record.message
        expires_s = record.expires_s()
        self._records[key] = _RecordEntry(
            location,
            self._first_position + len(self._order),
            expires_s,
            message.program_id,
        )
        self._order.append(key)
        self._merge_tokens(message, expires_s)
        if isinstance(message, TurnRecord):
            self.turns.add(
                message.turn_id, message.previous_id, location, expires_s
            )

    def ledger_entries(self, program_id: str) -> tuple[LedgerEntry, ...]:
        """List the token counts of a program.

        :param program_id: id of the program.
        :returns: an entry for each turn; empty if the program is unknown.
        """
        ledger = self._ledgers.get(program_id)
        return tuple(ledger.entries.values()) if ledger else ()

    def list_after(
        self,
        after: int,
        count: int,
    ) -> tuple[int, list[RecordKey]]:
        """List records in arrival order.

        :param after: position of the first record to list.
        :param count: maximum number of keys.
        :returns: position after the last listed record, and the keys.
        """
        start = max(after - self._first_position, 0)
        keys = self._order[start : start + count]
        listed = [
            RecordKey(key=key, program_id=self._records[key].program_id)
            for key in keys
            if key in self._records
        ]
        return self._first_position + start + len(keys), listed

    def end_position(self) -> int:
        """Return the position after the newest record.

        :returns: position that the next merged record gets.
        """
        return self._first_position + len(self._order)

    def find_locations(self, keys: Iterable[str]) -> list[Location | None]:
        """Find the locations of records in the log.

        :param keys: keys of records.
        :returns: locations in the order of the keys, ``None`` for an unknown
            one.
        """
        found = map(self._records.get, keys)
        return [entry.location if entry else None for entry in found]

    def sweep(self, now_s: float) -> set[int]:
        """Remove expired turns, ledgers and records.

        :param now_s: Unix time in seconds.
        :returns: numbers of the segments that still hold indexed records.
        """
        self.turns.sweep(now_s)
        self._ledgers = {
            program_id: ledger
            for program_id, ledger in self._ledgers.items()
            if ledger.expires_s > now_s
        }
        self._records = {
            key: entry
            for key, entry in self._records.items()
            if self._is_retained(key, entry, now_s)
        }
        self._trim_order()
        return {entry.location.segment for entry in self._records.values()}

    def _is_retained(self, key: str, entry: _RecordEntry, now_s: float) -> bool:
        if key.startswith(TURN_KEY_PREFIX):
            return key.removeprefix(TURN_KEY_PREFIX) in self.turns
        return entry.expires_s > now_s or entry.program_id in self._ledgers

    def _trim_order(self) -> None:
        count = 0
        for key in self._order:
            if key in self._records:
                break
            count += 1
        self._order = self._order[count:]
        self._first_position += count

    def _merge_tokens(self, message, expires_s: float) -> None:
        ledger = self._ledgers.setdefault(message.program_id, _Ledger())
        ledger.expires_s = max(ledger.expires_s, expires_s)
        known = ledger.entries.get(message.turn_id)
        is_settled = not isinstance(message, Reserve)
        # A settled count replaces a reservation, never the reverse.
        if known is None or (is_settled and not known.is_settled):
            ledger.entries[message.turn_id] = LedgerEntry(
                turn_id=message.turn_id,
                tokens=message.tokens,
                is_settled=is_settled,
            )
