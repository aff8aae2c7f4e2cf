"""Measures of a run: latency, waste, fairness and refusals."""

import statistics
from collections import Counter as CountTable
from collections import defaultdict
from collections.abc import Iterable, Iterator, Sequence
from collections.abc import Set as AbstractSet
from dataclasses import dataclass, field
from itertools import pairwise

from rattanvalve.cacheholds import cache_key_of
from rattanvalve.client_records import (
    Attempt,
    CallRecord,
    ProgramRecord,
    RunRecord,
)
from rattanvalve.ratelimit_oracle import count_wrongful_refusals
from rattanvalve.resultcodes import ResultCode
from rattanvalve.standins.journal import JournalLine
from rattanvalve.uncontended_times import RunCosts, UncontendedTimes

__all__ = ('Measures', 'ended_cache_s', 'measure', 'percentile')

_P50 = 50
_P95 = 95
_P99 = 99
_NO_NAMES: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True, kw_only=True)
class Measures:
    """The measures of a run.

    Latencies of programs are in seconds from the intended start.

    ``wasted_cache_share`` is the share of reusable prompt tokens that were
    computed again. ``ended_cache_s`` is the mean time for which engines held
    the cache of a program after its end. ``within_rate_p95_s`` covers only
    programs of workspaces that never exceeded their rate, because the others
    wait for the rate limit under every policy. ``worst_slowdown`` is the
    largest median slowdown of a workspace that never exceeded its rate, and
    ``worst_workspace`` the name of that workspace;
    ``worst_slowdown_of_all`` is the largest of any workspace.
    ``priority_p95_ratio`` is the p95 latency of high-priority programs
    divided by the p95 of their uncontended durations. ``call_p50_s`` is the
    median duration of the last attempt of answered chat calls.
    ``outcomes`` counts attempts by their result.
    """

    program_count: int
    completed_count: int
    latency_p50_s: float
    latency_p95_s: float
    latency_p99_s: float
    within_rate_p95_s: float
    first_token_p95_s: float
    token_gap_p95_s: float
    call_p50_s: float
    wasted_cache_share: float
    ended_cache_s: float = 0
    worst_workspace: str
    worst_slowdown: float
    worst_slowdown_of_all: float
    priority_p95_ratio: float
    wrongful_refusal_count: int
    outcomes: dict[str, int] = field(default_factory=dict)


def percentile(numbers: Sequence[float], percent: int) -> float:
    """Compute a percentile with linear interpolation.

    :param numbers: samples in any order.
    :param percent: 1 to 99.
    :returns: percentile; the sample itself if there is one, 0 if there is
        none.
    """
    if len(numbers) < 2:
        return numbers[0] if numbers else 0
    cuts = statistics.quantiles(numbers, n=100, method='inclusive')
    return cuts[percent - 1]


def measure(
    run: RunRecord,
    costs: RunCosts,
    high_priority: AbstractSet[str] = _NO_NAMES,
    journals: Iterable[JournalLine] = (),
) -> Measures:
    """Compute the measures of a run.

    :param run: records of the clients.
    :param costs: durations of calls without contention.
    :param high_priority: names of the workspaces with high priority.
    :param journals: lines of the servers' journals, for ``ended_cache_s``.
    :returns: measures; program latencies cover completed programs, without
        sub-agents.
    """
    roots = [program for program in run.programs if not program.parent]
    completed = [program for program in roots if program.outcome == 'completed']
    latencies = [program.latency_s() for program in completed]
    uncontended = UncontendedTimes(run.programs, costs)
    within_rate = [
        program
        for program in completed
        if program.workspace not in _workspaces_over_rate(run)
    ]
    chats = list(_answered_chats(run.programs))
    return Measures(
        program_count=len(roots),
        completed_count=len(completed),
        latency_p50_s=percentile(latencies, _P50),
        latency_p95_s=percentile(latencies, _P95),
        latency_p99_s=percentile(latencies, _P99),
        within_rate_p95_s=percentile(
            [program.latency_s() for program in within_rate],
            _P95,
        ),
        first_token_p95_s=percentile(_first_token_s(chats), _P95),
        token_gap_p95_s=percentile(_token_gaps_s(chats), _P95),
        call_p50_s=percentile(
            [call.attempts[-1].duration_s() for call in chats],
            _P50,
        ),
        wasted_cache_share=_wasted_cache_share(run.programs),
        ended_cache_s=ended_cache_s(run, journals),
        worst_workspace=_worst_median_slowdown(within_rate, uncontended)[1],
        worst_slowdown=_worst_median_slowdown(within_rate, uncontended)[0],
        worst_slowdown_of_all=_worst_median_slowdown(completed, uncontended)[0],
        priority_p95_ratio=_p95_ratio(
            [
                program
                for program in completed
                if program.workspace in high_priority
            ],
            uncontended,
        ),
        wrongful_refusal_count=count_wrongful_refusals(run),
        outcomes=_count_outcomes(run),
    )


