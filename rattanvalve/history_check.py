"""Checks the servers' journals of a run against the clients' records."""

import json
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from itertools import pairwise

from rattanvalve.client_records import Attempt, CallRecord
from rattanvalve.fleet_settings import server_name
from rattanvalve.history_evidence import Evidence
from rattanvalve.history_faults import (
    FAULT_CHECKS,
    last_kill_times,
    withdrawal_limit_s,
)
from rattanvalve.history_journal import ServerRun
from rattanvalve.history_rates import attempt_sent_s, find_rate_excess
from rattanvalve.resultcodes import RESULT_CODES
from rattanvalve.standins.text import expected_text, is_text_complete

__all__ = ('CHECKS', 'Verdict', 'check_history')

#: A drained endpoint must not run calls that were sent later than this after
#: the drain was confirmed.
DRAIN_LIMIT_S = 5.0


@dataclass(frozen=True, slots=True)
class Verdict:
    """Result of one check.

    ``violations`` holds one line of text per violation; it is empty if the
    check holds.
    """

    name: str
    violations: tuple[str, ...]


def check_history(evidence: Evidence) -> list[Verdict]:
    """Run all checks.

    :param evidence: records, journals and logs of a run.
    :returns: one verdict for each check. For a run without the product, the
        checks of guarantees that only the product gives are left out.
    """
    skipped = _PRODUCT_CHECKS if evidence.run.is_direct else frozenset()
    return [
        Verdict(name, tuple(check(evidence)))
        for name, check in CHECKS.items()
        if name not in skipped
    ]


def _check_call_order(evidence: Evidence) -> Iterator[str]:
    for program in evidence.run.programs:
        for earlier, later in pairwise(program.calls):
            last_s = max(
                map(_completion_s, evidence.runs.get(earlier.identity, ())),
                default=0,
            )
            for run in evidence.runs.get(later.identity, ()):
                if run.started_s < last_s:
                    yield (
                        f'{program.name}: a call started on {run.server} '
                        f'{last_s - run.started_s:.3f} s before the end of '
                        'the call before it'
                    )


def _completion_s(run: ServerRun) -> float:
    # A server may learn late that a run was cancelled, so the time of the
    # cancellation is ignored and the start of such a run is used.
    return run.ended_s if run.event == 'end' else run.started_s


def _check_at_most_once(evidence: Evidence) -> Iterator[str]:
    for program, call in evidence.calls():
        count = len(evidence.runs.get(call.identity, ()))
        if call.kind == 'order' and count > 1:
            yield f'{program.name}: {call.identity} ran {count} times'


def _check_responses(evidence: Evidence) -> Iterator[str]:
    for program, call in evidence.calls():
        if call.kind == 'order':
            is_match = (
                not call.is_answered or _receipt_order_id(call) == call.identity
            )
        else:
            text = expected_text(call.messages, call.max_tokens)
            is_match = text.startswith(call.text)
        if not is_match:
            yield f'{program.name}: response of another request: {call.text!r}'


def _receipt_order_id(call: CallRecord) -> str:
    try:
        return json.loads(call.text).get('order_id', '')
    except (ValueError, AttributeError):
        return ''


def _check_complete(evidence: Evidence) -> Iterator[str]:
    for program, call in evidence.calls():
        if call.kind == 'chat' and call.is_answered and _is_truncated(call):
            yield (
                f'{program.name}: {len(call.text)} characters, '
                f'finish_reason {call.finish_reason!r}'
            )


def _is_truncated(call: CallRecord) -> bool:
    is_complete = is_text_complete(call.messages, call.max_tokens)
    reason = 'stop' if is_complete else 'length'
    text = expected_text(call.messages, call.max_tokens)
    if not text.startswith(call.text):
        # A response of another request is reported by _check_responses.
        return False
    return call.text != text or call.finish_reason != reason


def _check_answers_ran(evidence: Evidence) -> Iterator[str]:
    for program, call in evidence.calls():
        runs = evidence.runs.get(call.identity, ())
        if call.is_answered and not any(run.event == 'end' for run in runs):
            yield f'{program.name}: answered, but no server ran {call.identity}'


