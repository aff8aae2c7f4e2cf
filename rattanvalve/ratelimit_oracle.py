"""Reference rate limiter that finds refusals of requests within the rate."""

from collections import defaultdict

from rattanvalve.client_records import Attempt, RunRecord
from rattanvalve.resultcodes import ResultCode

__all__ = ('count_wrongful_refusals',)

_UNAUTHORIZED = 401
#: Refusals caused by load or rate. Other result codes, for example that of an
#: unknown key, do not depend on the rate and are not counted.
_LOAD_REFUSALS = frozenset(
    (
        ResultCode.RATE_EXCEEDED,
        ResultCode.QUEUE_FULL,
        ResultCode.TIMEOUT_QUEUED,
        ResultCode.NO_ENDPOINT,
        ResultCode.OWNER_UNAVAILABLE,
        ResultCode.NOT_CONFIRMED,
        ResultCode.STOPPING,
    ),
)


def count_wrongful_refusals(run: RunRecord) -> int:
    """Count refusals of requests that were within their workspace's rate.

    An ideal token bucket per workspace processes all attempts in the order in
    which clients sent them. A refusal is wrongful if the bucket holds a token
    for the refused attempt.

    :param run: records of the clients, with the history of the rates.
    :returns: number of wrongful refusals.
    """
    attempts: dict[str, list[Attempt]] = defaultdict(list)
    for program in run.programs:
        for call in program.calls:
            attempts[program.workspace].extend(
                attempt
                for attempt in call.attempts
                if attempt.status != _UNAUTHORIZED
            )
    return sum(
        _count_in_workspace(run, workspace, workspace_attempts)
        for workspace, workspace_attempts in attempts.items()
    )


def _count_in_workspace(
    run: RunRecord,
    workspace: str,
    attempts: list[Attempt],
) -> int:
    rates = [rate for rate in run.rates if rate.workspace == workspace]
    if not rates:
        return 0
    wrongful_count = 0
    level = float(rates[0].burst)
    last_s = rates[0].from_s
    for attempt in sorted(attempts, key=_start_time_s):
        rate = [
            entry
            for entry in rates
            if entry.from_s <= attempt.started_s or entry is rates[0]
        ][-1]
        elapsed_s = max(attempt.started_s - last_s, 0)
        level = min(level + elapsed_s * rate.rate_per_s, rate.burst)
        last_s = attempt.started_s
        if attempt.code in _LOAD_REFUSALS:
            wrongful_count += level >= 1
        else:
            level = max(level - 1, 0)
    return wrongful_count


def _start_time_s(attempt: Attempt) -> float:
    return attempt.started_s
