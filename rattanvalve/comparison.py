"""Compares the measures of policies whose runs were interleaved."""

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
    'interleaved_runs',
    'policy_ratios',
)

#: Numeric measures in the order in which tables and plots show them.
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
    """Measures of one run.

    ``is_good`` is true if the history check found no violation.
    """

    policy: str
    seed: int
    measures: Measures
    is_good: bool


def interleaved_runs(
    policies: Sequence[str],
    seed: int,
    round_count: int,
) -> list[tuple[str, int]]:
    """Return the order in which the runs of a comparison take place.

    Each round has its own seed. Every second round runs the policies in
    reverse order, so that a gradual change of the machine's speed affects all
    policies alike.

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


def policy_ratios(
    runs: Sequence[MeasuredRun],
    policy: str,
    name: str,
) -> list[float]:
    """Compute the ratios of a policy's measure to that of the first policy.

    :param runs: all runs; that of the first policy comes first.
    :param policy: name of the policy.
    :param name: name of a numeric measure.
    :returns: one ratio per run of the policy, to the first policy's run with
        the same seed; runs are left out if that measure is 0 there.
    """
    baselines = {
        run.seed: getattr(run.measures, name)
        for run in runs
        if run.policy == runs[0].policy
    }
    return [
        getattr(run.measures, name) / baselines[run.seed]
        for run in runs
        if run.policy == policy and baselines.get(run.seed)
    ]


def comparison_table(runs: Sequence[MeasuredRun]) -> str:
    """Format the measures of each policy and their ratios to the first policy.

    :param runs: all runs; that of the first policy comes first.
    :returns: table with a column per policy: the median over its runs, then
        the median of the ratios with their minimum and maximum.
    """
    policies = list(dict.fromkeys(run.policy for run in runs))
    rows = [
        [name, *(_format_cell(runs, policy, name) for policy in policies)]
        for name in RATIO_NAMES
    ]
    for title, describe in _TEXT_ROWS:
        rows.append(
            [
                title,
                *(
                    describe(_runs_of_policy(runs, policy))
                    for policy in policies
                ),
            ],
        )
    return format_table(['measure', *policies], rows)


def comparison_json(scenario: str, runs: Sequence[MeasuredRun]) -> bytes:
    """Encode all runs and the ratios to the first policy as JSON.

    :param scenario: name of the scenario.
    :param runs: all runs; that of the first policy comes first.
    :returns: indented JSON document.
    """
    policies = list(dict.fromkeys(run.policy for run in runs))
    ratios = {
        policy: {
            name: policy_ratios(runs, policy, name) for name in RATIO_NAMES
        }
        for policy in policies
    }
    return msgspec.json.format(
        msgspec.json.encode(
            {'scenario': scenario, 'runs': list(runs), 'ratios': ratios},
        ),
    )


def _runs_of_policy(
    runs: Sequence[MeasuredRun],
    policy: str,
) -> list[MeasuredRun]:
    return [run for run in runs if run.policy == policy]


def _format_cell(runs: Sequence[MeasuredRun], policy: str, name: str) -> str:
    median = statistics.median(
        getattr(run.measures, name) for run in _runs_of_policy(runs, policy)
    )
    ratios = policy_ratios(runs, policy, name)
    if not ratios:
        return f'{median:.3f}'
    median_ratio = statistics.median(ratios)
    return (
        f'{median:.3f}  {median_ratio:.2f} '
        f'({min(ratios):.2f} to {max(ratios):.2f})'
    )


def _format_completed(runs: list[MeasuredRun]) -> str:
    completed_count = sum(run.measures.completed_count for run in runs)
    program_count = sum(run.measures.program_count for run in runs)
    return f'{completed_count}/{program_count}'


def _format_worst_served(runs: list[MeasuredRun]) -> str:
    names = sorted(run.measures.worst_workspace for run in runs)
    return ', '.join(
        f'{name} {len(list(group))}' for name, group in groupby(names)
    )


def _format_wrongful_refusals(runs: list[MeasuredRun]) -> str:
    return str(sum(run.measures.wrongful_refusal_count for run in runs))


def _format_outcomes(runs: list[MeasuredRun]) -> str:
    totals: CountTable[str] = CountTable()
    for run in runs:
        totals.update(run.measures.outcomes)
    return ', '.join(
        f'{name} {count}' for name, count in sorted(totals.items())
    )


def _format_violating_runs(runs: list[MeasuredRun]) -> str:
    return str(sum(not run.is_good for run in runs))


_TEXT_ROWS: tuple[tuple[str, Callable[[list[MeasuredRun]], str]], ...] = (
    ('completed', _format_completed),
    ('worst-served', _format_worst_served),
    ('wrongful refusals', _format_wrongful_refusals),
    ('attempts', _format_outcomes),
    ('runs with violations', _format_violating_runs),
)
