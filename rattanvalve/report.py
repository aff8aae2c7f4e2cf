"""Tables and measures of a run."""

import statistics
from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from rattanvalve.client_records import CallRecord, ProgramRecord, RunRecord
from rattanvalve.history_check import Verdict
from rattanvalve.ratelimit_oracle import count_wrongful_refusals
from rattanvalve.standin_batch import EngineCosts

__all__ = (
    'Measures',
    'format_table',
    'measure',
    'percentile',
    'program_table',
    'slowdown',
    'verdict_table',
)

_MEDIAN = 50
_HIGH_PERCENTILE = 95


@dataclass(frozen=True, slots=True, kw_only=True)
class Measures:
    """The measures of a run; latencies in seconds from the intended start.

    ``wasted_cache_share`` is the share of reusable prompt tokens that were
    computed again. ``worst_slowdown`` is that of the workspace with the
    largest median slowdown.
    """

    program_count: int
    completed_count: int
    latency_p50_s: float
    latency_p95_s: float
    wasted_cache_share: float
    worst_workspace: str
    worst_slowdown: float
    wrongful_refusal_count: int


def percentile(numbers: Sequence[float], percent: int) -> float:
    """Give a percentile with linear interpolation.

    :param numbers: samples in any order.
    :param percent: 1 to 99.
    :returns: percentile; 0 without samples.
    """
    if len(numbers) < 2:
        return numbers[0] if numbers else 0
    cuts = statistics.quantiles(numbers, n=100, method='inclusive')
    return cuts[percent - 1]


def slowdown(program: ProgramRecord, costs: EngineCosts) -> float:
    """Compare the latency of a program with that of running alone.

    :param program: completed program.
    :param costs: cost parameters of the engines.
    :returns: factor; 1 for a program that nothing delayed.
    """
    alone_s = program.pause_s
    reusable_tokens = 0
    for call in program.calls:
        new_tokens = max(call.prompt_tokens - reusable_tokens, 0)
        step_s = costs.step_base_s + costs.step_per_request_s
        alone_s += costs.prefill_per_token_s * new_tokens
        alone_s += step_s * call.output_tokens
        reusable_tokens = call.prompt_tokens or reusable_tokens
    return program.latency_s() / alone_s if alone_s else 1


def measure(run: RunRecord, costs: EngineCosts) -> Measures:
    """Compute the measures of a run.

    :param run: records of the clients.
    :param costs: cost parameters of the engines.
    :returns: measures; latencies are those of completed programs.
    """
    completed = [
        program
        for program in run.programs
        if program.outcome == 'completed' and not program.parent
    ]
    latencies = [program.latency_s() for program in completed]
    worst = _worst_served(completed, costs)
    return Measures(
        program_count=sum(not program.parent for program in run.programs),
        completed_count=len(completed),
        latency_p50_s=percentile(latencies, _MEDIAN),
        latency_p95_s=percentile(latencies, _HIGH_PERCENTILE),
        wasted_cache_share=_wasted_cache_share(run.programs),
        worst_workspace=worst[1],
        worst_slowdown=worst[0],
        wrongful_refusal_count=count_wrongful_refusals(run),
    )


def program_table(programs: Iterable[ProgramRecord]) -> str:
    """List what each program got.

    :param programs: records.
    :returns: table with one line for each program.
    """
    header = ('program', 'workspace', 'turns', 'retries', 'latency', 'outcome')
    rows = [
        (
            program.name,
            program.workspace,
            str(sum(call.is_answered for call in program.calls)),
            str(program.retry_count()),
            f'{program.latency_s():.2f} s',
            program.outcome,
        )
        for program in programs
    ]
    return format_table(header, sorted(rows))


def verdict_table(verdicts: Iterable[Verdict]) -> str:
    """List the verdicts of the history check.

    :param verdicts: verdicts.
    :returns: table; the first violation of each check is shown.
    """
    rows = [
        (
            verdict.name,
            'VIOLATED' if verdict.violations else 'holds',
            str(len(verdict.violations)),
            next(iter(verdict.violations), ''),
        )
        for verdict in verdicts
    ]
    return format_table(('check', 'verdict', 'count', 'first'), rows)


def format_table(
    header: Sequence[str],
    rows: Sequence[Sequence[str]],
) -> str:
    """Align columns.

    :param header: column titles.
    :param rows: texts, as many in each row as there are titles.
    :returns: lines of text.
    """
    lines = [header, *rows]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    return '\n'.join(
        '  '.join(
            text.ljust(width) for text, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )


def _worst_served(
    programs: list[ProgramRecord],
    costs: EngineCosts,
) -> tuple[float, str]:
    slowdowns: dict[str, list[float]] = defaultdict(list)
    for program in programs:
        slowdowns[program.workspace].append(slowdown(program, costs))
    return max(
        (
            (statistics.median(numbers), workspace)
            for workspace, numbers in slowdowns.items()
        ),
        default=(0, ''),
    )


def _wasted_cache_share(programs: Iterable[ProgramRecord]) -> float:
    reusable_tokens = 0
    wasted_tokens = 0
    for program in programs:
        chats = [call for call in program.calls if _is_answered_chat(call)]
        known_tokens = 0
        for call in chats:
            reusable_tokens += known_tokens
            wasted_tokens += max(known_tokens - call.cached_tokens, 0)
            known_tokens = call.prompt_tokens
    return wasted_tokens / reusable_tokens if reusable_tokens else 0


def _is_answered_chat(call: CallRecord) -> bool:
    return call.kind == 'chat' and call.is_answered
