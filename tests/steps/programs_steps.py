"""Steps of programs.feature."""

import contextlib
import random
import sys
from collections import Counter, defaultdict
from unittest import mock

from behave import given, then, when

from rattanvalve import budgets, idempotency, outcomes, programs
from rattanvalve.errors import InvariantError
from rattanvalve.inventory import Budget
from rattanvalve.messages import Outcome, Refusal, Ticket, Usage
from rattanvalve.resultcodes import ResultCode
from tests.owner_world import World, finish_of, new_begin
from tests.soak import soak_seeds

BUDGET = Budget(program_tokens=200, program_calls=15, program_seconds=900)
ROOTS = {'a': 'a', 'a1': 'a', 'a2': 'a', 'b': 'b', 'b1': 'b'}


def reserve_all(account, budget, tokens, timeout_s):
    """Reserve without checking the budget."""
    reservation = budgets.Reservation(tokens=tokens, seconds=1)
    budgets.add_reservation(account, reservation)
    return reservation


def charge_unknown_as_not_run(account, reservation, outcome, usage, elapsed_s):
    """Charge unknown outcomes as not run."""
    known = outcomes.NOT_RUN if outcome == outcomes.UNKNOWN else outcome
    CHARGE(account, reservation, known, usage, elapsed_s)


CHARGE = budgets.charge
LEDGER = programs.ProgramLedger
FAULTS = {
    'no order': (LEDGER, 'is_busy', lambda ledger, program_id: False),
    'no budget': (budgets, 'reserve', reserve_all),
    'no parent': (programs.RootAccounts, 'link', lambda *names: None),
    'unknown not charged': (budgets, 'charge', charge_unknown_as_not_run),
    'no index': (idempotency.AttemptIndex, 'find', lambda *names: None),
}


def inject_fault(fault, faults=FAULTS):
    """Return a context manager that injects a fault by its name."""
    if fault == 'no fault':
        return contextlib.nullcontext()
    return mock.patch.object(*faults[fault])


def start_single_entry(context):
    """Start a cell with a single entry; return the cell and the entry."""
    world = World(entry_count=1)
    context.run(world.time.drive(world.change_view()))
    return world, world.owner()


def decide(entry, begin, now_s):
    """Return the immediate decision of the owner, without queueing."""
    owner_context = entry.service._queue.context(('north', 0), 0)
    return entry.owner.begin(begin, owner_context, now_s)


def run_calls(context, seed):
    """Run random calls and return the violations of order and budget."""
    rng = random.Random(seed)
    _, entry = start_single_entry(context)
    world_time = entry.service._queue._ports.clock
    running, spent, calls = {}, Counter(), Counter()
    tickets = defaultdict(list)
    failures = []
    for step in range(200):
        now_s = world_time() + step
        if running and rng.random() < 0.45:
            program = rng.choice(sorted(running))
            ticket = running.pop(program)
            outcome = rng.choice(
                (outcomes.ANSWERED, outcomes.NOT_RUN, outcomes.UNKNOWN),
            )
            used = rng.randint(0, ticket.reserved_tokens)
            if outcome != outcomes.NOT_RUN:
                calls[ROOTS[program]] += 1
                # An unknown run is charged with its whole reservation, which
                # is 20 tokens.
                known = outcome == outcomes.ANSWERED
                spent[ROOTS[program]] += used if known else 20
                tickets[ticket.idempotency_key].append(ticket)
            entry.owner.finish(
                finish_of(ticket, outcome, Usage(output_tokens=used)),
                now_s,
            )
            continue
        program = rng.choice(sorted(ROOTS))
        root = ROOTS[program]
        answer = decide(
            entry,
            new_begin(
                program,
                parent_program_id=root if root != program else '',
                idempotency_key=f'{program}{rng.randint(0, 30)}',
                max_tokens=15,
            ),
            now_s,
        )
        if isinstance(answer, Ticket):
            if program in running:
                failures.append('two running turns')
            running[program] = answer
    failures.extend(root for root in spent if spent[root] > 200)
    failures.extend(root for root in calls if calls[root] > 15)
    failures.extend(key for key in tickets if len(tickets[key]) > 1)
    return failures


@when('random calls of several programs run with {fault}')
def step_calls(context, fault):
    context.failures = []
    with (
        inject_fault(fault),
        mock.patch(
            'rattanvalve.catalog.DEFAULT_BUDGET',
            BUDGET,
        ),
    ):
        for seed in soak_seeds():
            try:
                context.failures.extend(run_calls(context, seed))
            except InvariantError as error:
                context.failures.append(str(error))


