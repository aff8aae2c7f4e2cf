"""Steps of turnstore/turnstore.feature for listings for other members."""

import shutil
import tempfile
from pathlib import Path
from unittest import mock

from behave import given, then

from rattanvalve.channels import Address
from rattanvalve.sharedstate.members import (
    StoreMember,
    replica_group,
)
from rattanvalve.sharedstate.request_crashes import CrashTable
from rattanvalve.turn_messages import ListRecords, Reserve
from rattanvalve.turnstore.authority import Authority
from rattanvalve.turnstore.disklog import DiskLog
from rattanvalve.turnstore.endpointrates import EndpointRates
from rattanvalve.turnstore.memberstate import MemberState
from rattanvalve.turnstore.placement import RecordPlacement
from rattanvalve.turnstore.rateshares import RateShares
from rattanvalve.turnstore.service import TurnService
from rattanvalve.turnstore.turnlog import TurnLog
from tests.member_lists import single_set_view

LOST_DISKS_MAX = 1
EPOCH = 5


@given(
    '{count:d} members and a store with the records of {programs:d} programs'
)
def step_store(context, count, programs):
    folder = Path(tempfile.mkdtemp())
    context.closers.append(lambda: shutil.rmtree(folder))
    turn_log = TurnLog(DiskLog(folder))
    context.programs = [f'p{number}' for number in range(programs)]
    context.members = tuple(
        StoreMember(f'm{number}', Address(f'h{number}', 1))
        for number in range(count)
    )

    async def fill():
        for program in context.programs:
            reserve = Reserve(
                program_id=program,
                turn_id=program,
                retention_ms=60_000,
            )
            await turn_log.store(reserve)

    context.run(fill())
    view = single_set_view(context.members, EPOCH)
    state = MemberState(folder / 'membership')
    replica = mock.Mock(
        turn_log=turn_log,
        authority=Authority('m0', state, lambda: view, LOST_DISKS_MAX),
        placement=RecordPlacement(lambda: view, LOST_DISKS_MAX),
    )
    context.service = TurnService(
        replica,
        RateShares('m0'),
        EndpointRates('m0'),
        CrashTable(),
    )


def list_programs(context, name, epoch):
    """Return the programs listed for a member over all pages, in order."""
    pages = []

    async def collect(answer):
        pages.append(answer)

    async def read():
        after = 0
        while not (pages and pages[-1].is_end):
            message = ListRecords(
                member=name,
                after=after,
                epoch=epoch,
            )
            await context.service._list_records(message, collect)
            after = pages[-1].next_after

    with mock.patch('rattanvalve.turnstore.service.LIST_COUNT', 7):
        context.run(read())
    return [key.program_id for page in pages for key in page.keys]


@then(
    'each member is listed the keys of its programs only, and all in pages',
)
def step_own(context):
    for requester in context.members:
        expected = [
            program
            for program in context.programs
            if requester
            in replica_group(program, context.members, LOST_DISKS_MAX)
        ]
        assert list_programs(context, requester.name, EPOCH) == expected, (
            requester
        )


@then('a member that knows other members is listed all keys')
def step_other_version(context):
    assert list_programs(context, 'm1', EPOCH - 1) == context.programs
