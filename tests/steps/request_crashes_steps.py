"""Steps of sharedstate/request_crashes.feature; time is simulated."""

import random
import re
import tempfile
from pathlib import Path

from behave import given, then, when

from rattanvalve.sharedstate.request_crashes import CrashTable
from rattanvalve.turnstore.crashfile import CrashFile
from tests.crash_simulation import CrashSimulation, crash

REQUEST = 'request'
#: Time between two crashes that one request causes, longer than its run.
ROUND_S = 1.0
START_S = 1000.0
#: Age of the crash of each endpoint; they crashed one after the other.
CRASH_AGES_S = {'a': 2.0, 'b': 1.0, 'c': 0.0}
UNIX_S = 1_700_000_000.0


@given('{count:d} gateway and a turn store that exchange records')
@given('{count:d} gateways and a turn store that exchange records')
def step_tables(context, count):
    context.gateways = [CrashTable() for _ in range(count)]
    context.store = CrashTable()
    context.now_s = START_S


def exchange(context):
    """Let each gateway exchange all records with the store, twice."""
    now_s = context.now_s
    for gateway in context.gateways * 2:
        context.store.merge(gateway.reports(now_s), now_s)
        gateway.merge(context.store.reports(now_s), now_s)


def record_crashes(context, number, endpoints):
    """Let a gateway see crashes of endpoints, one after the other."""
    for endpoint in re.findall(r'\b[a-d]\b', endpoints.replace(' and', ',')):
        context.now_s += ROUND_S
        table = context.gateways[number]
        table.merge((crash(REQUEST, endpoint),), context.now_s)
    exchange(context)


@when('gateway {number:d} sees that a request crashes endpoints {endpoints}')
@when('gateway {number:d} sees that it crashes endpoints {endpoints}')
@when('gateway {number:d} sees that it crashes endpoint {endpoints}')
def step_crashes(context, number, endpoints):
    record_crashes(context, number, endpoints)


@when(
    'gateway {number:d} sees that endpoints a, b and c crash together under '
    'a request'
)
def step_together(context, number):
    reports = [crash(REQUEST, endpoint) for endpoint in 'abc']
    context.gateways[number].merge(reports, context.now_s)
    exchange(context)


@when('gateway {number:d} sees that the request is served')
def step_served(context, number):
    context.gateways[number].clear(REQUEST, context.now_s)
    exchange(context)


@when('{duration:d} s pass')
def step_pass(context, duration):
    context.now_s += duration


@when('{count:d} other requests crash one endpoint each')
def step_others(context, count):
    for number in range(count):
        context.now_s += 0.01
        report = crash(f'other-{number}', f'endpoint-{number}')
        context.gateways[0].merge((report,), context.now_s)


def tables(context):
    """Return the tables of all processes."""
    return (*context.gateways, context.store)


@then('all of them count {count:d} crashes and block the request')
def step_all_block(context, count):
    for table in tables(context):
        assert len(table.crashes_of(REQUEST)) == count
        assert table.block(REQUEST, context.now_s)
    assert len({table.digest for table in tables(context)}) == 1


@then('all of them count {count:d} crashes and let the request run')
def step_all_run(context, count):
    for table in tables(context):
        assert len(table.crashes_of(REQUEST)) == count
        assert not table.block(REQUEST, context.now_s)


@then('the request is blocked')
def step_blocked(context):
    assert context.gateways[0].block(REQUEST, context.now_s)


@then('the request may run')
def step_may_run(context):
    assert not context.gateways[0].block(REQUEST, context.now_s)


@then('no more than {count:d} requests are remembered')
def step_bounded(context, count):
    reports = context.gateways[0].reports(context.now_s)
    assert len({report.fingerprint for report in reports}) <= count


@then('tables that merge random records in any order are equal')
def step_any_order(context):
    for seed in range(200):
        rng = random.Random(seed)
        reports = [
            crash(
                f'r{rng.randrange(4)}',
                f'e{rng.randrange(5)}',
                age_s=rng.uniform(0, 5),
                is_cleared=rng.random() < 0.3,
            )
            for _ in range(30)
        ]
        digests = set()
        for _ in range(3):
            rng.shuffle(reports)
            table = CrashTable()
            for report in reports:
                table.merge((report,), START_S)
            digests.add(table.digest)
        assert len(digests) == 1, seed


def open_file(context, unix_s, now_s):
    """Load the records of a turn store that has started again."""
    context.store = CrashTable()
    context.file = CrashFile(context.folder / 'crashes', context.store)
    context.file.load(unix_s, now_s)


