"""Steps of sharedstate/exchange.feature."""

import asyncio
import time
from contextlib import suppress

from behave import given, then, when

from rattanvalve.channels import Address
from rattanvalve.counters import Metrics
from rattanvalve.errors import PeerError
from rattanvalve.messages import Document
from rattanvalve.sharedstate.documents import DocumentBoard
from rattanvalve.sharedstate.exchange import EXCHANGED_KINDS, PeerExchange
from rattanvalve.sharedstate.members import StoreMember
from rattanvalve.sharedstate.reachability import ReachTable


class FakePeers:
    """Turn stores that answer with version 1 or refuse connections."""

    def __init__(self, *, is_answering):
        self.is_answering = is_answering
        self.call_count = 0

    async def call(self, address, message, timeout_s):
        """Answer a pull and count the call."""
        self.call_count += 1
        if not self.is_answering:
            raise PeerError('injected connection failure')
        return Document(kind=message.kind, version=1)


def create_exchange(context, count, *, is_answering):
    """Create the exchange of one process with a number of turn stores."""
    context.peers = FakePeers(is_answering=is_answering)
    context.reach = ReachTable()
    context.members = [
        StoreMember(f'm{number}', Address(f'h{number}', 1))
        for number in range(count)
    ]
    addresses = [member.address for member in context.members]
    context.board = DocumentBoard()
    context.exchange = PeerExchange(
        context.peers,
        lambda: addresses,
        context.board,
        Metrics(),
        context.reach,
    )


@given('{count:d} turn stores that answer')
def step_answering(context, count):
    create_exchange(context, count, is_answering=True)


@given('{count:d} turn stores that refuse connections')
def step_refusing(context, count):
    create_exchange(context, count, is_answering=False)


@given('a process that has their documents and has met them all')
def step_met(context):
    for kind in EXCHANGED_KINDS:
        context.board.offer(Document(kind=str(kind), version=1))
    for member in context.members:
        context.reach.record_answer(member.address, time.monotonic())


async def run_for(context, duration_s):
    """Run the exchange, then cancel it after a duration in seconds."""
    with suppress(TimeoutError):
        async with asyncio.timeout(duration_s):
            await context.exchange.run()


@when('a process exchanges documents with them for {duration_s:g} seconds')
def step_exchange(context, duration_s):
    context.run(run_for(context, duration_s))


@when('they answer for {duration_s:g} seconds')
def step_come_back(context, duration_s):
    context.peers.is_answering = True
    context.run(run_for(context, duration_s))


@then('it reaches most of them')
def step_reaches(context):
    assert context.reach.has_majority(context.members, time.monotonic())


@then('it has asked at most {count:d} times')
def step_asked(context, count):
    assert context.peers.call_count <= count, context.peers.call_count
