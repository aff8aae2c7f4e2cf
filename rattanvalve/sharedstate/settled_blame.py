"""Decides which blocks of requests later crashes must not end."""

from collections.abc import Mapping

from rattanvalve.sharedstate.crash_blame import (
    BLOCK_S,
    Blame,
    CrashRecord,
    decide_blame,
)

__all__ = ('SETTLE_S', 'settled_requests')

#: Time in which the records of one crash arrive from all gateways. Only with
#: all of them is it clear which request is to blame.
SETTLE_S = 0.5

_Suspects = Mapping[str, list[CrashRecord]]


def settled_requests(
    blame: Blame, suspects: _Suspects, now_s: float
) -> set[str]:
    """List the requests whose blame stands.

    Only further records of the same crashes can show that another request was
    to blame, and only while they may still arrive.

    :param blame: the former decision.
    :param suspects: records of each request, without cleared ones.
    :param now_s: monotonic time in seconds.
    :returns: fingerprints of requests that are certainly to blame.
    """
    blamed_s = {
        fingerprint: block.until_s - BLOCK_S
        for fingerprint, block in blame.blocks.items()
        if block.is_certain and fingerprint in suspects
    }
    settled = {
        fingerprint
        for fingerprint, newest_s in blamed_s.items()
        if now_s - newest_s >= SETTLE_S
    }
    for fingerprint, newest_s in blamed_s.items():
        if fingerprint in settled:
            continue
        earlier = _without_later_crashes(suspects, fingerprint, newest_s)
        block = decide_blame(earlier, settled).blocks.get(fingerprint)
        if block is not None and block.is_certain:
            settled.add(fingerprint)
    return settled


def _without_later_crashes(
    suspects: _Suspects, blamed: str, newest_s: float
) -> dict[str, list[CrashRecord]]:
    """Drop the crashes after the newest one of a request that is blamed."""
    own = {record.report.endpoint for record in suspects[blamed]}
    return {
        fingerprint: [
            record
            for record in records
            if record.report.endpoint in own or record.crashed_s <= newest_s
        ]
        for fingerprint, records in suspects.items()
    }
