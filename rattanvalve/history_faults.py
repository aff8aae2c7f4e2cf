"""Checks of guarantees that hold while processes, links and the store fail."""

from collections import Counter as CountTable
from collections.abc import Callable, Iterator
from itertools import pairwise

from rattanvalve.client_records import (
    Attempt,
    CallRecord,
    FaultRecord,
    ProgramOutcome,
    RunRecord,
)
from rattanvalve.fleet_settings import server_name
from rattanvalve.history_evidence import Evidence
from rattanvalve.history_journal import ServerRun
from rattanvalve.history_rates import attempt_sent_s
from rattanvalve.resultcodes import ResultCode

__all__ = (
    'FAULT_CHECKS',
    'last_kill_times',
    'unknown_causes',
    'withdrawal_limit_s',
)

#: Time after which a withdrawn key must have no effect.
_WITHDRAWAL_LIMIT_S = 5.0
#: The same if no fault is active and the effects of the last one have ended.
_FAULT_FREE_WITHDRAWAL_LIMIT_S = 2.0
#: Time after a fault by which its effects (expired leases, members missing
#: from the view) have ended.
_FAULT_EFFECT_S = 15.0
#: Bound of invariant I12: an endpoint process that is stopping must not run
#: calls that were sent later than this after the start of the stop.
_LEAVING_LIMIT_S = 3.0
#: Calls that may end with an unknown outcome: this share of all calls, plus
#: the fixed number below.
_MAX_UNKNOWN_SHARE = 0.05
_ALLOWED_UNKNOWN_COUNT = 3
_NO_FAULT = 'no fault'
#: Texts in a log that show an internal error of the process.
_INTERNAL_ERROR_TEXTS = ('invariant violated', 'handler failed', 'Traceback')


def last_kill_times(run: RunRecord) -> dict[str, float]:
    """Return when each killed process was last killed.

    :param run: records of a run.
    :returns: monotonic time in seconds by name of the process.
    """
    return {
        name: fault.began_s
        for fault in run.faults
        if fault.kind.startswith('kill')
        for name in fault.targets
    }


def withdrawal_limit_s(run: RunRecord, withdrawn_s: float) -> float:
    """Return the time within which the withdrawal of a key must take effect.

    The limit is shorter in a run with faults if none of them affects the
    withdrawal.

    :param run: records of a run.
    :param withdrawn_s: monotonic time at which the withdrawal was confirmed.
    :returns: seconds after the confirmation.
    """
    end_s = withdrawn_s + _FAULT_FREE_WITHDRAWAL_LIMIT_S
    if run.faults and not _unplanned_faults(run, withdrawn_s, end_s):
        return _FAULT_FREE_WITHDRAWAL_LIMIT_S
    return _WITHDRAWAL_LIMIT_S


def unknown_causes(evidence: Evidence) -> CountTable[str]:
    """Count calls with an unknown outcome by the faults that affected them.

    :param evidence: records, journals and logs of a run.
    :returns: number of calls by the kinds of faults, joined with ``+``, that
        were active or had recently ended during the call.
    """
    return CountTable(
        _unknown_cause(evidence.run, call)
        for _, call in evidence.calls()
        if _is_unknown(call)
    )


def _check_unknown(evidence: Evidence) -> Iterator[str]:
    if not evidence.run.faults:
        return
    causes = unknown_causes(evidence)
    if causes[_NO_FAULT]:
        yield (
            f'{causes[_NO_FAULT]} calls have an unknown outcome without a fault'
        )
    call_count = sum(1 for _ in evidence.calls())
    unknown_count = causes.total()
    if unknown_count > _ALLOWED_UNKNOWN_COUNT + call_count * _MAX_UNKNOWN_SHARE:
        yield (
            f'{unknown_count} of {call_count} calls have an unknown outcome: '
            f'{causes}'
        )


def _check_planned_stops(evidence: Evidence) -> Iterator[str]:
    for fault in evidence.run.faults:
        is_only = not _unplanned_faults(
            evidence.run,
            fault.began_s,
            fault.ended_s,
        )
        if fault.is_planned and is_only:
            yield from _interrupted_attempts(evidence, fault)


def _interrupted_attempts(
    evidence: Evidence,
    fault: FaultRecord,
) -> Iterator[str]:
    withdrawn = evidence.run.withdrawn_s
    for program, call in evidence.calls():
        if program.key_name in withdrawn:
            continue
        for attempt in call.attempts:
            if _is_interrupted(attempt, fault):
                yield (
                    f'{program.name}: {call.kind} to {attempt.url} failed '
                    f'{attempt.ended_s - fault.began_s:.2f} s after the '
                    f'start of {fault.kind}: {attempt.error} {attempt.code}'
                )


