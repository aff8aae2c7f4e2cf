"""Requests whose blame was certain until records of other requests came.

Such a request may only have run beside the one that is blamed now. If it is
released at once and is to blame after all, it crashes several more endpoints
before it is blamed again.
"""

from collections.abc import Collection, Mapping
from dataclasses import dataclass

from rattanvalve.sharedstate.crash_blame import (
    BLOCK_ROUNDS,
    BLOCK_UNSURE_S,
    Blame,
    Block,
    CrashRecord,
    count_rounds,
)

__all__ = ('BlameDoubts',)


@dataclass(frozen=True, slots=True)
class _Doubt:
    since_s: float
    block: Block


class BlameDoubts:
    """Short blocks of requests that were certainly to blame before."""

    def __init__(self) -> None:
        self._doubts: dict[str, _Doubt] = {}

    def block(self, fingerprint: str) -> Block | None:
        """Return the block of a request that is in doubt.

        :param fingerprint: fingerprint of the request.
        :returns: the block, which is not certain and may have ended.
        """
        doubt = self._doubts.get(fingerprint)
        return doubt and doubt.block

    def update(
        self,
        suspects: Mapping[str, list[CrashRecord]],
        blamed: Collection[str],
        blame: Blame,
        now_s: float,
    ) -> None:
        """Record the requests that are no longer blamed.

        :param suspects: records of each request, without cleared ones.
        :param blamed: requests that were certainly to blame.
        :param blame: the newest decision.
        :param now_s: monotonic time in seconds.
        """
        for fingerprint in blamed:
            records = suspects.get(fingerprint, ())
            is_doubted = fingerprint not in blame.blocks
            if is_doubted and count_rounds(records) >= BLOCK_ROUNDS:
                newest_s = max(record.crashed_s for record in records)
                block = Block(newest_s + BLOCK_UNSURE_S, is_certain=False)
                self._doubts[fingerprint] = _Doubt(now_s, block)
        for fingerprint in self._doubts.keys() - suspects.keys():
            self._doubts.pop(fingerprint)

    def relapsed(
        self, suspects: Mapping[str, list[CrashRecord]], blame: Blame
    ) -> set[str]:
        """Find the requests that have crashed an endpoint since the doubt.

        :param suspects: records of each request, without cleared ones.
        :param blame: the newest decision.
        :returns: those with a later crash at which no blocked request ran.
        """
        explained = {
            record.report.endpoint
            for fingerprint in blame.blocks
            for record in suspects[fingerprint]
        }
        return {
            fingerprint
            for fingerprint, doubt in self._doubts.items()
            if any(
                record.crashed_s > doubt.since_s
                and record.report.endpoint not in explained
                for record in suspects[fingerprint]
            )
        }
