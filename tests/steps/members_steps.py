"""Steps of turnstore/members.feature."""

import shutil
import tempfile
from dataclasses import replace
from pathlib import Path

from behave import given, then, when

from rattanvalve.channels import Address
from rattanvalve.sharedstate.members import (
    MemberSet,
    MembersView,
    StoreMember,
    replica_names,
)
from rattanvalve.sharedstate.request_crashes import CrashTable
from rattanvalve.turn_messages import Reserve
from rattanvalve.turnstore import memberplans
from rattanvalve.turnstore.authority import Authority, is_caught_up
from rattanvalve.turnstore.endpointrates import EndpointRates
from rattanvalve.turnstore.memberstate import MemberState
from rattanvalve.turnstore.rateshares import RateShares
from rattanvalve.turnstore.replication import PullState
from rattanvalve.turnstore.service import TurnService
from tests.member_lists import single_set_view
from tests.membership_simulation import Event, play, random_schedule
from tests.quiet_logs import quiet_logs

LOST_DISKS_MAX = 1
CHANGE_S = 4.0
ADDING_SEEDS = (1, 2, 3)
AWAY_S = 6.0
RETENTION_MS = 100_000
SILENT_S = memberplans.UNRESPONSIVE_TIMEOUT_S + 1


def check(seed, schedule, is_placed=bool):
    """Play a schedule; no rule may be broken."""
    with quiet_logs():
        findings = play(seed, schedule, is_placed)
    assert not findings, (seed, findings, schedule)


@then(
    'no turn is denied if one of 3 stores misses turns, one is emptied and one'
    ' stays away'
)
def step_behind(context):
    for index in range(3):
        check(index + 1, [Event(CHANGE_S, 'behind', index, AWAY_S)])


def is_placed_on_added(program):
    """Return whether only the added stores keep a program in the end."""
    names = [f'store-{number}' for number in range(1, 7)]
    group = replica_names(program, names, LOST_DISKS_MAX)
    return set(group) == {'store-4', 'store-5', 'store-6'}


@then('no turn is denied and no budget exceeded if three stores are added')
def step_add(context):
    for seed in ADDING_SEEDS:
        check(seed, [Event(CHANGE_S, 'add three', 0, 0)], is_placed_on_added)


@then('nothing is denied or exceeded under random changes with seed {seed:d}')
def step_random(context, seed):
    check(seed, random_schedule(seed))


def member(name):
    """Create a member."""
    return StoreMember(name, Address('h', 1))


def view_of(text, ended_ms=0):
    """Create a list from sets like ``a b c, b c``."""
    parts = [frozenset(part.split()) for part in text.split(',')]
    sets = [
        MemberSet(epoch, names, ended_ms if epoch < len(parts) else 0)
        for epoch, names in enumerate(parts, start=1)
    ]
    names = sorted(frozenset().union(*parts))
    return MembersView(tuple(map(member, names)), tuple(sets))


@given(
    'the sets "{first}" and "{second}" of members, of which the second is new'
)
def step_sets(context, first, second):
    context.view = view_of(f'{first}, {second}')


@then('with one loss allowed, a store is caught up with them as follows')
def step_caught_up(context):
    for row in context.table:
        read = row['read'].split()
        has_caught_up = is_caught_up(
            row['store'],
            context.view,
            read.__contains__,
            LOST_DISKS_MAX,
            is_intact=row['intact'] == 'yes',
        )
        assert has_caught_up == (row['caught up'] == 'yes'), row


def open_store(context):
    """Create the authority of store b on a folder of its own."""
    if not hasattr(context, 'folder'):
        context.folder = Path(tempfile.mkdtemp())
        context.closers.append(lambda: shutil.rmtree(context.folder))
    context.state = MemberState(context.folder / 'membership')
    context.authority = Authority(
        'b', context.state, lambda: context.view, LOST_DISKS_MAX
    )


@given('store b, which was complete with the first set')
def step_complete(context):
    open_store(context)
    context.state.update(is_intact=True, complete_epoch=1)


@then('it counts for a program of a, b and c, which b, c and d keep now')
def step_counts(context):
    names = context.view.current_names
    assert set(replica_names('p', names, LOST_DISKS_MAX)) == names
    assert context.authority.is_complete_for('p')


@then('it does not deny turns, as they may be of another program')
def step_no_denial(context):
    assert not context.authority.is_complete()