def _is_interrupted(attempt: Attempt, fault: FaultRecord) -> bool:
    if attempt.started_s >= fault.ended_s or attempt.ended_s <= fault.began_s:
        return False
    # No request was sent on a connection that was refused.
    is_refused = attempt.error == 'ClientConnectorError'
    is_broken = not attempt.status and not is_refused
    return is_broken or attempt.outcome == 'unknown'


def _check_generations(evidence: Evidence) -> Iterator[str]:
    newest = 0
    for entry, reports in evidence.run.generations.items():
        newest = max([newest, *(report.generation for report in reports)])
        for earlier, later in pairwise(reports):
            if later.generation < earlier.generation:
                yield (
                    f'{entry}: generation {later.generation} after '
                    f'{earlier.generation}'
                )
    for name, polls in evidence.run.generations.items():
        final = polls[-1].generation if polls else 0
        if final < newest:
            yield f'{name}: generation {final} at the end instead of {newest}'


def _check_leaving_endpoints(evidence: Evidence) -> Iterator[str]:
    windows = {
        server_name(name): stops for name, stops in evidence.run.left_s.items()
    }
    for program, call in evidence.calls():
        for run in evidence.runs.get(call.identity, ()):
            stops = windows.get(run.server, ())
            if any(
                _is_during_stop(attempt_sent_s(call, run), run, stop)
                for stop in stops
            ):
                yield f'{program.name}: new call on stopping {run.server}'


def _is_during_stop(
    sent_at_s: float,
    run: ServerRun,
    stop: tuple[float, float],
) -> bool:
    left_s, restarted_s = stop
    return sent_at_s > left_s + _LEAVING_LIMIT_S and run.started_s < restarted_s


def _check_resumed(evidence: Evidence) -> Iterator[str]:
    if not evidence.run.recovered_s:
        return
    started = [
        program
        for program in evidence.run.programs
        if program.intended_s >= evidence.run.recovered_s
        and program.key_name not in evidence.run.withdrawn_s
    ]
    if not started:
        yield 'no program started after the last fault'
    for program in started:
        if program.outcome != ProgramOutcome.COMPLETED:
            last = program.calls[-1].attempts[-1]
            yield (
                f'{program.name}: {program.outcome} after all faults had '
                f'ended: status {last.status}, {last.code} {last.error}'
            )


def _unknown_cause(run: RunRecord, call: CallRecord) -> str:
    last = call.attempts[-1]
    first_s = call.attempts[0].started_s - _FAULT_EFFECT_S
    kinds = {
        fault.kind for fault in _unplanned_faults(run, first_s, last.ended_s)
    }
    return '+'.join(sorted(kinds)) or _NO_FAULT


def _is_unknown(call: CallRecord) -> bool:
    last = call.attempts[-1]
    is_unknown = last.outcome == 'unknown' or not last.status
    return is_unknown and not call.is_answered


def _unplanned_faults(
    run: RunRecord,
    begin_s: float,
    end_s: float,
) -> list[FaultRecord]:
    return [
        fault
        for fault in run.faults
        if not fault.is_planned
        and fault.began_s < end_s
        and (fault.ended_s or end_s) + _FAULT_EFFECT_S > begin_s
    ]


def _check_internal_errors(evidence: Evidence) -> Iterator[str]:
    for program, call in evidence.calls():
        if any(_is_internal_error(attempt) for attempt in call.attempts):
            yield f'{program.name}: {call.kind} got an internal error'
    for name, text in evidence.texts.items():
        if name.endswith('.log') and any(
            map(text.__contains__, _INTERNAL_ERROR_TEXTS)
        ):
            yield f'{name} contains an internal error of the process'


def _is_internal_error(attempt: Attempt) -> bool:
    return attempt.code == ResultCode.INTERNAL_ERROR


FAULT_CHECKS: dict[str, Callable[[Evidence], Iterator[str]]] = {
    'planned stops interrupt nothing': _check_planned_stops,
    'configuration never reverts': _check_generations,
    'unknown outcomes rare': _check_unknown,
    'leaving endpoints idle': _check_leaving_endpoints,
    'service resumes': _check_resumed,
    'no internal errors': _check_internal_errors,
}
