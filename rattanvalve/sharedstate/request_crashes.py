"""Crashes of endpoints by the requests that they ran, known to all processes.

A record names a request by its fingerprint and one incarnation of an endpoint
that crashed while it ran the request. Records are only added and marked as
cleared. Processes that merge each other's records in any order therefore agree,
no process owns the count, and a record that comes twice counts once.
"""

from collections.abc import Iterable

from rattanvalve.sharedstate.blame_doubts import BlameDoubts
from rattanvalve.sharedstate.crash_blame import (
    BLOCK_ROUNDS,
    Blame,
    Block,
    CrashRecord,
    count_rounds,
    decide_blame,
)
from rattanvalve.sharedstate.crash_records import CrashRecords
from rattanvalve.sharedstate.settled_blame import SETTLE_S, settled_requests
from rattanvalve.turn_messages import RequestCrash

__all__ = ('CrashTable',)

#: Time for which an incarnation that has crashed gets no requests. Its entry is
#: gone afterwards; an endpoint that has started again is another incarnation.
DOWN_MAX_S = 10.0


class CrashTable:
    """Records of crashes and the requests that are to blame for them."""

    def __init__(self) -> None:
        self._records = CrashRecords()
        self._blame = Blame({}, ())
        self._doubts = BlameDoubts()

    @property
    def digest(self) -> int:
        """Return a digest of all records.

        :returns: number that is equal in processes that know the same.
        """
        return self._records.digest

    @property
    def isolated(self) -> tuple[str, ...]:
        """Return the requests that run apart.

        :returns: fingerprints, those with most crashes first.
        """
        return self._blame.isolated

    def is_empty(self) -> bool:
        """Return whether there is no record at all.

        :returns: whether no request is suspected.
        """
        return not self._records

    def block(self, fingerprint: str, now_s: float) -> Block | None:
        """Return the block of a request that must not be sent to any endpoint.

        :param fingerprint: fingerprint of the request.
        :param now_s: monotonic time in seconds.
        :returns: the block; ``None`` if the request may be sent.
        """
        block = self._blame.blocks.get(fingerprint) or self._doubts.block(
            fingerprint
        )
        if block is None or now_s >= block.until_s:
            return None
        return block

    def has_crashed(self, endpoint: str, now_s: float) -> bool:
        """Return whether an incarnation of an endpoint has just crashed.

        :param endpoint: key of the incarnation.
        :param now_s: monotonic time in seconds.
        :returns: whether no connection to it can succeed.
        """
        crashed_s = self._records.crashed_s.get(endpoint)
        return crashed_s is not None and now_s - crashed_s < DOWN_MAX_S

    def is_settled(self, fingerprint: str, now_s: float) -> bool:
        """Return whether it is certain if a request is to blame.

        :param fingerprint: fingerprint of the request.
        :param now_s: monotonic time in seconds.
        :returns: false for a short time after it may have crashed an endpoint
            often enough for a block.
        """
        records = self._records.uncleared(fingerprint)
        if count_rounds(records) < BLOCK_ROUNDS:
            return True
        newest_s = max(record.crashed_s for record in records)
        return now_s - newest_s >= SETTLE_S

    def is_suspect(self, fingerprint: str) -> bool:
        """Return whether a request ran at an endpoint that crashed.

        :param fingerprint: fingerprint of the request.
        :returns: whether it has no whole response since.
        """
        return bool(self._records.uncleared(fingerprint))

    def blamed(self) -> frozenset[str]:
        """Return the requests that certainly are to blame for crashes.

        :returns: their fingerprints.
        """
        return frozenset(
            fingerprint
            for fingerprint, block in self._blame.blocks.items()
            if block.is_certain
        )

    def crashes_of(self, fingerprint: str) -> list[RequestCrash]:
        """List the crashes that count against a request.

        :param fingerprint: fingerprint of the request.
        :returns: reports without the cleared ones, oldest first.
        """
        records = self._records.uncleared(fingerprint)
        records.sort(key=lambda record: record.crashed_s)
        return [record.report for record in records]

    def merge(
        self, reports: Iterable[RequestCrash], now_s: float
    ) -> list[RequestCrash]:
        """Add records.

        :param reports: records with their ages.
        :param now_s: monotonic time in seconds.
        :returns: the reports that were new, or cleared a known record.
        """
        changed = [
            report for report in reports if self._records.add(report, now_s)
        ]
        if changed:
            self._update_blame(now_s)
        return changed

    def clear(self, fingerprint: str, now_s: float) -> list[RequestCrash]:
        """Mark the records of a request as not caused by it.

        :param fingerprint: fingerprint of the request.
        :param now_s: monotonic time in seconds.
        :returns: reports of the records that were not cleared before.
        """
        cleared = self._records.uncleared(fingerprint)
        for known in cleared:
            self._records.mark_cleared(known)
        if cleared:
            self._update_blame(now_s)
        return [_report(record, now_s) for record in cleared]

    def reports(self, now_s: float) -> tuple[RequestCrash, ...]:
        """Build the messages about all records.

        :param now_s: monotonic time in seconds.
        :returns: all records with their ages.
        """
        return tuple(_report(known, now_s) for known in self._records)

    def expire(self, now_s: float) -> None:
        """Drop old records.

        :param now_s: monotonic time in seconds.
        """
        if self._records.expire(now_s):
            self._update_blame(now_s)

    def _update_blame(self, now_s: float) -> None:
        suspects = self._records.suspects()
        settled = settled_requests(self._blame, suspects, now_s)
        blame = decide_blame(suspects, settled)
        self._doubts.update(suspects, self.blamed(), blame, now_s)
        relapsed = self._doubts.relapsed(suspects, blame)
        if relapsed:
            blame = decide_blame(suspects, settled | relapsed)
        self._blame = blame


def _report(record: CrashRecord, now_s: float) -> RequestCrash:
    report = record.report
    return RequestCrash(
        fingerprint=report.fingerprint,
        endpoint=report.endpoint,
        workspace=report.workspace,
        path=report.path,
        run_ms=report.run_ms,
        crash_age_ms=int((now_s - record.crashed_s) * 1000),
        is_cleared=record.is_cleared,
    )