def ended_cache_s(run: RunRecord, journals: Iterable[JournalLine]) -> float:
    """Compute how long engines held caches of programs that had ended.

    :param run: records of the clients.
    :param journals: lines of the servers' journals.
    :returns: mean seconds per program, over all programs; 0 if there is none.
    """
    ended = {
        cache_key_of(program.workspace, program.name): program.ended_s
        for program in run.programs
    }
    held_s = sum(
        max(line.time_s - ended[line.cache_key], 0)
        for line in journals
        if line.event == 'release' and line.cache_key in ended
    )
    return held_s / len(ended) if ended else 0


def _p95_ratio(
    programs: list[ProgramRecord],
    uncontended: UncontendedTimes,
) -> float:
    uncontended_s = percentile(
        [uncontended.duration_s(program) for program in programs],
        _P95,
    )
    latency_s = percentile(
        [program.latency_s() for program in programs],
        _P95,
    )
    return latency_s / uncontended_s if uncontended_s else 0


def _attempts(
    programs: Iterable[ProgramRecord],
) -> Iterator[tuple[ProgramRecord, Attempt]]:
    for program in programs:
        for call in program.calls:
            for attempt in call.attempts:
                yield program, attempt


def _workspaces_over_rate(run: RunRecord) -> set[str]:
    return {
        program.workspace
        for program, attempt in _attempts(run.programs)
        if attempt.code == ResultCode.RATE_EXCEEDED
    }


def _worst_median_slowdown(
    programs: list[ProgramRecord],
    uncontended: UncontendedTimes,
) -> tuple[float, str]:
    slowdowns: dict[str, list[float]] = defaultdict(list)
    for program in programs:
        slowdowns[program.workspace].append(uncontended.slowdown(program))
    return max(
        (
            (statistics.median(factors), workspace)
            for workspace, factors in slowdowns.items()
        ),
        default=(0, ''),
    )


def _first_token_s(chats: list[CallRecord]) -> list[float]:
    return [
        call.first_token_s - call.attempts[0].started_s
        for call in chats
        if call.is_stream and call.first_token_s
    ]


def _token_gaps_s(chats: list[CallRecord]) -> list[float]:
    return [
        later - earlier
        for call in chats
        for earlier, later in pairwise(call.token_times_s)
    ]


def _count_outcomes(run: RunRecord) -> dict[str, int]:
    counts = CountTable(
        attempt.result_name() for _, attempt in _attempts(run.programs)
    )
    return dict(sorted(counts.items()))


def _wasted_cache_share(programs: Iterable[ProgramRecord]) -> float:
    reusable_tokens = 0
    wasted_tokens = 0
    for program in programs:
        previous_prompt_tokens = 0
        for call in _answered_chats([program]):
            reusable_tokens += previous_prompt_tokens
            wasted_tokens += max(previous_prompt_tokens - call.cached_tokens, 0)
            previous_prompt_tokens = call.prompt_tokens
    return wasted_tokens / reusable_tokens if reusable_tokens else 0


def _answered_chats(programs: Iterable[ProgramRecord]) -> Iterator[CallRecord]:
    for program in programs:
        for call in program.calls:
            if call.kind == 'chat' and call.is_answered:
                yield call
