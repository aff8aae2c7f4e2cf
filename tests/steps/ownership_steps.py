"""Steps of ownership.feature."""

import asyncio
import random
from collections import Counter
from dataclasses import replace

from behave import given, then, when

from rattanvalve import outcomes, shardtable
from rattanvalve.admission_mode import AdmissionMode
from rattanvalve.errors import InvariantError
from rattanvalve.messages import Outcome, Refusal, Ticket, Usage
from rattanvalve.ratelimit import Bucket
from rattanvalve.resultcodes import ResultCode
from rattanvalve.settling import Settler
from rattanvalve.shardstate import MissingEndpoint
from tests.owner_world import (
    FakeEntry,
    World,
    finish_of,
    new_begin,
    rate_violations,
    resolve_of,
)
from tests.soak import soak_seeds
from tests.steps.programs_steps import decide, inject_fault, start_single_entry


def restore_full(bucket, ages_s, now_s):
    """Restore a full bucket regardless of earlier admissions."""
    bucket.reset_level(1e9, now_s)


async def always_not_run(settler, attempt):
    """Return ``not_run`` without querying the endpoint."""
    return outcomes.NOT_RUN


FAULTS = {
    'records ignored': (shardtable, 'add_records', lambda *given: 0),
    'full bucket': (Bucket, 'restore', restore_full),
    'no settle': (Settler, 'settle', always_not_run),
}


