"""Index of one store's records: turns, ledgers, and the order of arrival."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from rattanvalve.turn_messages import (
    LedgerEntry,
    RecordKey,
    Reserve,
    TurnRecord,
)
from rattanvalve.turnstore.disklog import Location
from rattanvalve.turnstore.turnrecords import LogRecord, key_of

__all__ = ('RecordIndex', 'TurnPlace')


@dataclass(slots=True)
class TurnPlace:
    """Where a turn lies, what it continues, and until when it is kept."""

    location: Location
    previous_id: str
    expires_s: float


@dataclass(slots=True)
class _Ledger:
    entries: dict[str, LedgerEntry] = field(default_factory=dict)
    expires_s: float = 0


@dataclass(slots=True)
class _Listed:
    location: Location
    position: int
    expires_s: float
    program_id: str


class RecordIndex:
    """What is known of each record; merging a record twice changes nothing."""

    def __init__(self) -> None:
        self.turns: dict[str, TurnPlace] = {}
        self._ledgers: dict[str, _Ledger] = {}
        self._records: dict[str, _Listed] = {}
        #: Keys by position; the first one has the position ``_first``.
        self._order: list[str] = []
        self._first = 0

    def __contains__(self, key: str) -> bool:
        """Return whether a record is known.

        :param key: key of the record.
        :returns: whether it was merged and not swept.
        """
        return key in self._records

    def __len__(self) -> int:
        """Count the records.

        :returns: number of records.
        """
        return len(self._records)

    def merge(self, record: LogRecord, location: Location) -> None:
        """Take in a record that is on disk.

        :param record: the record.
        :param location: where it lies.
        """
        key = key_of(record.message)
        if key in self._records:
            return
        message = record.message
        expires_s = record.expires_s()
        self._records[key] = _Listed(
            location,
            self._first + len(self._order),
            expires_s,
            message.program_id,
        )
        self._order.append(key)
        self._merge_tokens(message, expires_s)
        if isinstance(message, TurnRecord):
            self.turns[message.turn_id] = TurnPlace(
                location,
                message.previous_id,
                expires_s,
            )
            self._keep_chain(message.previous_id, expires_s)

    def ledger_of(self, program_id: str) -> tuple[LedgerEntry, ...]:
        """List the tokens of a program.

        :param program_id: program.
        :returns: an entry for each turn.
        """
        ledger = self._ledgers.get(program_id)
        return tuple(ledger.entries.values()) if ledger else ()

    def chain_of(self, turn_id: str) -> list[TurnPlace]:
        """Find a turn and those that it continues.

        :param turn_id: newest turn.
        :returns: newest first, as far as they are known.
        """
        places = []
        while turn_id:
            place = self.turns.get(turn_id)
            if place is None:
                break
            places.append(place)
            turn_id = place.previous_id
        return places

    def listed_after(
        self,
        after: int,
        count: int,
    ) -> tuple[int, list[RecordKey]]:
        """List records in the order of their arrival.

        :param after: position from which to list.
        :param count: most keys to list.
        :returns: position after the last one, and the keys.
        """
        start = max(after - self._first, 0)
        keys = self._order[start : start + count]
        listed = [
            RecordKey(key=key, program_id=self._records[key].program_id)
            for key in keys
            if key in self._records
        ]
        return self._first + start + len(keys), listed

    def end(self) -> int:
        """Give the position after the newest record.

        :returns: position.
        """
        return self._first + len(self._order)

    def locations_of(self, keys: Iterable[str]) -> list[Location]:
        """Find records.

        :param keys: keys of records.
        :returns: where those lie that are known.
        """
        found = map(self._records.get, keys)
        return [listed.location for listed in found if listed]

    def sweep(self, now_s: float) -> set[int]:
        """Forget what is no longer kept.

        :param now_s: Unix time in seconds.
        :returns: segments that are still needed.
        """
        self.turns = {
            turn_id: place
            for turn_id, place in self.turns.items()
            if place.expires_s > now_s
        }
        self._ledgers = {
            program_id: ledger
            for program_id, ledger in self._ledgers.items()
            if ledger.expires_s > now_s
        }
        self._records = {
            key: listed
            for key, listed in self._records.items()
            if self._is_kept(key, listed, now_s)
        }
        self._forget_positions()
        return {listed.location.segment for listed in self._records.values()}

    def _is_kept(self, key: str, listed: _Listed, now_s: float) -> bool:
        if key.startswith('t:'):
            return key[2:] in self.turns
        return listed.expires_s > now_s or listed.program_id in self._ledgers

    def _forget_positions(self) -> None:
        count = 0
        for key in self._order:
            if key in self._records:
                break
            count += 1
        self._order = self._order[count:]
        self._first += count

    def _merge_tokens(self, message, expires_s: float) -> None:
        ledger = self._ledgers.setdefault(message.program_id, _Ledger())
        ledger.expires_s = max(ledger.expires_s, expires_s)
        known = ledger.entries.get(message.turn_id)
        is_settled = not isinstance(message, Reserve)
        # A settled count replaces a reservation and is never replaced by one.
        if known is None or (is_settled and not known.is_settled):
            ledger.entries[message.turn_id] = LedgerEntry(
                turn_id=message.turn_id,
                tokens=message.tokens,
                is_settled=is_settled,
            )

    def _keep_chain(self, turn_id: str, expires_s: float) -> None:
        """Keep the turns that a turn continues as long as the turn."""
        while turn_id:
            place = self.turns.get(turn_id)
            if place is None or place.expires_s >= expires_s:
                return
            place.expires_s = expires_s
            turn_id = place.previous_id
