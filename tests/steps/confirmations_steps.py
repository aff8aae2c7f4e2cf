"""Steps of confirmations.feature."""

from behave import given, then

from rattanvalve.admission_mode import AdmissionMode
from rattanvalve.confirmations import (
    LEASE_S,
    STATEMENTS_MAX_S,
    Confirmation,
    age_to_ms,
)
from rattanvalve.errors import InvariantError
from rattanvalve.messages import Member, View
from rattanvalve.views import with_member

VIEW = View(
    epoch=4,
    members=(
        Member(name='a', role='entry'),
        Member(name='b', role='entry'),
        Member(name='e1', role='endpoint'),
    ),
)


def restart_b(confirmation, host):
    """Set a view with a new incarnation of entry b at an address."""
    entry = Member(name='b', role='entry', incarnation='2', host=host)
    confirmation.set_view(with_member(VIEW, entry, 'change'), 'a', 2)


@given('a confirmed entry')
def step_confirmed(context):
    context.confirmation = Confirmation()
    context.confirmation.set_view(VIEW, 'a', 0)
    context.confirmation.confirm(0)


@then('its mode {age_s:g} s after the store read is {mode}')
def step_mode(context, age_s, mode):
    assert context.confirmation.mode(age_s) is AdmissionMode[mode]


@then('only recent statements of all entries keep it confirmed')
def step_statements(context):
    confirmation = context.confirmation
    table = (
        # Entry, stated epoch, time of the statement, later time, mode then.
        ('a', 4, 100, 101, AdmissionMode.HALF),
        ('b', 3, 100, 101, AdmissionMode.HALF),
        ('b', 4, 95, 101, AdmissionMode.FULL),
        ('b', 4, 95, 95 + LEASE_S, AdmissionMode.HALF),
        ('b', 4, 200, 201, AdmissionMode.HALF),
        ('a', 4, 200, 201, AdmissionMode.FULL),
        (
            'a',
            4,
            STATEMENTS_MAX_S + 50,
            STATEMENTS_MAX_S + 51,
            AdmissionMode.HALF,
        ),
        (
            'b',
            4,
            STATEMENTS_MAX_S + 50,
            STATEMENTS_MAX_S + 51,
            AdmissionMode.HALF,
        ),
    )
    for name, epoch, stated_at_s, now_s, mode in table:
        confirmation.record_statement(name, epoch, stated_at_s)
        assert confirmation.mode(now_s) is mode, (name, epoch, now_s)


@then('a hold ends by seals, a confirmed entry, restarts, or time')
def step_hold(context):
    confirmation = context.confirmation
    endings = (
        (lambda: confirmation.record_sealed('e1', 5), AdmissionMode.FULL),
        (lambda: confirmation.record_sealed('e1', 4), AdmissionMode.NONE),
        (confirmation.end_hold, AdmissionMode.FULL),
        (lambda: restart_b(confirmation, host='other'), AdmissionMode.NONE),
        (lambda: restart_b(confirmation, host=''), AdmissionMode.FULL),
    )
    for end, mode in endings:
        confirmation.begin_hold(VIEW, VIEW.members[1:2], 1)
        assert confirmation.mode(2) is AdmissionMode.NONE
        end()
        assert confirmation.mode(2) is mode
    confirmation.begin_hold(VIEW, VIEW.members[1:2], 0)
    for now_s, mode in ((3909, 'NONE'), (3910, 'HALF'), (7810, 'FULL')):
        confirmation.confirm(now_s)
        assert confirmation.mode(now_s) is AdmissionMode[mode], now_s


@then('a view of an older epoch violates an invariant')
def step_older(context):
    try:
        context.confirmation.set_view(View(epoch=3), 'a', 1)
    except InvariantError:
        return
    raise AssertionError('the epoch decreased')


@then('an age of 1.0001 s is sent as 1001 ms')
def step_rounded(context):
    assert age_to_ms(1.0001) == 1001
