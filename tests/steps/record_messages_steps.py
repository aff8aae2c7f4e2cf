"""Steps of turnstore/turnstore.feature for messages with many records."""

import os
import shutil
import tempfile
from pathlib import Path
from unittest import mock

from behave import given, then

from rattanvalve.sharedstate.request_crashes import CrashTable
from rattanvalve.turn_messages import FetchRecords, FetchTurn, TurnRecord
from rattanvalve.turnstore.disklog import DiskLog
from rattanvalve.turnstore.endpointrates import EndpointRates
from rattanvalve.turnstore.rateshares import RateShares
from rattanvalve.turnstore.service import TurnService
from rattanvalve.turnstore.turnlog import TurnLog
from rattanvalve.wire import HEADER_BYTES, FrameSealer

SECRET = b's' * 32
MESSAGES_MAX = 100


@given('a store with a chain of {count:d} turns of {size:d} bytes')
def step_large_chain(context, count, size):
    folder = Path(tempfile.mkdtemp())
    context.closers.append(lambda: shutil.rmtree(folder))
    turn_log = TurnLog(DiskLog(folder))
    context.turn_ids = [f'turn-{number}' for number in range(count)]

    async def fill():
        previous = ''
        for turn_id in context.turn_ids:
            record = TurnRecord(
                turn_id=turn_id,
                program_id='p',
                previous_id=previous,
                prompt=os.urandom(size),
                retention_ms=60_000,
            )
            await turn_log.store(record)
            previous = turn_id

    context.run(fill())
    replica = mock.Mock(turn_log=turn_log)
    replica.authority.epoch.return_value = 1
    replica.authority.is_complete.return_value = True
    context.service = TurnService(
        replica, RateShares('m0'), EndpointRates('m0'), CrashTable()
    )


def answer(context, message):
    """Return the answer of the store, sent as a frame."""
    sent = []

    async def send(reply):
        frame = FrameSealer(SECRET, b'n', b's').seal(reply)
        body = frame[HEADER_BYTES:]
        sent.append(FrameSealer(SECRET, b'n', b's').open(body))

    context.run(context.service.handlers()[type(message)](message, send))
    return sent[0]


@then('another store fetches all records, in messages that can be sent')
def step_fetch_records(context):
    keys = tuple(f't:{turn_id}' for turn_id in context.turn_ids)
    records = []
    for _ in range(MESSAGES_MAX):
        batch = answer(context, FetchRecords(keys=keys))
        records.extend(batch.records)
        keys = keys[batch.key_count :]
        if not keys:
            break
    assert len(records) == len(context.turn_ids), len(records)


@then('a gateway fetches the whole chain, in messages that can be sent')
def step_fetch_chain(context):
    turn_id = context.turn_ids[-1]
    known = []
    while turn_id:
        turns = answer(context, FetchTurn(turn_id=turn_id)).turns
        assert turns, turn_id
        known.extend(turn.turn_id for turn in turns)
        turn_id = turns[-1].previous_id
    assert known == list(reversed(context.turn_ids)), known
