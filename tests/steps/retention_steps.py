"""Steps of turnstore/retention.feature."""

import itertools
import shutil
import tempfile
import time
from pathlib import Path
from unittest import mock

from behave import given, then, when

from rattanvalve.channels import Address
from rattanvalve.counters import Counter, Metrics
from rattanvalve.gateway.turn_client import TurnClient
from rattanvalve.platform.nodefile import NodeSettings
from rattanvalve.sharedstate.members import StoreMember
from rattanvalve.sharedstate.rules import TrafficRules
from rattanvalve.turn_messages import TurnChain, TurnRecord
from rattanvalve.turnstore.authority import Authority
from rattanvalve.turnstore.disklog import Location
from rattanvalve.turnstore.memberstate import MemberState
from rattanvalve.turnstore.recordindex import RecordIndex
from rattanvalve.turnstore.replica import Replica
from rattanvalve.turnstore.turnrecords import (
    RETENTION_MARGIN_S,
    LogRecord,
    retention_max_ms,
)
from tests.member_lists import single_set_view
from tests.quiet_logs import quiet_logs
from tests.retention_simulation import (
    losses_in_turn,
    play_pauses,
    random_faults,
)

LOST_DISKS_MAX = 1
RETENTION_S = 60
TURN_INTERVAL_S = 50
LOCATION = Location(1, 0, 10)
NOW_S = 100.0
#: Two disks are lost while the second turns of the programs are stored, the
#: third one when the retention of the first turns alone would have ended.
LOSS_TIMES_S = (50.0, 58.0, 88.0)
SCHEDULE_SEED = 1


def turn(turn_id, previous_id=''):
    """Create the record of a turn."""
    return TurnRecord(
        turn_id=turn_id,
        program_id='p',
        previous_id=previous_id,
        retention_ms=RETENTION_S * 1000,
    )


@given('a chain of {count:d} turns, each written 50 s after the one before')
def step_chain(context, count):
    names = 'abcdefgh'[:count]
    context.records = [
        LogRecord(number * TURN_INTERVAL_S * 1000, turn(turn_id, previous_id))
        for number, (previous_id, turn_id) in enumerate(
            zip(('', *names), names, strict=False)
        )
    ]
    context.end_s = context.records[-1].expires_s()


def stored_count(index, context):
    """Count the turns of the chain that are stored."""
    return sum(
        record.message.turn_id in index.turns for record in context.records
    )


@then('in each order of arrival all of it is stored until the newest expires')
def step_orders(context):
    for order in itertools.permutations(context.records):
        index = RecordIndex()
        for record in order:
            index.merge(record, LOCATION)
        index.sweep(context.end_s - 1)
        assert stored_count(index, context) == len(order), order
        assert not index.turns.missing_ids, order
        index.sweep(context.end_s + 1)
        assert not stored_count(index, context), order


@then(
    'a turn that arrives after its own expiry is stored as long as the others'
)
def step_late(context):
    first, *later = context.records
    index = RecordIndex()
    for record in reversed(later):
        index.merge(record, LOCATION)
    index.sweep(first.expires_s() + 1)
    assert set(index.turns.missing_ids) == {first.message.turn_id}
    index.merge(first, LOCATION)
    index.sweep(context.end_s - 1)
    assert stored_count(index, context) == len(context.records)


@given('a store and a gateway with a turn that continues itself')
def step_circle(context):
    open_circle(context, {'a': 'a'})


@given('a store and a gateway with two turns that continue each other')
def step_longer_circle(context):
    open_circle(context, {'a': 'b', 'b': 'a'})


def open_circle(context, previous_ids):
    """Create an index and a gateway's client of a store with these turns."""
    records = [turn(*item) for item in previous_ids.items()]
    context.index = RecordIndex()
    for record in records:
        context.index.merge(LogRecord(0, record), LOCATION)

    async def call(member, message, answer_class, timeout_s):
        return TurnChain(is_complete=True, turns=tuple(records), epoch=1)

    calls = mock.Mock(lost_disks_max=0, call=call, view=lambda: view_of('a'))
    calls.reach.nearest_first = lambda members, zone: list(members)
    context.client = TurnClient(calls, 'z')


