"""Steps of report.feature."""

from dataclasses import replace

from behave import then

from rattanvalve.client_records import (
    Attempt,
    CallRecord,
    ProgramRecord,
    RateInForce,
    RunRecord,
)
from rattanvalve.history_check import Verdict
from rattanvalve.measures import measure, percentile
from rattanvalve.ratelimit_oracle import count_wrongful_refusals
from rattanvalve.report import program_table, verdict_table
from rattanvalve.standins.batch import EngineCosts
from rattanvalve.uncontended_times import RunCosts, UncontendedTimes

COSTS = RunCosts(
    engine=EngineCosts(
        step_base_s=0.1,
        step_per_request_s=0,
        prefill_per_token_s=0.01,
    ),
)


def make_program(duration_s, cached_tokens=(0, 100), workspace='north'):
    """Build a program of two chats with an uncontended duration of 6 s.

    The prefill of 100 tokens in each call takes 2 s in total, the output of
    20 tokens 2 s, and the pauses 2 s.
    """
    calls = [
        CallRecord(
            kind='chat',
            identity=str(index),
            attempts=[Attempt(started_s=0, status=200)],
            prompt_tokens=100 + 100 * index,
            cached_tokens=tokens,
            output_tokens=10,
            is_answered=True,
        )
        for index, tokens in enumerate(cached_tokens)
    ]
    return ProgramRecord(
        name='p1',
        workspace=workspace,
        key_name='k',
        intended_s=50,
        ended_s=50 + duration_s,
        pause_s=2,
        outcome='completed',
        calls=calls,
    )


@then('percentiles of 0 to 100 are exact and those of few samples defined')
def step_percentiles(context):
    samples = list(reversed(range(101)))
    assert [percentile(samples, part) for part in (1, 50, 95)] == [1, 50, 95]
    assert percentile([7], 95) == 7
    assert percentile([], 95) == 0


@then('a program that nothing delayed has a slowdown of 1 and a late one more')
def step_slowdown(context):
    for duration_s in (6, 9):
        program = make_program(duration_s)
        uncontended = UncontendedTimes([program], COSTS)
        assert abs(uncontended.slowdown(program) - duration_s / 6) < 1e-9
    costs = replace(COSTS, order_s=7, round_trip_s=5)
    parent = make_program(6)
    parent.calls.append(CallRecord(kind='order', identity='o'))
    children = [make_program(6), make_program(6), make_program(6)]
    for child, start_s in zip(children, (1, 1, 2), strict=True):
        child.name = 'sub'
        child.parent = 'p1'
        child.intended_s = start_s
    uncontended = UncontendedTimes([parent, *children], costs)
    # Two of the three sub-agents run concurrently; each takes 6 s and two
    # round trips of 5 s.
    assert abs(uncontended.duration_s(parent) - (6 + 7 + 3 * 5 + 2 * 16)) < 1e-9


@then('half of the reusable tokens computed again give a waste of 50 %')
def step_waste(context):
    for cached, expected in ((100, 0), (50, 0.5), (0, 1)):
        run = RunRecord(programs=[make_program(6, (0, cached))])
        assert measure(run, COSTS).wasted_cache_share == expected


@then('only the refusals that an ideal bucket would have admitted count')
def step_wrongful(context):
    rate = RateInForce(workspace='north', from_s=0, rate_per_s=1, burst=2)
    program = make_program(6)
    # The bucket holds two tokens at 0 s, and both are taken. It has half a
    # token at 0.5 s, so that refusal is correct, and more than one at 1.5 s,
    # so that refusal is wrongful. A refused key takes no token.
    program.calls[0].attempts = [
        Attempt(started_s=0, status=200),
        Attempt(started_s=0, status=200),
        Attempt(started_s=0.5, status=429, code=1201),
        Attempt(started_s=1, status=401, code=1102),
        Attempt(started_s=1.5, status=429, code=1201),
    ]
    program.calls[1].attempts = []
    run = RunRecord(programs=[program], rates=[rate])
    assert count_wrongful_refusals(run) == 1


@then('the workspace with the largest median slowdown is reported')
def step_worst(context):
    programs = [
        make_program(duration_s, workspace=workspace)
        for workspace, duration_s in (
            ('north', 6),
            ('north', 6),
            ('north', 60),
            ('south', 12),
        )
    ]
    found = measure(RunRecord(programs=programs), COSTS)
    assert found.worst_workspace == 'south'
    assert abs(found.worst_slowdown - 2) < 1e-9
    assert found.completed_count == found.program_count == 4
    assert found.latency_p50_s == 9


@then('the tables have aligned columns and show what went wrong')
def step_tables(context):
    program = make_program(6)
    program.calls[0].attempts.append(Attempt(started_s=1, status=200))
    header, line = program_table([program]).splitlines()
    assert line.split() == ['p1', 'north', '2', '1', '6.00', 's', 'completed']
    assert header.index('outcome') == line.index('completed')
    verdicts = [Verdict('a', ()), Verdict('b', ('first fault', 'second'))]
    _, holds, violated = verdict_table(verdicts).splitlines()
    assert holds.split() == ['a', 'holds', '0']
    assert violated.split() == ['b', 'VIOLATED', '2', 'first', 'fault']
