"""Decides which requests are to blame for the crashes of endpoints.

An endpoint that crashes takes all requests with it that it runs. The one that
caused it is found by the crashes that no other request explains.
"""

from collections import defaultdict
from collections.abc import Collection, Iterable, Mapping, Sequence
from dataclasses import dataclass

from rattanvalve.turn_messages import RequestCrash

__all__ = (
    'BLOCK_ROUNDS',
    'BLOCK_S',
    'Blame',
    'Block',
    'CrashRecord',
    'count_rounds',
    'decide_blame',
)

#: Number of crashes, one after the other, after which a request is blocked.
BLOCK_ROUNDS = 3
#: The same for a request that always ran beside another suspect. Its part in
#: the crashes cannot be told from that one's, but they have to end.
BLOCK_ROUNDS_UNSURE = 6
#: Number of crashes from which on a request runs apart from others like it.
ISOLATED_ROUNDS = 2
#: Time after the newest crash for which a request stays blocked. Afterwards it
#: may run again, as the servers may have been fixed; one more crash renews the
#: block.
BLOCK_S = 600.0
#: The same for a request whose part in the crashes is not certain. It then runs
#: again, apart from other suspects.
BLOCK_UNSURE_S = 3.0
#: Number of crashes that only one request explains, from which on it is certain
#: that it causes them.
CERTAIN_CRASHES = 2


@dataclass(slots=True)
class CrashRecord:
    """Crash of one endpoint; times are monotonic, in seconds."""

    report: RequestCrash
    sent_s: float
    crashed_s: float
    is_cleared: bool


@dataclass(frozen=True, slots=True)
class Block:
    """Block of a request until a monotonic time in seconds.

    One that is not certain is short, as the request may only have run beside
    the one that crashes servers.
    """

    until_s: float
    is_certain: bool


@dataclass(frozen=True, slots=True)
class Blame:
    """Blocks by fingerprint, and the requests that run apart.

    ``isolated`` are those with several crashes that no block explains, those
    with most crashes first.
    """

    blocks: Mapping[str, Block]
    isolated: tuple[str, ...]


_Suspects = dict[str, list[CrashRecord]]


def decide_blame(suspects: _Suspects, settled: Collection[str] = ()) -> Blame:
    """Find the requests that explain the crashes.

    A crash that is explained by one request does not count against those that
    ran beside it.

    :param suspects: records of each request, without cleared ones.
    :param settled: requests that are to blame already.
    :returns: blocks and requests that run apart.
    """
    suspects = dict(suspects)
    culprits = {
        fingerprint: True for fingerprint in settled if suspects[fingerprint]
    }
    blocks = {}
    while culprits := culprits or _find_culprits(suspects):
        blocks.update(_build_blocks(suspects, culprits))
        suspects = _without_explained(suspects, culprits)
        culprits = {}
    unsure = dict.fromkeys(_rounds_of_candidates(suspects), False)
    blocks.update(_build_blocks(suspects, unsure))
    return Blame(blocks, _list_isolated(suspects))


def count_rounds(records: Iterable[CrashRecord]) -> int:
    """Count crashes of which each request was sent after the one before.

    Endpoints that crash at the same moment probably have a common cause, such
    as the loss of a rack, so a request that ran at several of them counts once.

    :param records: crashes of one request.
    :returns: number of crashes, one after the other.
    """
    count = 0
    last_s = float('-inf')
    for record in sorted(records, key=lambda known: known.crashed_s):
        if record.sent_s >= last_s:
            count += 1
            last_s = record.crashed_s
    return count


def _find_culprits(suspects: _Suspects) -> dict[str, bool]:
    """Find the requests that explain crashes better than all others.

    Those without which a crash has no explanation come first, then those that
    ran at more crashes than any other request beside them.

    :param suspects: unexplained records of each request.
    :returns: whether it is certain, for each request that is to blame.
    """
    rounds = _rounds_of_candidates(suspects)
    rounds_at = _rounds_by_endpoint(suspects, rounds)
    exclusive, dominant = {}, {}
    for suspect, own in rounds.items():
        beside = [rounds_at[name] for name in _endpoints(suspects[suspect])]
        is_repeated = own >= BLOCK_ROUNDS_UNSURE
        dominant_count = sum(_is_unique_max(own, counts) for counts in beside)
        is_certain = is_repeated or dominant_count >= CERTAIN_CRASHES
        if dominant_count:
            dominant[suspect] = is_certain
        if is_repeated or any(len(counts) == 1 for counts in beside):
            exclusive[suspect] = is_certain
    return exclusive or dominant


def _rounds_by_endpoint(
    suspects: _Suspects, rounds: Mapping[str, int]
) -> dict[str, list[int]]:
    """Collect the counts of the candidates that ran at each endpoint."""
    rounds_at = defaultdict(list)
    for fingerprint, count in rounds.items():
        for endpoint in _endpoints(suspects[fingerprint]):
            rounds_at[endpoint].append(count)
    return rounds_at


def _is_unique_max(own: int, counts: Sequence[int]) -> bool:
    return sum(count >= own for count in counts) == 1


def _rounds_of_candidates(suspects: _Suspects) -> dict[str, int]:
    """Count the crashes of the requests that have enough for a block."""
    rounds = _count_all_rounds(suspects)
    return {
        fingerprint: count
        for fingerprint, count in rounds.items()
        if count >= BLOCK_ROUNDS
    }


def _count_all_rounds(suspects: _Suspects) -> dict[str, int]:
    return {
        fingerprint: count_rounds(records)
        for fingerprint, records in suspects.items()
    }


def _build_blocks(
    suspects: _Suspects, culprits: Mapping[str, bool]
) -> dict[str, Block]:
    blocks = {}
    for fingerprint, is_certain in culprits.items():
        newest_s = max(record.crashed_s for record in suspects[fingerprint])
        duration_s = BLOCK_S if is_certain else BLOCK_UNSURE_S
        blocks[fingerprint] = Block(newest_s + duration_s, is_certain)
    return blocks


def _without_explained(
    suspects: _Suspects, culprits: Collection[str]
) -> _Suspects:
    """Drop the culprits and the crashes that they explain."""
    explained: set[str] = set()
    for culprit in culprits:
        explained.update(_endpoints(suspects[culprit]))
    return {
        fingerprint: [
            record
            for record in records
            if record.report.endpoint not in explained
        ]
        for fingerprint, records in suspects.items()
        if fingerprint not in culprits
    }


def _list_isolated(suspects: _Suspects) -> tuple[str, ...]:
    rounds = _count_all_rounds(suspects)
    isolated = [
        fingerprint
        for fingerprint, count in rounds.items()
        if count >= ISOLATED_ROUNDS
    ]
    return tuple(sorted(isolated, key=lambda known: (-rounds[known], known)))


def _endpoints(records: Iterable[CrashRecord]) -> list[str]:
    return [record.report.endpoint for record in records]
