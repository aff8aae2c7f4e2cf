"""Steps of history_check.feature.

The correct history has one program, whose calls run on servers as follows: a
chat from 10 to 12 s, an order from 14 to 15 s, a last chat from 16 to 18 s.
Each forgery changes records or journals so that exactly one check fails.
"""

import json
import tempfile
from pathlib import Path

from behave import given, then, when

from rattanvalve.client_records import (
    Attempt,
    CallRecord,
    FaultRecord,
    GenerationReport,
    ProgramRecord,
    RateInForce,
    RunRecord,
)
from rattanvalve.history_check import check_history
from rattanvalve.history_evidence import Evidence
from rattanvalve.standins.journal import JournalLine, read_journal
from rattanvalve.standins.text import expected_text, messages_digest

KEY = 'rv-secret-of-a-caller'
FIRST = [{'role': 'user', 'content': 'p1 turn 0'}]
LAST = [*FIRST, {'role': 'user', 'content': 'p1 turn 1'}]
ENGINE = 'engine-1-server'
SERVICE = 'service-1'


def chat(messages, sent_s):
    """Build the client's record of an answered chat call."""
    return CallRecord(
        kind='chat',
        identity=messages_digest(messages),
        messages=messages,
        max_tokens=64,
        attempts=[Attempt(started_s=sent_s, status=200)],
        is_answered=True,
        text=expected_text(messages, 64),
        finish_reason='stop',
    )


def journal_lines(server, body, start_s, end_s, request_id='e/1/1'):
    """Build the journal lines of the start and end of a run."""
    key = 'north/p1' if server == ENGINE else ''
    return [
        JournalLine(
            event=event,
            server=server,
            request_id=request_id,
            cache_key=key,
            body=json.dumps(body),
            time_s=time_s,
        )
        for event, time_s in (('start', start_s), ('end', end_s))
    ]


def build_history(context):
    """Store the records, journals and logs of a correct history."""
    order = CallRecord(
        kind='order',
        identity='o1',
        attempts=[Attempt(started_s=13, status=200)],
        is_answered=True,
        text=json.dumps({'order_id': 'o1'}),
    )
    program = ProgramRecord(
        name='p1',
        workspace='north',
        key_name='north-1',
        calls=[chat(FIRST, 9), order, chat(LAST, 15.5)],
    )
    context.program = program
    context.history = RunRecord(
        programs=[program],
        rates=[
            RateInForce(workspace='north', from_s=0, rate_per_s=0.1, burst=3),
        ],
    )
    context.lines = [
        *journal_lines(ENGINE, {'messages': FIRST}, 10, 12),
        *journal_lines(SERVICE, {'order_id': 'o1'}, 14, 15),
        *journal_lines(ENGINE, {'messages': LAST}, 16, 18),
        JournalLine(
            event='release',
            server=ENGINE,
            cache_key='north/p1',
            time_s=19,
        ),
    ]
    context.texts = {'engine-1.jsonl': 'no key', 'entry.log': 'no key'}


@given('a correct history')
def step_history(context):
    build_history(context)


def violated_checks(context):
    """Run all checks and return the names of those that are violated."""
    evidence = Evidence(
        context.history,
        context.lines,
        context.texts,
        (KEY,),
    )
    return [
        verdict.name
        for verdict in check_history(evidence)
        if verdict.violations
    ]


@then('no check is violated')
def step_clean(context):
    assert not violated_checks(context)


@then('exactly "{name}" is violated')
def step_violated(context, name):
    assert violated_checks(context) == [name], violated_checks(context)


def starts_early(context):
    """Start the order before the first chat has ended."""
    order = context.program.calls[1]
    order.attempts[0].started_s = 9
    context.lines[2].time_s = 11


def runs_late(context):
    """Run the first chat a second time after the order has started."""
    body = {'messages': FIRST}
    context.lines.extend(journal_lines(ENGINE, body, 15, 15.2, 'x'))
    context.lines.append(context.lines[6])


def runs_twice(context):
    """Run the order a second time."""
    body = {'order_id': 'o1'}
    context.lines.extend(journal_lines(SERVICE, body, 15, 15.3, 'e/1/2'))


def swaps_text(context):
    """Deliver the response of another request."""
    other = [{'role': 'user', 'content': 'p2 turn 0'}]
    call = context.program.calls[0]
    call.text = expected_text(other, 64)


def swaps_broken_text(context):
    """Deliver a part of another response without completing it."""
    swaps_text(context)
    call = context.program.calls[0]
    call.text = call.text[:9]
    call.is_answered = False


def swaps_receipt(context):
    """Deliver the receipt of another order."""
    context.program.calls[1].text = '{"order_id": "o2"}'


