"""Checks of what must hold although processes, links and the store fail."""

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
from rattanvalve.history_rates import sent_s

__all__ = (
    'FAULT_CHECKS',
    'kill_times',
    'unknown_causes',
    'withdrawal_limit_s',
)

#: A withdrawn key must have no effect after this time.
_WITHDRAWAL_LIMIT_S = 5.0
#: The same while no fault is or was recently in force.
_QUIET_WITHDRAWAL_LIMIT_S = 2.0
#: Effects of a fault (expired leases, missing members) end by then.
_FAULT_EFFECT_S = 15.0
#: Bound of invariant I12.
_LEAVING_LIMIT_S = 3.0
#: More calls than this share must not end with an unknown outcome.
_UNKNOWN_SHARE = 0.05
_UNKNOWN_FREE_COUNT = 3
_NO_FAULT = 'no fault'


def kill_times(run: RunRecord) -> dict[str, float]:
    """Give the time at which each process was last killed.

    :param run: records of a run.
    :returns: monotonic time in seconds by name.
    """
    return {
        name: fault.began_s
        for fault in run.faults
        if fault.kind.startswith('kill')
        for name in fault.targets
    }


def withdrawal_limit_s(run: RunRecord, withdrawn_s: float) -> float:
    """Give the time in which the withdrawal of a key must take effect.

    :param run: records of a run.
    :param withdrawn_s: when the withdrawal was confirmed.
    :returns: seconds.
    """
    end_s = withdrawn_s + _QUIET_WITHDRAWAL_LIMIT_S
    if run.faults and not _violent(run, withdrawn_s, end_s):
        return _QUIET_WITHDRAWAL_LIMIT_S
    return _WITHDRAWAL_LIMIT_S


def unknown_causes(evidence: Evidence) -> CountTable[str]:
    """Count calls whose outcome stayed unknown, by the fault before them.

    :param evidence: what a run left behind.
    :returns: number of calls by kinds of faults.
    """
    return CountTable(
        _cause_of(evidence.run, call)
        for _, call in evidence.calls()
        if _is_unknown(call)
    )


def _check_unknown(evidence: Evidence) -> Iterator[str]:
    if not evidence.run.faults:
        return
    causes = unknown_causes(evidence)
    if causes[_NO_FAULT]:
        yield f'{causes[_NO_FAULT]} calls ended unknown without a fault'
    call_count = sum(1 for _ in evidence.calls())
    unknown_count = causes.total()
    if unknown_count > _UNKNOWN_FREE_COUNT + call_count * _UNKNOWN_SHARE:
        yield f'{unknown_count} of {call_count} calls ended unknown: {causes}'


def _check_planned(evidence: Evidence) -> Iterator[str]:
    for fault in evidence.run.faults:
        is_alone = not _violent(evidence.run, fault.began_s, fault.ended_s)
        if fault.is_planned and is_alone:
            yield from _interrupted(evidence, fault)


def _interrupted(evidence: Evidence, fault: FaultRecord) -> Iterator[str]:
    for program, call in evidence.calls():
        for attempt in call.attempts:
            is_open = attempt.started_s < fault.ended_s and (
                attempt.ended_s > fault.began_s
            )
            if is_open and _is_interrupted(attempt):
                yield (
                    f'{program.name}: {call.kind} to {attempt.url} broke '
                    f'{attempt.ended_s - fault.began_s:.2f} s after the '
                    f'begin of {fault.kind}: {attempt.error} {attempt.code}'
                )


def _is_interrupted(attempt: Attempt) -> bool:
    # A connection that was refused carried no request.
    is_refused = attempt.error == 'ClientConnectorError'
    is_broken = not attempt.status and not is_refused
    return is_broken or attempt.outcome == 'unknown'


def _check_generations(evidence: Evidence) -> Iterator[str]:
    newest = 0
    for entry, seen in evidence.run.generations.items():
        newest = max([newest, *(poll.generation for poll in seen)])
        for earlier, later in pairwise(seen):
            if later.generation < earlier.generation:
                yield (
                    f'{entry}: generation {later.generation} after '
                    f'{earlier.generation}'
                )
    for name, polls in evidence.run.generations.items():
        last = polls[-1].generation if polls else 0
        if last < newest:
            yield f'{name}: generation {last} at the end instead of {newest}'


def _check_leaving(evidence: Evidence) -> Iterator[str]:
    windows = {
        server_name(name): stops for name, stops in evidence.run.left_s.items()
    }
    for program, call in evidence.calls():
        for run in evidence.runs.get(call.identity, ()):
            stops = windows.get(run.server, ())
            if any(_is_in_stop(sent_s(call, run), run, stop) for stop in stops):
                yield f'{program.name}: new work for leaving {run.server}'


def _is_in_stop(
    sent_at_s: float,
    run: ServerRun,
    stop: tuple[float, float],
) -> bool:
    left_s, back_s = stop
    return sent_at_s > left_s + _LEAVING_LIMIT_S and run.started_s < back_s


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


def _cause_of(run: RunRecord, call: CallRecord) -> str:
    last = call.attempts[-1]
    first_s = call.attempts[0].started_s - _FAULT_EFFECT_S
    kinds = {fault.kind for fault in _violent(run, first_s, last.ended_s)}
    return '+'.join(sorted(kinds)) or _NO_FAULT


def _is_unknown(call: CallRecord) -> bool:
    last = call.attempts[-1]
    is_lost = last.outcome == 'unknown' or not last.status
    return is_lost and not call.is_answered


def _violent(
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


FAULT_CHECKS: dict[str, Callable[[Evidence], Iterator[str]]] = {
    'planned stops interrupt nothing': _check_planned,
    'configuration never reverts': _check_generations,
    'unknown outcomes rare': _check_unknown,
    'leaving endpoints idle': _check_leaving,
    'service resumes': _check_resumed,
}