class RandomCell:
    """A cell that processes random events and records admissions."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.world = World()
        self.running = []
        self.issued = []
        self.admitted_s = {}
        # A restarted endpoint loses its records, so the strict checks apply to
        # rounds without restarts only.
        self.has_restarts = bool(seed % 2)

    async def run(self):
        """Run random events and return the violations of the invariants."""
        await self.world.time.drive(self.world.change_view())
        events = (
            (self.begin, 60),
            (self.complete, 30),
            (self.break_off, 12),
            (self.crash_entry, 2),
            (self.leave_entry, 2),
            (self.restart_endpoint, int(self.has_restarts)),
        )
        actions = [event for event, weight in events for _ in range(weight)]
        for _ in range(250):
            await self.rng.choice(actions)()
            await self.world.time.advance(self.rng.expovariate(40))
        return self.violations()

    async def begin(self):
        """Send one of a few requests; the small set yields many repeats."""
        workspace = self.rng.choice(('north', 'south', 'south', 'south'))
        program = f'p{self.rng.randint(0, 30)}'
        shard = self.world.catalog.shard_of(workspace, program)
        begin = new_begin(
            program,
            workspace=workspace,
            shard=shard,
            is_repeatable=self.rng.random() < 0.3,
            idempotency_key=f'{program}-{self.rng.randint(0, 7)}',
            timeout_ms=500,
        )
        entry = self.world.owner(workspace, shard)
        answer = await self.drive(entry.service.begin(begin))
        if isinstance(answer, Ticket):
            self.admitted_s[answer.number] = self.world.time.now_s
            self.run_ticket(answer)

    def run_ticket(self, ticket):
        """Send a ticket to its endpoint; 10 % of these messages are lost."""
        self.issued.append(ticket)
        is_lost = self.rng.random() < 0.1
        if not is_lost and self.world.endpoint(ticket).run(ticket):
            self.running.append(ticket)

    async def complete(self):
        """Complete a running request at its endpoint and report the end."""
        if self.running:
            ticket = self.running.pop(self.rng.randrange(len(self.running)))
            endpoint = self.world.endpoint(ticket)
            if ticket.number in endpoint.records:
                usage = Usage(output_tokens=3)
                endpoint.complete(ticket.number, usage)
                await self.report(ticket, usage)

    async def report(self, ticket, usage):
        """Report the end to the owner; 20 % of these messages are lost."""
        if self.rng.random() < 0.8:
            entry = self.world.owner(ticket.workspace, ticket.shard)
            report = finish_of(ticket, usage=usage)
            await self.drive(entry.service.finish(report))

    async def break_off(self):
        """Resolve a recent ticket, whether or not its run has ended."""
        if self.issued:
            ticket = self.rng.choice(self.issued[-6:])
            entry = self.world.owner(ticket.workspace, ticket.shard)
            resolve = resolve_of(ticket)
            answer = await self.drive(entry.service.resolve(resolve))
            if isinstance(answer, Ticket):
                self.retry(ticket, answer)

    def retry(self, earlier, ticket):
        """Run a new ticket; it keeps the admission time if nothing ran."""
        record = self.world.endpoint(earlier).records.get(earlier.number)
        is_not_run = record is not None and record[1] == outcomes.NOT_RUN
        self.admitted_s[ticket.number] = (
            self.admitted_s[earlier.number]
            if is_not_run
            else self.world.time.now_s
        )
        self.run_ticket(ticket)

    async def crash_entry(self):
        """Crash an entry, which loses its state, and let it join again."""
        name = self.rng.choice(sorted(self.world.entries))
        entry = self.world.entries.pop(name)
        await self.drive(self.world.change_view())
        await self.join(name, f'{entry.incarnation}1')

    async def leave_entry(self):
        """Remove an entry, which hands its shards over, and let it join."""
        name = self.rng.choice(sorted(self.world.entries))
        entry = self.world.entries.pop(name)
        view = self.world.next_view()
        others = tuple(self.world.entries.values())
        adoptions = [each.adopt_view(view) for each in (entry, *others)]
        await self.drive(asyncio.gather(*adoptions))
        await self.join(name, f'{entry.incarnation}1')

    async def join(self, name, incarnation):
        """Add an entry without state and announce the view."""
        entry = FakeEntry(self.world, name, incarnation)
        self.world.entries[name] = entry
        await self.drive(self.world.change_view())

    async def restart_endpoint(self):
        """Restart an endpoint, which loses its records and its work."""
        endpoint = self.rng.choice(self.world.endpoints)
        endpoint.incarnation += '1'
        endpoint.records.clear()
        await self.drive(self.world.change_view())

    def drive(self, awaitable):
        """Run an awaitable to its end in virtual time."""
        return self.world.time.drive(awaitable)

    def violations(self):
        """Return the violations of single runs, turn order and rate."""
        if self.has_restarts:
            return []
        ran = Counter(
            (ticket.workspace, ticket.idempotency_key)
            for _, ticket in self.world.journal
            if not ticket.is_repeatable
        )
        failures = [('twice', name) for name in ran if ran[name] > 1]
        turns = {}
        for _, ticket in self.world.journal:
            program = (ticket.workspace, ticket.program_id)
            if ticket.turn < turns.get(program, 0):
                failures.append(('order', ticket.number))
            turns[program] = ticket.turn
        rate = self.world.catalog.rate_of_shard('south')
        for shard in range(2):
            times = self.admissions(shard)
            found = rate_violations(times, rate.rate_per_s, rate.burst)
            failures += [('rate', pair) for pair in found]
        return failures

    def admissions(self, shard):
        """Return the admission times of the runs of a shard of `south`."""
        return sorted(
            self.admitted_s[ticket.number]
            for _, ticket in self.world.journal
            if (ticket.workspace, ticket.shard) == ('south', shard)
        )


@when('a cell lives through random events with {fault}')
def step_life(context, fault):
    context.failures = []
    with inject_fault(fault, FAULTS):
        for seed in soak_seeds(12):
            try:
                context.failures.extend(context.run(RandomCell(seed).run()))
            except InvariantError as error:
                context.failures.append(str(error))


@then('the invariants are {verdict}')
def step_invariants(context, verdict):
    assert bool(context.failures) == (verdict == 'violated'), context.failures


def record_missing_endpoint(entry, since_s):
    """Record that the last takeover of an entry missed endpoint ``p0``."""
    missing = MissingEndpoint(
        name='p0',
        service_name='orders-app',
        incarnation='i1',
        host='h',
        port=100,
        since_s=since_s,
    )
    moved = tuple(entry.owner.table.shards)
    entry.owner.table.start_takeover([missing], moved, False, since_s)


def run_isolated(context, seed, isolated_count):
    """Admit requests at isolated owners and their successor concurrently.

    Each owner is isolated 5 s after it begins to serve. Its confirmation
    expires 10 s later, when the next owner begins to serve.

    :returns: violations of the rate limit.
    """
    rng = random.Random(seed)
    world, first = start_single_entry(context)
    successors = [
        FakeEntry(world, f'e{9 - number}', '1')
        for number in range(isolated_count)
    ]
    owners = dict(enumerate((first, *successors)))
    for number, successor in enumerate(successors, start=1):
        record_missing_endpoint(successor, 1000 + 15 * number)
    owner_context = first.service._queue.context(('south', 0), 0)
    now_s, times = 1005.0, []
    for number in range(300 * isolated_count):
        now_s += rng.expovariate(15)
        index = rng.randint(0, min(isolated_count, int(now_s - 1000) // 15))
        is_expired = index < isolated_count and now_s >= 1015 + 15 * index
        entry = owners[index]
        answer = entry.owner.begin(
            new_begin(f'p{number}', workspace='south', is_repeatable=True),
            replace(
                owner_context,
                mode=AdmissionMode.HALF if is_expired else AdmissionMode.FULL,
                owner_of=lambda *given, name=entry.name: name,
            ),
            now_s,
        )
        if isinstance(answer, Ticket):
            times.append(now_s)
    rate = world.catalog.rate_of_shard('south')
    return rate_violations(times, rate.rate_per_s, rate.burst)


@when('{count:d} isolated owners and their successor admit with {fault}')
def step_isolated(context, count, fault):
    faults = {
        'no half rate': (shardtable, '_HALF', 1),
        'unsealed owners go on': (
            shardtable.ShardTable,
            'mode_of',
            lambda table, name, mode, now_s: mode,
        ),
    }
    with inject_fault(fault, faults):
        context.failures = [
            found
            for seed in soak_seeds()
            for found in run_isolated(context, seed, count)
        ]


@when('an entry takes over {passed:d} s after the unreachable p0 was removed')
def step_former(context, passed):
    world = World()
    context.world = world
    context.run(world.time.drive(world.change_view()))
    world.endpoints[0].is_up = False
    former = world.endpoints.pop(0).member()
    world.former = (former,)
    if passed:
        context.run(world.time.drive(world.change_view()))
        context.run(world.time.advance(passed))
    context.began_s = world.time.now_s
    world.entries.pop('e0')
    context.run(world.time.drive(world.change_view()))


@then('it serves after {wait:d} s and misses p0 for {left:d} s more')
def step_former_missing(context, wait, left):
    now_s = context.world.time.now_s
    assert round(now_s - context.began_s) == wait
    for entry in context.world.entries.values():
        missing = entry.owner.table.seal.missing['p0']
        end_s = missing.since_s + shardtable.HALF_RATE_MAX_S
        assert round(end_s - now_s) == left


@given('a running {kind} request')
def step_running(context, kind):
    world, entry = start_single_entry(context)
    context.world = world
    context.entry = entry
    begin = new_begin(
        is_repeatable=kind == 'repeatable',
        idempotency_key='k',
        request_id='first',
    )
    context.ticket = decide(context.entry, begin, 1001)


@when('its run broke off and the endpoint says {settled}')
def step_broken(context, settled):
    endpoint = context.world.endpoint(context.ticket)
    record = [context.ticket, settled, Usage(), 1001]
    endpoint.records[context.ticket.number] = record
    context.answer = context.run(
        context.entry.service.resolve(resolve_of(context.ticket)),
    )


@when('another request with its key says that the run broke off')
def step_other_asks(context):
    resolve = replace(resolve_of(context.ticket), request_id='second')
    context.answer = context.run(context.entry.service.resolve(resolve))


@then('the new ticket is for that request, and the earlier one finds it')
def step_own_ticket(context):
    ticket = context.answer
    assert isinstance(ticket, Ticket)
    assert ticket.request_id == 'second'
    attempts = context.entry.owner.table.find('north', 0).ledger.attempts
    assert attempts.find('second', '').ticket == ticket
    assert attempts.find('', 'k').ticket == ticket
    assert context.ticket.request_id not in attempts._by_request
    resolve = resolve_of(context.ticket)
    again = context.run(context.entry.service.resolve(resolve))
    assert again.number == ticket.number


@when('its ingress could not reach the endpoint, which is down')
def step_not_sent(context):
    context.world.endpoint(context.ticket).is_up = False
    resolve = replace(
        resolve_of(context.ticket),
        reason=outcomes.NOT_SENT_REASON,
    )
    context.answer = context.run(context.entry.service.resolve(resolve))


@when('its run broke off and the endpoint is reached after {delay_s:d} s')
def step_short_break(context, delay_s):
    endpoint = context.world.endpoint(context.ticket)
    record = [context.ticket, outcomes.ANSWERED, Usage(), 1001]
    endpoint.records[context.ticket.number] = record
    endpoint.is_up = False

    async def resolve():
        asking = asyncio.ensure_future(
            context.entry.service.resolve(resolve_of(context.ticket)),
        )
        await context.world.time.advance(delay_s)
        endpoint.is_up = True
        return await context.world.time.drive(asking)

    context.answer = context.run(resolve())


@then('the owner answers with {answer}')
def step_resolved(context, answer):
    if answer == 'a new ticket':
        assert isinstance(context.answer, Ticket)
        assert context.answer.number != context.ticket.number
        assert context.answer.turn == context.ticket.turn
    else:
        assert isinstance(context.answer, Outcome)
        assert context.answer.outcome == answer
        assert context.answer.endpoint == context.ticket.endpoint


@then('repeated breaks end with unknown')
def step_retry_end(context):
    _, entry = start_single_entry(context)
    ticket_count = 0
    for number in range(30):
        begin = new_begin(f'p{number}', is_repeatable=True)
        answer = decide(entry, begin, 1001)
        while isinstance(answer, Ticket):
            ticket_count += 1
            owner_context = entry.service._queue.context(('north', 0), 0)
            answer = entry.owner.resolve(
                resolve_of(answer),
                outcomes.UNKNOWN,
                owner_context,
                1001,
            )
        assert answer.outcome == outcomes.UNKNOWN
    assert 30 < ticket_count <= 30 + 3 + 3


@then(
    'in mode {mode} after a {takeover} takeover a {kind} request gets {answer}'
)
def step_mode(context, mode, takeover, kind, answer):
    _, entry = start_single_entry(context)
    entry.mode = AdmissionMode[mode]
    owner_context = entry.service._queue.context(('north', 0), 0)
    entry.owner.table.get_or_create(('north', 0), owner_context, 1000)
    if takeover == 'unsealed':
        record_missing_endpoint(entry, 1000)
    begin = new_begin(is_repeatable=kind == 'repeatable')
    # A bucket starts empty after an unsealed takeover; 60 s later it has a
    # token.
    given_answer = decide(entry, begin, 1060)
    if isinstance(given_answer, Refusal):
        assert ResultCode(given_answer.code).name == answer
    else:
        assert type(given_answer).__name__ == answer


@then('a broken run gets no new ticket in mode HALF after an unsealed takeover')
def step_no_retry(context):
    _, entry = start_single_entry(context)
    ticket = decide(entry, new_begin(is_repeatable=True), 1001)
    record_missing_endpoint(entry, 1002)
    entry.mode = AdmissionMode.HALF
    owner_context = entry.service._queue.context(('north', 0), 0)
    answer = entry.owner.resolve(
        resolve_of(ticket),
        outcomes.NOT_RUN,
        owner_context,
        1003,
    )
    assert isinstance(answer, Outcome), answer


@then(
    'a key found in generation {found:d} is {verdict} '
    'if generation 3 of the owner {state}',
)
def step_key(context, found, verdict, state):
    _, entry = start_single_entry(context)
    own_keys = {
        'has it': {'digest': 'north'},
        'lacks it': {},
        'has it for another user': {'digest': 'south'},
    }
    entry.blackboard.catalog = replace(
        entry.blackboard.catalog,
        generation=3,
        key_workspaces=own_keys[state],
    )
    begin = new_begin(key_digest='digest', config_generation=found)
    answer = decide(entry, begin, 1001)
    if verdict == 'admitted':
        assert isinstance(answer, Ticket), answer
    else:
        assert answer.code == ResultCode.KEY_UNKNOWN, answer


@when('its state is exported, its end reported and the state imported')
def step_late_handover(context):
    table = context.entry.owner.table
    parts = table.export_state('north', 0, 1001)
    for part in parts:
        table.import_state(part, 1001)
    context.entry.owner.finish(finish_of(context.ticket), 1002)
    for part in parts:
        table.import_state(part, 1003)


@then('the following call of the program gets a ticket')
def step_next_call(context):
    answer = decide(context.entry, new_begin(request_id='next'), 1004)
    assert isinstance(answer, Ticket), answer


@when('its run broke off and the endpoint refuses an old epoch for 2 s')
def step_old_epoch(context):
    world, endpoint = context.world, context.world.endpoint(context.ticket)
    record = [context.ticket, outcomes.ANSWERED, Usage(), 1001]
    endpoint.records[context.ticket.number] = record
    answer, until_s = endpoint.answer, world.time.now_s + 2

    def refuse_first(message):
        if world.time.now_s < until_s:
            return Refusal(code=int(ResultCode.STALE_EPOCH))
        return answer(message)

    endpoint.answer = refuse_first
    asking = context.entry.service.resolve(resolve_of(context.ticket))
    context.answer = context.run(world.time.drive(asking))