def _check_not_run(evidence: Evidence) -> Iterator[str]:
    for program, call in evidence.calls():
        for begin_s, end_s, code in _not_run_windows(call):
            for run in evidence.runs.get(call.identity, ()):
                if begin_s <= run.started_s < end_s:
                    yield (
                        f'{program.name}: reported as not run with code '
                        f'{code}, but {run.server} started it'
                    )


def _not_run_windows(call: CallRecord) -> Iterator[tuple[float, float, int]]:
    ends_s = [attempt.started_s for attempt in call.attempts[1:]]
    for attempt, end_s in zip(
        call.attempts,
        (*ends_s, float('inf')),
        strict=True,
    ):
        if not attempt.status:
            # The run of an attempt that got no response may start during a
            # later attempt, so it does not contradict a later refusal.
            return
        if _reports_not_run(attempt):
            yield attempt.started_s, end_s, attempt.code


def _reports_not_run(attempt: Attempt) -> bool:
    info = RESULT_CODES.get(attempt.code) if attempt.code else None
    return attempt.outcome == 'not_run' or bool(info and info.was_not_run)


def _check_caller_keys(evidence: Evidence) -> Iterator[str]:
    for name, text in evidence.texts.items():
        if any(key in text for key in evidence.caller_keys):
            yield f'{name} contains a key of a caller'


def _check_cache(evidence: Evidence) -> Iterator[str]:
    killed_s = last_kill_times(evidence.run)
    last_events = {
        (line.server, line.cache_key): line.event
        for line in evidence.lines
        # An engine that was killed has lost the caches it held before.
        if line.cache_key and line.time_s > killed_s.get(line.server, 0)
    }
    for (server, cache_key), event in last_events.items():
        if event != 'release':
            yield f'{server} still holds cache of {cache_key}'


def _check_withdrawn(evidence: Evidence) -> Iterator[str]:
    for program, call in evidence.calls():
        withdrawn_s = evidence.run.withdrawn_s.get(program.key_name)
        if withdrawn_s is None:
            continue
        limit_s = withdrawn_s + withdrawal_limit_s(evidence.run, withdrawn_s)
        for run in evidence.runs.get(call.identity, ()):
            if max(run.started_s, run.ended_s) > limit_s:
                yield (
                    f'{program.name}: {run.server} ran a call of the withdrawn '
                    f'key {program.key_name}'
                )


def _check_drained(evidence: Evidence) -> Iterator[str]:
    limits_s = {
        server_name(endpoint): drained_s + DRAIN_LIMIT_S
        for endpoint, drained_s in evidence.run.drained_s.items()
    }
    for program, call in evidence.calls():
        for run in evidence.runs.get(call.identity, ()):
            # The time of sending decides: a call queued before the limit may
            # start after it.
            if attempt_sent_s(call, run) > limits_s.get(
                run.server, float('inf')
            ):
                yield f'{program.name}: new call on drained {run.server}'


def _check_rates(evidence: Evidence) -> Iterator[str]:
    yield from find_rate_excess(evidence.run, evidence.runs)


CHECKS: dict[str, Callable[[Evidence], Iterator[str]]] = {
    'calls in order': _check_call_order,
    'orders at most once': _check_at_most_once,
    'responses match requests': _check_responses,
    'responses whole': _check_complete,
    'answered calls ran': _check_answers_ran,
    'not run is true': _check_not_run,
    'no caller keys': _check_caller_keys,
    'rates respected': _check_rates,
    'cache released': _check_cache,
    'withdrawn keys stop': _check_withdrawn,
    'drained endpoints idle': _check_drained,
    **FAULT_CHECKS,
}

_PRODUCT_CHECKS = frozenset(
    (
        'not run is true',
        'no caller keys',
        'rates respected',
        'cache released',
        'withdrawn keys stop',
        'drained endpoints idle',
        *FAULT_CHECKS,
    ),
)
