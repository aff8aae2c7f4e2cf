"""Steps of the reports that endpoint processes send at the end of runs."""

from unittest import mock

from behave import given, then, when

from rattanvalve import finish_reports, outcomes
from rattanvalve.blackboard import Blackboard
from rattanvalve.channels import Address
from rattanvalve.counters import Metrics
from rattanvalve.messages import (
    Ack,
    Finish,
    Member,
    Refusal,
    Ticket,
    Usage,
    View,
)
from rattanvalve.peer_server import PeerServer
from rattanvalve.peers import PeerPool

SECRET = b's' * 32
TIMEOUT_S = 30
ANSWERS = {'Ack': Ack(), 'Refusal': Refusal(code=1407)}


@given('an owner that answers {answers} to reports')
def step_owner(context, answers):
    context.received = []
    remaining_answers = [ANSWERS[name] for name in answers.split()]

    async def answer(message, send):
        context.received.append(message)
        await send(remaining_answers.pop(0))

    server = PeerServer(SECRET, {Finish: answer}, Metrics())
    address = context.run(server.start(Address('127.0.0.1', 0)))
    context.closers.append(server.stop)
    owner = Member(name='entry-a', host=address.host, port=address.port)
    context.reports = finish_reports.FinishReports(
        PeerPool(SECRET),
        Blackboard(view=View(epoch=6, members=(owner,))),
        lambda view, workspace, shard: 'entry-a',
    )


@when('the end of a run is reported')
def step_report(context):
    async def report():
        ticket = Ticket(number='entry-a/x/1', owner='entry-a', epoch=5)
        usage = Usage(output_tokens=3)
        context.reports.send(ticket, outcomes.ANSWERED, usage)
        return await context.reports.tasks.wait_empty(TIMEOUT_S)

    with mock.patch.object(finish_reports, 'RETRY_PAUSES_S', (0.01,)):
        assert context.run(report())


@then('the owner got {count:d} reports with the usage')
def step_got(context, count):
    assert len(context.received) == count
    assert context.received[-1].usage == Usage(output_tokens=3)
    assert context.received[-1].epoch == 6


@then('the end of an old ticket is reported to its new owner, not the former')
def step_new_owner(context):
    board = context.reports._board
    former = Member(name='entry-z')
    members = (*board.view.members, former)
    board.view = View(epoch=6, members=members)
    for epoch, name in ((5, 'entry-a'), (6, 'entry-z')):
        ticket = Ticket(number='entry-z/x/1', owner='entry-z', epoch=epoch)
        assert context.reports._find_owner(ticket, False).name == name