@then('the ledger is {verdict}')
def step_ledger(context, verdict):
    assert bool(context.failures) == (verdict == 'wrong'), context.failures


@given('a finished call with an idempotency key')
def step_keyed(context):
    _, entry = start_single_entry(context)
    context.entry = entry
    context.keyed = {'idempotency_key': 'k', 'history_digests': (7,)}
    ticket = decide(context.entry, new_begin(**context.keyed), 1001)
    context.entry.owner.finish(finish_of(ticket), 1002)
    context.ticket = ticket


@when('the key comes again with another {field}')
def step_key_again(context, field):
    changes = {
        'request_id': 'other',
        'program_id': 'other',
        'service_name': 'agent-models',
        'history_digests': (8,),
    }
    given_fields = {'program': 'p'} | context.keyed
    name = 'program' if field == 'program_id' else field
    given_fields[name] = changes[field]
    begin = new_begin(**given_fields)
    context.answer = decide(context.entry, begin, 1003)


@then('the answer is {answer}')
def step_answer(context, answer):
    if isinstance(context.answer, Refusal):
        assert ResultCode(context.answer.code).name == answer
    else:
        assert context.answer.outcome == answer
        assert context.answer.number == context.ticket.number
        assert context.answer.endpoint == context.ticket.endpoint


@given('ids of sub-agents name no root')
def step_no_roots(context):
    patch = mock.patch.object(
        programs, 'root_program_id', lambda program_id: ''
    )
    patch.start()
    context.closers.append(patch.stop)


@then('calls of {child} without a parent leave root {left:d} of 15 calls')
def step_child(context, child, left):
    _, entry = start_single_entry(context)
    with mock.patch('rattanvalve.catalog.DEFAULT_BUDGET', BUDGET):
        for _ in range(3):
            ticket = decide(entry, new_begin(child), 1001)
            entry.owner.finish(finish_of(ticket, usage=Usage()), 1001)
        count = 0
        answer = decide(entry, new_begin('root'), 1001)
        while isinstance(answer, Ticket):
            count += 1
            entry.owner.finish(finish_of(answer, usage=Usage()), 1001)
            answer = decide(entry, new_begin('root'), 1001)
    assert answer.code == ResultCode.BUDGET_EXHAUSTED
    assert count == left, count


@then('a repeated request gets the place of the first record')
def step_same_request(context):
    _, entry = start_single_entry(context)
    begin = new_begin(request_id='r')
    ticket = decide(entry, begin, 1001)
    answer = decide(entry, begin, 1002)
    assert isinstance(answer, Outcome)
    assert (answer.number, answer.outcome) == (ticket.number, 'running')


@then('idle programs, their accounts and old attempts are dropped')
def step_expiry(context):
    _, entry = start_single_entry(context)
    for step in range(50):
        begin = new_begin(f'q{step}', parent_program_id='root')
        ticket = decide(entry, begin, 1001 + step)
        entry.owner.finish(finish_of(ticket), 1001 + step)
    ledger = entry.owner.table.find('north', 0).ledger
    assert len(ledger.programs) == 50
    assert len(ledger.accounts.by_root) == 51
    later_s = 1100 + programs.PROGRAM_IDLE_S
    for step in range(20):
        ledger.has_capacity('other', later_s + step)
    assert not ledger.programs
    assert not ledger.accounts.by_root
    assert not ledger.attempts.by_number


def count_steps(entry, program, now_s):
    """Return the number of Python trace events of one decision."""
    events = []

    def trace(frame, event, argument):
        events.append(event)
        return trace

    begin = new_begin(program)
    sys.settrace(trace)
    try:
        answer = decide(entry, begin, now_s)
    finally:
        sys.settrace(None)
    assert isinstance(answer, Ticket)
    return len(events)


@then('a call does as many steps with 20000 programs and shards as with 20')
def step_cost(context):
    counts = []
    for size in (20, 20_000):
        _, entry = start_single_entry(context)
        ledger = LEDGER()
        for number in range(size):
            ledger.ensure_program(f'other{number}', '', 1000)
            entry.owner.table.shards['other', number] = None
        decide(entry, new_begin('first'), 1000)
        entry.owner.table.find('north', 0).ledger = ledger
        counts.append(count_steps(entry, 'measured', 1001))
    assert counts[0] == counts[1], counts
