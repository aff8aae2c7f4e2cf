"""Oracle of the load tool: which refusals were within the rate."""

from collections import defaultdict

from rattanvalve.client_records import Attempt, RunRecord
from rattanvalve.resultcodes import ResultCode

__all__ = ('count_wrongful_refusals',)

_UNAUTHORIZED = 401
#: Refusals that depend on load or rate. The others, such as unknown keys,
#: have nothing to do with the rate.
_REFUSALS = frozenset(
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
    """Count refusals of requests that were within the workspace's rate.

    An ideal bucket of each workspace sees all attempts in the order in which
    clients sent them. A refused attempt for which it has a token was refused
    wrongfully.

    :param run: records of the clients, with the rates in force.
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
        _count_in_workspace(run, workspace, found)
        for workspace, found in attempts.items()
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
    for attempt in sorted(attempts, key=_start_of):
        rate = [
            entry
            for entry in rates
            if entry.from_s <= attempt.started_s or entry is rates[0]
        ][-1]
        passed_s = max(attempt.started_s - last_s, 0)
        level = min(level + passed_s * rate.rate_per_s, rate.burst)
        last_s = attempt.started_s
        if attempt.code in _REFUSALS:
            wrongful_count += level >= 1
        else:
            level = max(level - 1, 0)
    return wrongful_count


def _start_of(attempt: Attempt) -> float:
    return attempt.started_s