@then('both find its chain of {count:d} turn')
@then('both find its chain of {count:d} turns')
def step_circle_found(context, count):
    assert len(context.index.turns.find_chain('a')) == count
    chain = context.run(context.client.fetch('a', 'p', 1))
    assert len(chain) == count


@then(
    'every turn can be continued if {count:d} stores lose their disks in turn'
)
def step_losses(context, count):
    schedule = losses_in_turn(*LOSS_TIMES_S)
    with quiet_logs():
        findings = play_pauses(SCHEDULE_SEED, schedule, count)
    assert not findings, findings


@then('every turn of {count:d} stores can be continued with seed {seed:d}')
def step_faults(context, count, seed):
    schedule = random_faults(seed)
    with quiet_logs():
        findings = play_pauses(seed, schedule, count)
    assert not findings, (schedule, findings)


def new_folder(context):
    """Create a folder that is removed after the scenario."""
    folder = Path(tempfile.mkdtemp())
    context.closers.append(lambda: shutil.rmtree(folder))
    return folder


def view_of(names):
    """Create a list of members with one set."""
    members = [StoreMember(name, Address('h', 1)) for name in names]
    return single_set_view(members)


def create_authority(context, names):
    """Create the authority of store a."""
    view = view_of(names)
    state = MemberState(new_folder(context) / 'membership')
    return state, Authority('a', state, lambda: view, LOST_DISKS_MAX)


@then('stores a, b and c know all records until the times below')
def step_until(context):
    state, authority = create_authority(context, 'abc')
    for row in context.table:
        state.update(is_intact=row['intact'] == 'yes')
        read_s = {
            name: float(row[f'a read {name} at'])
            for name in 'bc'
            if row[f'a read {name} at']
        }
        until_s = authority.complete_until_s(read_s, NOW_S)
        assert until_s == float(row['until']), (row, until_s)


@then('a store alone in its list knows all records until now')
def step_alone(context):
    state, authority = create_authority(context, 'a')
    state.update(is_intact=True)
    assert authority.complete_until_s({}, NOW_S) == NOW_S


def create_replica(context):
    """Create the replica of store a, which has not read store b and c."""
    folder = new_folder(context)
    (folder / 'turns').mkdir()
    node = mock.create_autospec(NodeSettings, instance=True)
    node.configure_mock(
        name='a',
        data_folder=folder,
        lost_disks_max=LOST_DISKS_MAX,
        is_first_start=True,
    )
    context.metrics = Metrics()
    state = mock.Mock(
        view=view_of('abc'),
        rules=TrafficRules(version=1),
        metrics=context.metrics,
    )
    context.replica = Replica(node, state, mock.Mock())
    context.replica.load()
    context.closers.append(context.replica.turn_log.close)


@given('a replica that has read no other member, with an expired turn')
def step_unread(context):
    create_replica(context)
    context.run(context.replica.turn_log.store(turn('a')))


@then('the turn is removed once no record could extend it any more')
def step_removed(context):
    expires_s = time.time() + RETENTION_S + RETENTION_MARGIN_S
    extended_s = retention_max_ms(TrafficRules(version=1)) / 1000
    turns = context.replica.turn_log.index.turns
    context.replica.sweep(expires_s + extended_s - 1)
    assert 'a' in turns
    context.replica.sweep(expires_s + extended_s + 1)
    assert 'a' not in turns


@given('a complete replica with a turn whose predecessor is missing')
def step_gap(context):
    create_replica(context)
    context.replica.member_state.update(sealed_epoch=1, complete_epoch=1)
    context.run(context.replica.turn_log.store(turn('b', 'a')))


@when('it sweeps')
def step_sweep(context):
    context.log = mock.Mock()
    with mock.patch('rattanvalve.turnstore.replica._log', context.log):
        context.replica.sweep(time.time())


@then('the gap is counted and logged')
def step_gap_told(context):
    assert context.metrics.counts[Counter.TURN_PREDECESSOR_MISSING] == 1
    context.log.warning.assert_called_once()
    extra = context.log.warning.call_args.kwargs['extra']
    assert extra['missing'] == 1
    assert extra['example'] == 'a'