def cuts_text(context):
    """Remove the last word of a response."""
    call = context.program.calls[0]
    call.text = f'{call.text.rstrip().rpartition(" ")[0]} '


def drops_reason(context):
    """Remove the finish reason of a response."""
    context.program.calls[0].finish_reason = ''


def drops_order(context):
    """Remove the order from the journal."""
    context.lines = context.lines[:2] + context.lines[4:]


def cancels_order(context):
    """End the run of the order with a cancellation."""
    context.lines[3].event = 'cancel'


def refuses_by_code(context):
    """Refuse the order with a code that means not run, then answer a retry."""
    refusal = Attempt(started_s=13, status=503, code=1203)
    context.program.calls[1].attempts = [
        refusal,
        Attempt(started_s=14.5, status=200),
    ]


def refuses_by_header(context):
    """Refuse the order with a header that means not run, then answer it."""
    refuses_by_code(context)
    first = context.program.calls[1].attempts[0]
    first.code = 0
    first.outcome = 'not_run'


def leaks_in_journal(context):
    """Write a key into a journal."""
    context.texts['engine-1.jsonl'] = f'"Authorization": "Bearer {KEY}"'


def leaks_in_log(context):
    """Write a key into a log."""
    context.texts['entry.log'] = f'key {KEY} refused'


def lowers_burst(context):
    """Lower the burst below the number of admitted calls."""
    context.history.rates[0].burst = 1


def keeps_cache(context):
    """Remove the release of the cache from the journal."""
    context.lines.pop()


def withdraws(context):
    """Withdraw the key more than 5 s before the order."""
    context.history.withdrawn_s['north-1'] = 8.5


def withdraws_before_end(context):
    """Withdraw the key more than 5 s before the end of the last chat."""
    context.history.withdrawn_s['north-1'] = 12


def drains(context):
    """Drain the engine more than 5 s before the last chat is sent."""
    context.history.drained_s['engine-1'] = 10.4


def add_fault(context, kind, began_s, ended_s, *targets):
    """Record a fault; only a rolling restart is planned."""
    fault = FaultRecord(
        kind=kind,
        targets=targets,
        began_s=began_s,
        ended_s=ended_s,
        is_planned=kind == 'rolling_restart',
    )
    context.history.faults.append(fault)


def breaks_stream(context):
    """Interrupt the first attempt of a chat during a planned stop."""
    add_fault(context, 'rolling_restart', 9.5, 11, 'entry-a')
    interrupted = Attempt(
        started_s=9,
        ended_s=10.5,
        error='stream ended early',
    )
    context.program.calls[0].attempts.insert(0, interrupted)


def loses_order_when_planned(context):
    """Report the outcome of an order as unknown during a planned stop."""
    add_fault(context, 'rolling_restart', 12, 16, 'entry-a')
    attempt = context.program.calls[1].attempts[0]
    attempt.outcome = 'unknown'
    attempt.ended_s = 15


def report_generations(context, *generations):
    """Record generations of one entry process, and the newest of another."""
    context.history.generations = {
        'entry-a': [
            GenerationReport(asked_s=index, generation=generation)
            for index, generation in enumerate(generations)
        ],
        'entry-b': [GenerationReport(asked_s=9, generation=max(generations))],
    }


def reverts(context):
    """Report an older generation after a newer one."""
    report_generations(context, 4, 3, 4)


def lags(context):
    """Report a final generation older than that of another entry process."""
    report_generations(context, 3, 4)
    context.history.generations['entry-b'][0].generation = 5


def lose_orders(context, count):
    """Add orders with an unknown outcome."""
    for index in range(count):
        lost = Attempt(started_s=60, ended_s=61, status=502, outcome='unknown')
        context.program.calls.append(
            CallRecord(kind='order', identity=f'x{index}', attempts=[lost]),
        )


def loses_quietly(context):
    """Leave an order with an unknown outcome long after the only fault."""
    add_fault(context, 'kill_entry', 1, 2, 'entry-a')
    lose_orders(context, 1)


def loses_many(context):
    """Leave more orders unknown after a kill than the check permits."""
    add_fault(context, 'kill_entry', 59, 60, 'entry-a')
    lose_orders(context, 20)


def works_while_leaving(context):
    """Begin to stop the endpoint process 4 s before the last chat is sent."""
    context.history.left_s['engine-1'] = [(11.4, 20)]


def refuses_at_end(context):
    """Refuse a program after the last fault."""
    context.history.recovered_s = 20
    refusal = Attempt(started_s=21, status=503, code=1301)
    context.history.programs.append(
        ProgramRecord(
            name='p2',
            workspace='north',
            key_name='north-1',
            intended_s=21,
            outcome='refused',
            calls=[CallRecord(kind='chat', identity='c', attempts=[refusal])],
        ),
    )


