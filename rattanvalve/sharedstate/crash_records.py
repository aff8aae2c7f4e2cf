"""Store of the records of crashes, by request and crashed endpoint."""

from collections.abc import Iterator
from hashlib import blake2b

from rattanvalve.sharedstate.crash_blame import CrashRecord, count_rounds
from rattanvalve.turn_messages import RequestCrash

__all__ = ('CrashRecords',)

#: Time after a crash at which its record is dropped.
RECORD_TTL_S = 3600.0
#: Number of requests to remember; those with the fewest crashes are dropped.
FINGERPRINTS_MAX = 500
_DIGEST_BYTES = 8
#: The digest is sent as a signed integer of 64 bits.
_DIGEST_MASK = (1 << 63) - 1


class CrashRecords:
    """Records by fingerprint and by the key of the crashed incarnation.

    ``digest`` is equal in processes that have the same records.
    """

    def __init__(self) -> None:
        self.digest = 0
        #: Time of the crash of each incarnation in the records.
        self.crashed_s: dict[str, float] = {}
        self._records: dict[str, dict[str, CrashRecord]] = {}

    def __len__(self) -> int:
        """Return the number of requests with a record.

        :returns: number of fingerprints.
        """
        return len(self._records)

    def __iter__(self) -> Iterator[CrashRecord]:
        """Iterate over all records.

        :returns: records, those of one request together.
        """
        for records in self._records.values():
            yield from records.values()

    def add(self, report: RequestCrash, now_s: float) -> bool:
        """Add a record, or clear a known one.

        :param report: record with its age.
        :param now_s: monotonic time in seconds.
        :returns: whether anything has changed.
        """
        crashed_s = now_s - report.crash_age_ms / 1000
        if now_s - crashed_s > RECORD_TTL_S:
            return False
        known = self._records.get(report.fingerprint, {}).get(report.endpoint)
        if known is None:
            self._insert(report, crashed_s)
            return True
        is_news = report.is_cleared and not known.is_cleared
        if is_news:
            self.mark_cleared(known)
        return is_news

    def mark_cleared(self, record: CrashRecord) -> None:
        """Mark a record as not caused by its request.

        :param record: record of this store that is not cleared.
        """
        self.digest ^= _digest(record)
        record.is_cleared = True
        self.digest ^= _digest(record)

    def expire(self, now_s: float) -> bool:
        """Drop old records.

        :param now_s: monotonic time in seconds.
        :returns: whether there were any.
        """
        expired = [
            record for record in self if now_s - record.crashed_s > RECORD_TTL_S
        ]
        for old in expired:
            self._drop(old)
            self.crashed_s.pop(old.report.endpoint, None)
        return bool(expired)

    def uncleared(self, fingerprint: str) -> list[CrashRecord]:
        """List the records that count against a request.

        :param fingerprint: fingerprint of the request.
        :returns: records without the cleared ones.
        """
        records = self._records.get(fingerprint, {})
        return [record for record in records.values() if not record.is_cleared]

    def suspects(self) -> dict[str, list[CrashRecord]]:
        """List the records that count against each request.

        :returns: records without the cleared ones, by fingerprint.
        """
        return {
            fingerprint: self.uncleared(fingerprint)
            for fingerprint in self._records
        }

    def _insert(self, report: RequestCrash, crashed_s: float) -> None:
        fingerprint = report.fingerprint
        if len(self) >= FINGERPRINTS_MAX and fingerprint not in self._records:
            self._drop_weakest()
        record = CrashRecord(
            report=report,
            sent_s=crashed_s - report.run_ms / 1000,
            crashed_s=crashed_s,
            is_cleared=report.is_cleared,
        )
        records = self._records.setdefault(fingerprint, {})
        records[report.endpoint] = record
        self.crashed_s[report.endpoint] = crashed_s
        self.digest ^= _digest(record)

    def _drop(self, record: CrashRecord) -> None:
        self.digest ^= _digest(record)
        fingerprint = record.report.fingerprint
        records = self._records[fingerprint]
        records.pop(record.report.endpoint)
        if not records:
            self._records.pop(fingerprint)

    def _drop_weakest(self) -> None:
        def strength(fingerprint: str) -> tuple[int, float]:
            records = self._records[fingerprint].values()
            newest_s = max(record.crashed_s for record in records)
            return count_rounds(self.uncleared(fingerprint)), newest_s

        weakest = min(self._records, key=strength)
        for record in tuple(self._records[weakest].values()):
            self._drop(record)


def _digest(record: CrashRecord) -> int:
    report = record.report
    text = f'{report.fingerprint}/{report.endpoint}/{record.is_cleared}'
    digest = blake2b(text.encode(), digest_size=_DIGEST_BYTES).digest()
    return int.from_bytes(digest, 'big') & _DIGEST_MASK
