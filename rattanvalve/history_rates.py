"""Checks that admissions of each workspace stay within rate and burst."""

from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass

from rattanvalve.client_records import CallRecord, RateInForce, RunRecord
from rattanvalve.history_journal import ServerRun

__all__ = ('Admission', 'attempt_sent_s', 'find_rate_excess')

#: Longest time until a changed rate applies in all entry processes.
CONFIG_DELAY_S = 15.0
#: Tolerance for rounding errors of floating-point times.
_TOLERANCE_COUNT = 0.001


@dataclass(frozen=True, slots=True)
class Admission:
    """Bounds of the time at which a request was admitted.

    The client sent the request at ``earliest_s``, and a server started it at
    ``latest_s``. The request may have been queued in between, so the exact
    time of the admission is unknown. Both times are monotonic, in seconds.
    """

    earliest_s: float
    latest_s: float


def find_rate_excess(
    run: RunRecord,
    runs: dict[str, list[ServerRun]],
) -> Iterator[str]:
    """Find windows with more admissions than rate and burst permit.

    A window counts only admissions whose bounds both lie in it, so queueing
    causes no false positives.

    :param run: records of the clients, with the history of the rates.
    :param runs: runs on servers by the identity of their call.
    :returns: one line for each workspace that exceeds its rate.
    """
    admissions: dict[str, list[Admission]] = defaultdict(list)
    for program in run.programs:
        for call in program.calls:
            admissions[program.workspace].extend(
                _call_admissions(call, runs.get(call.identity, [])),
            )
    for workspace, workspace_admissions in admissions.items():
        rates = sorted(
            (rate for rate in run.rates if rate.workspace == workspace),
            key=_from_s,
        )
        if rates:
            yield from _first_excess(workspace, workspace_admissions, rates)


def _call_admissions(
    call: CallRecord,
    runs: list[ServerRun],
) -> set[Admission]:
    # An attempt is admitted once, but may be placed and run several times;
    # only its first run counts.
    first_runs: dict[float, float] = {}
    for run in runs:
        first_runs.setdefault(attempt_sent_s(call, run), run.started_s)
    return {Admission(*pair) for pair in first_runs.items()}


def attempt_sent_s(call: CallRecord, run: ServerRun) -> float:
    """Return the time at which the attempt that caused a run was sent.

    :param call: call with its attempts.
    :param run: run of the call on a server.
    :returns: monotonic time in seconds; the earliest possible one if several
        attempts may have caused the run, and the start of the run if no
        attempt precedes it.
    """
    candidate_s = run.started_s
    for attempt in reversed(call.attempts):
        if attempt.started_s > run.started_s:
            continue
        # An earlier attempt without a response may have caused the run, too.
        if candidate_s == run.started_s or not attempt.status:
            candidate_s = attempt.started_s
    return candidate_s


def _first_excess(
    workspace: str,
    admissions: list[Admission],
    rates: list[RateInForce],
) -> Iterator[str]:
    by_end = sorted(admissions, key=_latest_s)
    for begin_s in sorted({entry.earliest_s for entry in admissions}):
        count = 0
        for entry in by_end:
            if entry.earliest_s < begin_s:
                continue
            count += 1
            allowed = _allowed_count(rates, begin_s, entry.latest_s)
            if count > allowed + _TOLERANCE_COUNT:
                yield (
                    f'{workspace}: {count} admissions within '
                    f'{entry.latest_s - begin_s:.2f} s, allowed {allowed:.1f}'
                )
                return


def _allowed_count(
    rates: list[RateInForce],
    begin_s: float,
    end_s: float,
) -> float:
    oldest_s = begin_s - CONFIG_DELAY_S
    effective = [rate for rate in rates if oldest_s < rate.from_s <= end_s]
    earlier = [rate for rate in rates if rate.from_s <= oldest_s]
    effective.extend(earlier[-1:])
    if not effective:
        effective = rates[:1]
    burst = max(rate.burst for rate in effective)
    rate_per_s = max(rate.rate_per_s for rate in effective)
    return burst + rate_per_s * (end_s - begin_s)


def _from_s(rate: RateInForce) -> float:
    return rate.from_s


def _latest_s(admission: Admission) -> float:
    return admission.latest_s