def starts_nothing(context):
    """Set the end of the faults after the start of the only program."""
    context.history.recovered_s = 20


def withdraws_slowly(context):
    """Withdraw the key 3 s before the last chat ends, long after a fault."""
    add_fault(context, 'kill_entry', -50, -49, 'entry-a')
    context.history.withdrawn_s['north-1'] = 15


def fails_inside(context):
    """Answer the first attempt of the order with an internal error."""
    failed = Attempt(started_s=12.5, status=500, code=1901)
    context.program.calls[1].attempts.insert(0, failed)


def logs_violation(context):
    """Write the message of a violated invariant into a log."""
    context.texts['entry.log'] = 'relay: invariant violated: second ticket'


def kills_before_cache(context):
    """Kill the engine before the last chat, whose cache is not released."""
    add_fault(context, 'kill_server', 13, 14, ENGINE)
    keeps_cache(context)


FORGERIES = {
    'a stream breaks during a planned stop': breaks_stream,
    'an order is unknown during a planned stop': loses_order_when_planned,
    'an entry states an older generation': reverts,
    'an entry keeps an older generation to the end': lags,
    'an order is unknown although nothing failed': loses_quietly,
    'many orders are unknown after a kill': loses_many,
    'an endpoint gets work 4 s after its planned stop': works_while_leaving,
    'a program is refused after the last fault': refuses_at_end,
    'no program starts after the last fault': starts_nothing,
    'an order meets an internal error': fails_inside,
    'a log reports a violated invariant': logs_violation,
    'a quiet withdrawal takes 3 s': withdraws_slowly,
    'an engine was killed before it cached a program': kills_before_cache,
    'the order starts before the first chat has ended': starts_early,
    'an abandoned chat is run again after the order': runs_late,
    'the order runs twice under two request ids': runs_twice,
    'the first chat has the text of another program': swaps_text,
    'a broken chat has kept the text of another program': swaps_broken_text,
    "the order's receipt is for another order": swaps_receipt,
    'the first chat lacks its last word': cuts_text,
    'the first chat has no finish reason': drops_reason,
    'the journal lacks the order': drops_order,
    'the order was only cancelled': cancels_order,
    'the order was refused by code before it ran': refuses_by_code,
    'the order was refused by header before it ran': refuses_by_header,
    "a journal header holds a caller's key": leaks_in_journal,
    "a log file holds a caller's key": leaks_in_log,
    'the workspace has a burst of 1': lowers_burst,
    'an engine keeps the cache': keeps_cache,
    'the key was withdrawn long before the order': withdraws,
    "the key was withdrawn long before the order's end": withdraws_before_end,
    'the engine was drained long before the last chat': drains,
}


@when('the history is forged: {forgery}')
def step_forge(context, forgery):
    FORGERIES[forgery](context)


@then('a refusal after an unanswered attempt accuses nobody')
def step_unanswered(context):
    build_history(context)
    refuses_by_code(context)
    lost = Attempt(started_s=12.5, status=0)
    context.program.calls[1].attempts.insert(0, lost)
    assert not violated_checks(context)


@then('a burst that queueing caused accuses nobody')
def step_queueing(context):
    build_history(context)
    lowers_burst(context)
    for call, sent_s in zip(context.program.calls, (-20, -10, 1), strict=True):
        call.attempts[0].started_s = sent_s
    assert not violated_checks(context)


@then('a raised rate counts from its change')
def step_raised(context):
    build_history(context)
    lowers_burst(context)
    raised = RateInForce(
        workspace='north',
        from_s=100,
        rate_per_s=10,
        burst=10,
    )
    context.history.rates.append(raised)
    assert violated_checks(context) == ['rates respected']
    raised.from_s = 9.5
    assert not violated_checks(context)


@then('an incomplete last journal line is passed over')
def step_incomplete(context):
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / 'engine.jsonl'
        path.write_text('{"event": "start"}\n{"event": "en')
        assert [line.event for line in read_journal(path)] == ['start']


@then('a break during a kill or a refused connection accuses no planned stop')
def step_not_planned(context):
    build_history(context)
    breaks_stream(context)
    first = context.program.calls[0]
    first.attempts[0].error = 'ClientConnectorError'
    assert not violated_checks(context)
    build_history(context)
    breaks_stream(context)
    add_fault(context, 'kill_entry', 10, 11, 'entry-b')
    assert not violated_checks(context)


@then('a cache lost with its engine accuses nobody')
def step_cache_lost(context):
    build_history(context)
    add_fault(context, 'kill_server', 18.5, 19, ENGINE)
    keeps_cache(context)
    assert not violated_checks(context)