@then('after it has lost its disk it counts for none')
def step_lost(context):
    (context.folder / 'membership').unlink()
    open_store(context)
    assert not context.authority.is_complete_for('p')


@when('it loses its disk at {at_s:d} s and records are kept for {kept_s:d} s')
def step_lose_disk(context, at_s, kept_s):
    (context.folder / 'membership').unlink()
    open_store(context)
    context.state.update(began_ms=at_s * 1000)
    context.kept_ms = kept_s * 1000


@then('it is not intact at {early_s:d} s and intact at {late_s:d} s')
def step_intact(context, early_s, late_s):
    context.authority.expire_loss(early_s * 1000, context.kept_ms)
    assert not context.authority.is_intact
    context.authority.expire_loss(late_s * 1000, context.kept_ms)
    assert context.authority.is_intact


class SlowLog:
    """Log of records whose writes can be held up."""

    def __init__(self):
        self.stored = []
        self.before_end = None

    async def store(self, message):
        """Keep a record."""
        self.stored.append(message.turn_id)
        if self.before_end is not None:
            self.before_end()

    def ledger_entries(self, program_id):
        """Return that nothing is known."""
        return ()


class FakeReplica:
    """Records and authority of a store."""

    placement = None

    def __init__(self, context):
        self.turn_log = SlowLog()
        self.authority = context.authority


def open_service(context):
    """Create the service of store b with an empty log."""
    open_store(context)
    context.replica = FakeReplica(context)
    context.service = TurnService(
        context.replica, RateShares('b'), EndpointRates('b'), CrashTable()
    )


@given('store b with a list of epoch {epoch:d}')
def step_store(context, epoch):
    context.view = single_set_view([member('a'), member('b')], epoch)
    open_service(context)
    context.state.update(is_intact=True, complete_epoch=epoch)


def reserve(context, turn_id, epoch):
    """Send a reservation; return the answer."""
    answers = []

    async def send(answer):
        answers.append(answer)

    message = Reserve(program_id='p', turn_id=turn_id, epoch=epoch)
    context.run(context.service.handlers()[Reserve](message, send))
    return answers[0]


@then('a record that was sent with epoch 1 or 3 is refused and not stored')
def step_refused(context):
    for epoch in (1, 3):
        answer = reserve(context, 'refused', epoch)
        assert not answer.is_complete, epoch
    assert not context.replica.turn_log.stored


@then('one that was sent with epoch 2 is stored')
def step_stored(context):
    answer = reserve(context, 'sent', 2)
    assert answer.is_complete and answer.epoch == 2, answer
    assert context.replica.turn_log.stored == ['sent']


@then('one whose write ends after the next epoch has begun does not count')
def step_late(context):
    def begin_next_epoch():
        context.view = single_set_view([member('a'), member('b')], 3)

    context.replica.turn_log.before_end = begin_next_epoch
    answer = reserve(context, 'late', 2)
    assert not answer.is_complete and answer.epoch == 3, answer


@when('it has answered, and starts again with a list of epoch 1')
def step_restart(context):
    assert reserve(context, 'sent', 2).is_complete
    context.view = replace(
        context.view, sets=(replace(context.view.sets[0], epoch=1),)
    )
    open_service(context)


def change(view, event):
    """Return the list after an event, or ``None`` if it stays."""
    words = event.replace(' are ', ' is ').split()
    if words[-1] == 'joins':
        return memberplans.join_members(
            view, [member(words[0])], 1, LOST_DISKS_MAX, is_first_start=False
        )
    if words[-1] == 'leaves':
        return memberplans.leave(view, words[0], 1)
    if words[-1] == 'complete':
        return memberplans.settle(view, set(words[:-2]), LOST_DISKS_MAX)
    if words[-1] == 'silent':
        pulled = {name: PullState(silent_s=SILENT_S) for name in words[:-2]}
        return memberplans.remove_unresponsive(view, pulled, 1, LOST_DISKS_MAX)
    now_ms = int(words[0]) * 1000 + 1
    return memberplans.expire_sets(view, now_ms, RETENTION_MS)


@then('the list of members changes as follows')
def step_changes(context):
    for row in context.table:
        changed = change(view_of(row['sets']), row['event'])
        sets = changed.sets if changed else ()
        result = ', '.join(' '.join(sorted(item.names)) for item in sets)
        assert result == row['result'], (row, result)
        names = {name for item in sets for name in item.names}
        listed = {found.name for found in changed.members} if changed else set()
        assert listed == names, row
