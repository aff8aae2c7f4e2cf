"""Steps of records.feature."""

from functools import partial
from unittest import mock

from behave import given, then, when

from rattanvalve import outcomes, records
from rattanvalve.messages import Head, Refusal, Settle, Ticket, Usage, View
from rattanvalve.records import RETENTION_S, RecordStore
from rattanvalve.responsestore import ResponseStore
from rattanvalve.resultcodes import ResultCode, result_code_info
from rattanvalve.ticketnumbers import TicketHighWaterMarks
from tests.randomised import finds_fault, run_sequences

OWNERS = ('entry-a', 'entry-b')
MAX_BODY_BYTES = 300


def owner_of(view, workspace, shard):
    """Return the first entry for shard 0 and the second for shard 1."""
    return OWNERS[shard]


def ticket(number, epoch=5, incarnation='inc-a', shard=0):
    """Build a ticket of the issuer ``entry-a/x``."""
    return Ticket(
        number=f'entry-a/x/{number}',
        epoch=epoch,
        endpoint_incarnation=incarnation,
        workspace='north',
        shard=shard,
    )


def settle(book, number, incarnation='inc-a', now_s=0):
    """Settle a ticket number and return the answer."""
    return book.settle(
        Settle(number=f'entry-a/x/{number}', endpoint_incarnation=incarnation),
        now_s,
    )


def answer(book, number, body=b'body', now_s=0):
    """Accept a ticket number and complete its record with a response."""
    delivered = ticket(number)
    assert book.accept(delivered, now_s) is None
    book.mark_dispatched(delivered.number)
    book.start(delivered.number, Head(http_status=200))
    book.append(delivered.number, body)
    book.complete(delivered.number, outcomes.ANSWERED, Usage(), now_s)


def forget(book, number):
    """Complete the record of a number and expire it."""
    answer(book, number)
    book.expire(RETENTION_S)


EARLIER = {
    'untouched': lambda book, number: None,
    'accepted': lambda book, number: book.accept(ticket(number), 0),
    'settled': settle,
    'answered': answer,
    'forgotten': forget,
}


@given('a record book that has seen epoch 5')
def step_book(context):
    context.book = RecordStore('endpoint-a', 'inc-a', owner_of)
    context.book.observe_epoch(5)


@given('a record book with room for {room:d} bytes')
def step_small_book(context, room):
    store = ResponseStore(max_total_bytes=room)
    context.book = RecordStore('endpoint-a', 'inc-a', owner_of, store)


@when('number 1 is {earlier:w}')
def step_earlier(context, earlier):
    EARLIER[earlier](context.book, 1)


@then('a run of number {number:d} with epoch {epoch:d} for {inc} gives {code}')
def step_run(context, number, epoch, inc, code):
    refusal = context.book.accept(ticket(number, epoch, inc), 1)
    assert (refusal or Refusal()).code == ResultCode[code], refusal
    if code == 'STALE_EPOCH':
        assert refusal.epoch == context.book.newest_epoch


@then('settling number 1 for {incarnation} gives {outcome}')
def step_settle(context, incarnation, outcome):
    settled = settle(context.book, 1, incarnation)
    assert settled.outcome == outcome
    assert settled.body == {'answered': b'body'}.get(outcome, b'')


@when('number 1 is answered with 6 bytes and number 2 with 6 bytes')
def step_two(context):
    for number in (1, 2):
        answer(context.book, number, b'6bytes')


@then('number 1 has {first} and number 2 has {second}')
def step_bodies(context, first, second):
    for number, state in ((1, first), (2, second)):
        settled = settle(context.book, number)
        assert settled.outcome == outcomes.ANSWERED
        assert (settled.body == b'6bytes') == (state == 'body')
        assert (b'1505' in settled.body) == (state == 'evicted')
        assert settled.http_status == {'body': 200, 'evicted': 410}[state]


@when('shard 0 and shard 1 have a record and entry-b seals epoch 6')
def step_seal(context):
    for shard in (0, 1):
        context.book.accept(ticket(shard, shard=shard), 0)
    settle(context.book, 3)
    context.sealed = context.book.seal(View(epoch=6), 'entry-b', 2)


@then('only the record of shard 1 is reported')
def step_reported(context):
    assert len(context.sealed.records) == 1
    summary = context.sealed.records[0]
    assert summary.ticket == ticket(1, shard=1)
    assert (summary.outcome, summary.age_ms) == (outcomes.RUNNING, 2000)


@then('sealing epoch 5 gives STALE_EPOCH')
def step_stale_seal(context):
    refusal = context.book.seal(View(epoch=5), 'entry-a', 3)
    assert refusal.code == ResultCode.STALE_EPOCH


