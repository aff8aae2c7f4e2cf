"""Check that no workspace was admitted above its rate and burst."""

from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass

from rattanvalve.client_records import CallRecord, RateInForce, RunRecord
from rattanvalve.history_journal import ServerRun

__all__ = ('Admission', 'find_rate_excess', 'sent_s')

#: A changed rule may take this long to take effect everywhere.
CONFIG_DELAY_S = 15.0
#: Rounding of sums of floating-point times.
_TOLERANCE_COUNT = 0.001


@dataclass(frozen=True, slots=True)
class Admission:
    """An admission that took place between two times.

    The client sent the request at ``earliest_s``, and a server started it at
    ``latest_s``. Queueing lies between, so the time of the admission itself
    is not known.
    """

    earliest_s: float
    latest_s: float


def find_rate_excess(
    run: RunRecord,
    runs: dict[str, list[ServerRun]],
) -> Iterator[str]:
    """Find windows with more admissions than rate and burst permit.

    A window counts only admissions that lie in it with certainty, so a
    finding is never caused by queueing.

    :param run: records of the clients, with the rates in force.
    :param runs: runs of each call, by identity.
    :returns: one line for each workspace that exceeds its rate.
    """
    admissions: dict[str, list[Admission]] = defaultdict(list)
    for program in run.programs:
        for call in program.calls:
            admissions[program.workspace].extend(
                _admissions_of(call, runs.get(call.identity, [])),
            )
    for workspace, found in admissions.items():
        rates = sorted(
            (rate for rate in run.rates if rate.workspace == workspace),
            key=_from_s,
        )
        if rates:
            yield from _first_excess(workspace, found, rates)


def _admissions_of(
    call: CallRecord,
    runs: list[ServerRun],
) -> set[Admission]:
    # Several runs of one attempt are placements of a single admission; the
    # first run of each attempt is kept.
    first_runs: dict[float, float] = {}
    for run in runs:
        first_runs.setdefault(sent_s(call, run), run.started_s)
    return {Admission(*pair) for pair in first_runs.items()}


def sent_s(call: CallRecord, run: ServerRun) -> float:
    """Give the time at which the attempt that caused a run was sent.

    :param call: call with its attempts.
    :param run: run of the call.
    :returns: monotonic time in seconds; the earliest one if it is not certain
        which attempt the run belongs to.
    """
    found_s = run.started_s
    for attempt in reversed(call.attempts):
        if attempt.started_s > run.started_s:
            continue
        # A run may belong to an earlier attempt that got no response.
        if found_s == run.started_s or not attempt.status:
            found_s = attempt.started_s
    return found_s


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
    in_force = [rate for rate in rates if oldest_s < rate.from_s <= end_s]
    before = [rate for rate in rates if rate.from_s <= oldest_s]
    in_force.extend(before[-1:])
    if not in_force:
        in_force = rates[:1]
    burst = max(rate.burst for rate in in_force)
    rate_per_s = max(rate.rate_per_s for rate in in_force)
    return burst + rate_per_s * (end_s - begin_s)


def _from_s(rate: RateInForce) -> float:
    return rate.from_s


def _latest_s(admission: Admission) -> float:
    return admission.latest_s
