"""Steps of announcer.feature."""

import asyncio
from dataclasses import replace
from functools import partial
from unittest import mock

from behave import given, then, when

from rattanvalve.announcer import Announcer, AnnouncerParts
from rattanvalve.blackboard import Blackboard
from rattanvalve.channels import Address
from rattanvalve.counters import Metrics
from rattanvalve.messages import Ack, Announce, Document, Member, Pull, View
from rattanvalve.peer_server import PeerServer
from rattanvalve.peers import PeerPool

SECRET = b's' * 32
NOW_S = 100
AGE_MS = 3000


async def answer_announce(context, epoch, message, send):
    """Record an announcement and acknowledge it with the next rules."""
    context.announced.append(message)
    ack = Ack(epoch=epoch, confirmation_age_ms=AGE_MS)
    rules = context.rules.pop(0) if context.rules else {}
    await send(replace(ack, **rules))


async def answer_pull(epoch, message, send):
    """Send a view, encoded as its epoch only."""
    body = str(epoch).encode()
    await send(Document(kind='view', version=epoch, body=body))


@given('an entry with epoch {entry:d} and an announcer with epoch {own:d}')
def step_start(context, entry, own):
    context.announced = []
    context.rules = []
    context.queue_policies = []
    handlers = {
        Announce: partial(answer_announce, context, entry),
        Pull: partial(answer_pull, entry),
    }
    server = PeerServer(SECRET, handlers, Metrics())
    address = context.run(server.start(Address('127.0.0.1', 0)))
    context.closers.append(server.stop)
    context.board = Blackboard(view=View(epoch=own))
    context.confirmation = mock.Mock(age_s=lambda now_s: 50)
    parts = AnnouncerParts(
        pool=PeerPool(SECRET),
        board=context.board,
        confirmation=context.confirmation,
        seed_peers=(address,),
        load=Announce,
        adopt_view=partial(setattr, context.board, 'view'),
        decode_view=lambda raw: View(epoch=int(raw)),
        set_queue_policy=context.queue_policies.append,
        clock=lambda: NOW_S,
    )
    context.announcer = Announcer(Member(name='endpoint-a'), parts)


@when('the endpoint announces itself')
def step_announce(context):
    async def announce():
        await context.announcer.announce_now()

    context.run(announce())


@then('it has epoch {after:d} and {confirmed} confirmation')
def step_confirmed(context, after, confirmed):
    assert context.board.view.epoch == after
    # The age in the acknowledgement counts from before the call.
    expected = {'one': [mock.call(NOW_S - AGE_MS / 1000)], 'no': []}
    assert context.confirmation.confirm.mock_calls == expected[confirmed]


@when('a check succeeds, two checks fail and the endpoint leaves')
def step_changes(context):
    async def change():
        for is_good in (True, True, False, False, False):
            context.announcer.observe_health(is_good)
            await asyncio.gather(*context.announcer._rounds)
        await context.announcer.leave()

    context.run(change())


@then('the announcements are healthy, unhealthy and leaving')
def step_announced(context):
    found = [(a.is_healthy, a.is_leaving) for a in context.announced]
    assert found == [(True, False), (False, False), (False, True)], found


@when('its announcements are answered with these rules')
def step_rules(context):
    context.rules = [
        {'generation': int(row['generation']), 'queue_policy': row['policy']}
        for row in context.table
    ]
    for _ in context.table:
        step_announce(context)


@then('the queue policies {names} were taken')
def step_followed(context, names):
    assert context.queue_policies == names.split(), context.queue_policies
