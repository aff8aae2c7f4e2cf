"""Logs documents whose last confirmation is older than their bound."""

import asyncio
import time
from collections.abc import Sequence

from rattanvalve.counters import Counter, Metrics
from rattanvalve.logs import LogPart, part_logger
from rattanvalve.sharedstate.documents import DocumentBoard, DocumentKind
from rattanvalve.sharedstate.staleness import StalenessBounds

__all__ = ('StalenessMonitor',)

CHECK_INTERVAL_S = 0.1

_log = part_logger(LogPart.CONFIG)


class StalenessMonitor:
    """Reports when a document gets out of date and when it is confirmed again.

    :param board: documents of this process.
    :param bounds: bounds on their age.
    :param metrics: counters.
    :param kinds: kinds of documents to check.
    """

    def __init__(
        self,
        board: DocumentBoard,
        bounds: StalenessBounds,
        metrics: Metrics,
        kinds: Sequence[DocumentKind],
    ) -> None:
        self._board = board
        self._bounds = bounds
        self._metrics = metrics
        self._kinds = kinds
        #: Monotonic time in seconds of the last confirmation of each document
        #: that is out of date.
        self._stale_since_s: dict[DocumentKind, float] = {}

    async def run(self) -> None:
        """Check all documents periodically until cancelled."""
        while True:
            self.check(time.monotonic())
            await asyncio.sleep(CHECK_INTERVAL_S)

    def check(self, now_s: float) -> None:
        """Log the documents that got out of date or were confirmed again.

        A document that was never confirmed is not reported.

        :param now_s: monotonic time in seconds.
        """
        for kind in self._kinds:
            confirmed_s = self._board.confirmed_s(kind)
            age_s = now_s - confirmed_s
            is_stale = self._bounds.bound_s(kind) < age_s < float('inf')
            if is_stale and kind not in self._stale_since_s:
                self._stale_since_s[kind] = confirmed_s
                self._report_stale(kind, age_s)
            elif not is_stale and kind in self._stale_since_s:
                self._report_confirmed(kind, now_s)

    def _report_stale(self, kind: DocumentKind, age_s: float) -> None:
        self._metrics.count(Counter.DOCUMENT_STALE)
        _log.warning(
            'document out of date',
            extra={
                'kind': str(kind),
                'version': self._board.newest(kind).version,
                'age_ms': round(age_s * 1000),
                'bound_ms': round(self._bounds.bound_s(kind) * 1000),
            },
        )

    def _report_confirmed(self, kind: DocumentKind, now_s: float) -> None:
        since_s = self._stale_since_s.pop(kind)
        _log.info(
            'document confirmed again',
            extra={
                'kind': str(kind),
                'version': self._board.newest(kind).version,
                'unconfirmed_ms': round((now_s - since_s) * 1000),
            },
        )