@given('a turn store that saves a request with {count:d} crashes')
def step_saved(context, count):
    folder = tempfile.TemporaryDirectory()
    context.closers.append(folder.cleanup)
    context.folder = Path(folder.name)
    open_file(context, UNIX_S, START_S)
    for number in range(count):
        age_s = (count - 1 - number) * ROUND_S
        report = crash(REQUEST, f'e{number}', age_s)
        context.store.merge((report,), START_S)
    context.run(context.file.save(UNIX_S, START_S))


@when('it starts again {duration:d} s later')
def step_restart(context, duration):
    # The monotonic clock starts again with the VM.
    context.now_s = 5.0
    open_file(context, UNIX_S + duration, context.now_s)


@when('its file is damaged and it starts again')
def step_damaged(context):
    (context.folder / 'crashes').write_bytes(b'damaged')
    open_file(context, UNIX_S, context.now_s)


@then('it blocks the request for {duration:d} s more')
def step_blocks_for(context, duration):
    assert context.store.block(REQUEST, context.now_s + duration - 1)
    assert not context.store.block(REQUEST, context.now_s + duration + 1)


@then('it blocks nothing')
def step_blocks_nothing(context):
    assert context.store.is_empty()


@given(
    '{gateways:d} gateways, {endpoints:d} endpoints and {culprits:d} culprits'
)
def step_simulation(context, gateways, endpoints, culprits):
    context.sizes = (gateways, endpoints, culprits)
    context.crash_interval_s = 0


@when('an endpoint crashes by itself every second')
def step_plain_crashes(context):
    context.crash_interval_s = 1.0


@when(
    '{programs:d} programs and the culprits send requests for {duration:d} s '
    'with seeds {first:d} to {last:d}'
)
def step_simulate(context, programs, duration, first, last):
    context.simulations = {}
    for seed in range(first, last + 1):
        simulation = CrashSimulation(
            *context.sizes, context.crash_interval_s, seed
        )
        simulation.run(programs, duration)
        context.simulations[seed] = simulation


@then('no request of a program was blocked')
def step_none_blocked(context):
    blocked = {
        seed: simulation.wrongly_blocked
        for seed, simulation in context.simulations.items()
        if simulation.wrongly_blocked
    }
    assert not blocked, blocked


@then('no culprit came back to more than 3 endpoints 3 s after its third crash')
def step_no_late(context):
    late = {
        seed: simulation.culprit_crashes_s
        for seed, simulation in context.simulations.items()
        if simulation.late_count() > 3
    }
    assert not late, late


def _merge_crashes(table, fingerprint, ages_s, now_s):
    reports = [
        crash(fingerprint, endpoint, age_s=age_s)
        for endpoint, age_s in ages_s.items()
    ]
    table.merge(reports, now_s)


@given('a request that is blocked for crashes of endpoints a, b and c')
def step_blocked_for_three(context):
    context.crash_table = CrashTable()
    _merge_crashes(context.crash_table, 'blocked', CRASH_AGES_S, START_S)
    assert context.crash_table.block('blocked', START_S).is_certain


@when(
    'another one turns out to have run there and at d, which crashed '
    '{delay_s:g} s later'
)
def step_other_blamed(context, delay_s):
    ages_s = {name: age_s + delay_s for name, age_s in CRASH_AGES_S.items()}
    _merge_crashes(
        context.crash_table, 'other', ages_s | {'d': 0}, START_S + delay_s
    )
    assert context.crash_table.block('other', START_S + delay_s).is_certain


@then(
    'the request stays refused, not for good, for {duration_s:d} s after them'
)
def step_stays_refused(context, duration_s):
    block = context.crash_table.block('blocked', START_S + 1)
    assert not block.is_certain
    assert block.until_s == START_S + duration_s, block
    assert context.crash_table.block('blocked', START_S + duration_s) is None


@when('it then crashes endpoint e')
def step_relapse(context):
    _merge_crashes(context.crash_table, 'blocked', {'e': 0}, START_S + 5)


@then('it is blocked for good')
def step_blocked_for_good(context):
    assert context.crash_table.block('blocked', START_S + 5).is_certain


@when('another one that ran at a and b crashes d {delay_s:g} s later')
def step_later_crash(context, delay_s):
    now_s = START_S + delay_s
    ages_s = {name: CRASH_AGES_S[name] + delay_s for name in ('a', 'b')}
    _merge_crashes(context.crash_table, 'other', ages_s, now_s)
    _merge_crashes(context.crash_table, 'other', {'d': 0}, now_s)


@then('the request stays blocked for good')
def step_stays_blocked(context):
    block = context.crash_table.block('blocked', START_S + 10)
    assert block is not None
    assert block.is_certain