@when('more records complete than the bound')
def step_many(context):
    with mock.patch.object(records, 'MAX_RECORD_COUNT', 5):
        for number in range(6):
            answer(context.book, number, now_s=number)


@then('the oldest is settled as unknown and cannot run')
def step_oldest(context):
    assert len(context.book.records) == 5
    assert settle(context.book, 0).outcome == outcomes.UNKNOWN
    code = context.book.accept(ticket(0), 9).code
    assert code == ResultCode.OUTCOME_UNKNOWN


class ExpectedRecords:
    """Expected state of each ticket number, as an observer would record it."""

    def __init__(self, book):
        self.book = book
        self.now_s = 0
        self.newest_epoch = 0
        self.ran = set()
        self.void = set()
        self.bodies = {}

    def accept(self, first, second):
        """Deliver a run; numbers repeat, so many runs are duplicates."""
        delivered = ticket(first % 25, epoch=self.newest_epoch + second % 4 - 1)
        refusal = self.book.accept(delivered, self.now_s)
        if refusal is None:
            assert delivered.number not in self.ran | self.void
            assert delivered.epoch >= self.newest_epoch
            self.newest_epoch = delivered.epoch
            self.ran.add(delivered.number)
            self.bodies[delivered.number] = b''
        elif delivered.number in self.ran:
            assert not result_code_info(refusal.code).was_not_run

    def settle(self, first, second):
        """Settle a number and compare the answer with its expected state."""
        settled = settle(self.book, first % 25, now_s=self.now_s)
        if settled.outcome == outcomes.NOT_RUN:
            assert settled.number not in self.ran
            self.void.add(settled.number)
        if settled.outcome == outcomes.ANSWERED:
            assert settled.number in self.ran
            expected = self.bodies[settled.number]
            assert settled.http_status == 410 or settled.body == expected

    def advance(self, first, second):
        """Perform the next step of a running request."""
        running = [
            record
            for record in self.book.records.values()
            if record.outcome == outcomes.RUNNING
        ]
        if not running:
            return
        record = running[first % len(running)]
        number = record.ticket.number
        if not record.is_handed_over:
            self.book.mark_dispatched(number)
            self.book.start(number, Head(http_status=200))
        elif second % 3:
            self.bodies[number] += bytes(second % 200)
            self.book.append(number, bytes(second % 200))
        else:
            self.book.complete(number, outcomes.ANSWERED, Usage(), self.now_s)

    def pass_time(self, first, second):
        """Advance the time and expire records."""
        self.now_s += first % 400
        self.book.expire(self.now_s)

    def check_bytes(self):
        """Compare the counted bytes with the sizes of the bodies."""
        total = sum(len(record.body) for record in self.book.records.values())
        assert total == self.book._responses.total_bytes
        assert total <= 2 * MAX_BODY_BYTES


def check_book(steps, break_book=None):
    """Run one sequence of steps against the expected state."""
    store = ResponseStore(MAX_BODY_BYTES, 2 * MAX_BODY_BYTES)
    expected_records = ExpectedRecords(
        RecordStore('endpoint-a', 'inc-a', owner_of, store)
    )
    if break_book:
        break_book(expected_records.book)
    actions = (
        expected_records.accept,
        expected_records.settle,
        expected_records.advance,
    )
    for action, first, second in steps:
        if action > 90:
            expected_records.pass_time(first, second)
        else:
            actions[action % 3](first, second)
        expected_records.check_bytes()


def without_marks(book):
    """Break the book: evicted numbers leave no mark."""
    book._high_water_marks = mock.Mock(
        spec=TicketHighWaterMarks, is_new=lambda number: True
    )


def without_refusal(book):
    """Break the book: settling a number as not run leaves no record."""
    original = book.settle

    def broken(message, now_s):
        settled = original(message, now_s)
        if settled.outcome == outcomes.NOT_RUN:
            book._completed.discard(settled.number)
            book.records.pop(settled.number)
        return settled

    book.settle = broken


def without_epoch(book):
    """Break the book: newer epochs are not recorded."""
    book.observe_epoch = lambda epoch: None


def without_count(book):
    """Break the book: bytes of bodies are not counted."""
    book._responses.append = lambda record, part: record.body.extend(part)


FAULTS = {
    'no mark of forgotten ones': without_marks,
    'no refusal after settling': without_refusal,
    'no check of the epoch': without_epoch,
    'bytes that are not counted': without_count,
}


@then('random sequences find no fault in the record book')
def step_no_fault(context):
    run_sequences(check_book)


@then('random sequences find a record book with {fault}')
def step_fault(context, fault):
    assert finds_fault(partial(check_book, break_book=FAULTS[fault]))
