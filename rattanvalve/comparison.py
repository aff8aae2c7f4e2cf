"""Compares the measures of policies that ran in turn."""

import statistics
from collections import Counter as CountTable
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from itertools import groupby

import msgspec

from rattanvalve.measures import Measures
from rattanvalve.report import format_table

__all__ = (
    'RATIO_NAMES',
    'MeasuredRun',
    'comparison_json',
    'comparison_table',
    'in_turn',
    'ratios_of',
)

#: Measures that are compared with the first policy, in this order.
RATIO_NAMES = (
    'latency_p50_s',
    'latency_p95_s',
    'latency_p99_s',
    'within_rate_p95_s',
    'first_token_p95_s',
    'token_gap_p95_s',
    'call_p50_s',
    'wasted_cache_share',
    'ended_cache_s',
    'worst_slowdown',
    'worst_slowdown_of_all',
    'priority_p95_ratio',
)


@dataclass(frozen=True, slots=True, kw_only=True)
class MeasuredRun:
    """One run; ``is_good`` tells whether the history check found nothing."""

    policy: str
    seed: int
    measures: Measures
    is_good: bool


def in_turn(
    policies: Sequence[str],
    seed: int,
    round_count: int,
) -> list[tuple[str, int]]:
    """Order the runs of a comparison.

    Every round has its own seed, and every other round runs the policies in
    reverse, so that a drift of the machine favours none.

    :param policies: names of the policies.
    :param seed: seed of the first round.
    :param round_count: number of rounds.
    :returns: policy and seed of each run.
    """
    orders = (tuple(policies), tuple(reversed(policies)))
    return [
        (policy, seed + index)
        for index in range(round_count)
        for policy in orders[index % 2]
    ]


def ratios_of(
    runs: Sequence[MeasuredRun],
    policy: str,
    name: str,
) -> list[float]:
    """Compare a measure of a policy with that of the first policy.

    :param runs: all runs.
    :param policy: name of the policy.
    :param name: name of a measure.
    :returns: ratio for each seed at which the first policy's is not 0.
    """
    first = {
        run.seed: getattr(run.measures, name)
        for run in runs
        if run.policy == runs[0].policy
    }
    return [
        getattr(run.measures, name) / first[run.seed]
        for run in runs
        if run.policy == policy and first.get(run.seed)
    ]


def comparison_table(runs: Sequence[MeasuredRun]) -> str:
    """List the measures of each policy and their ratios to the first one.

    :param runs: all runs.
    :returns: table; medians over the seeds, ratios with their spread.
    """
    policies = list(dict.fromkeys(run.policy for run in runs))
    rows = [
        [name, *(_cell(runs, policy, name) for policy in policies)]
        for name in RATIO_NAMES
    ]
    for title, describe in _TEXT_ROWS:
        rows.append(
            [title, *(describe(_of(runs, policy)) for policy in policies)],
        )
    return format_table(['measure', *policies], rows)


def comparison_json(scenario: str, runs: Sequence[MeasuredRun]) -> bytes:
    """Encode all runs and the ratios.

    :param scenario: name of the scenario.
    :param runs: all runs.
    :returns: JSON document.
    """
    policies = list(dict.fromkeys(run.policy for run in runs))
    ratios = {
        policy: {name: ratios_of(runs, policy, name) for name in RATIO_NAMES}
        for policy in policies
    }
    return msgspec.json.format(
        msgspec.json.encode(
            {'scenario': scenario, 'runs': list(runs), 'ratios': ratios},
        ),
    )


def _of(runs: Sequence[MeasuredRun], policy: str) -> list[MeasuredRun]:
    return [run for run in runs if run.policy == policy]


def _cell(runs: Sequence[MeasuredRun], policy: str, name: str) -> str:
    median = statistics.median(
        getattr(run.measures, name) for run in _of(runs, policy)
    )
    ratios = ratios_of(runs, policy, name)
    if not ratios:
        return f'{median:.3f}'
    middle = statistics.median(ratios)
    return (
        f'{median:.3f}  {middle:.2f} ({min(ratios):.2f} to {max(ratios):.2f})'
    )


def _completed(runs: list[MeasuredRun]) -> str:
    completed_count = sum(run.measures.completed_count for run in runs)
    program_count = sum(run.measures.program_count for run in runs)
    return f'{completed_count}/{program_count}'


def _worst_names(runs: list[MeasuredRun]) -> str:
    names = sorted(run.measures.worst_workspace for run in runs)
    return ', '.join(
        f'{name} {len(list(group))}' for name, group in groupby(names)
    )


def _refusals(runs: list[MeasuredRun]) -> str:
    return str(sum(run.measures.wrongful_refusal_count for run in runs))


def _outcomes(runs: list[MeasuredRun]) -> str:
    totals: CountTable[str] = CountTable()
    for run in runs:
        totals.update(run.measures.outcomes)
    return ', '.join(
        f'{name} {count}' for name, count in sorted(totals.items())
    )


def _violations(runs: list[MeasuredRun]) -> str:
    return str(sum(not run.is_good for run in runs))


_TEXT_ROWS: tuple[tuple[str, Callable[[list[MeasuredRun]], str]], ...] = (
    ('completed', _completed),
    ('worst-served', _worst_names),
    ('wrongful refusals', _refusals),
    ('attempts', _outcomes),
    ('runs with violations', _violations),
)
