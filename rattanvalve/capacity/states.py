"""State of entry and endpoint processes, filled for measurements."""

import json

from rattanvalve import outcomes, routing, views
from rattanvalve.actmode import ActMode
from rattanvalve.capacity.samples import (
    EVENT,
    EVENT_COUNT,
    SERVICE,
    Shape,
    announce,
    begin,
    config_document,
    finish,
    sample_catalog,
    sample_view,
    ticket,
)
from rattanvalve.endpointstate import SLOW_START_S
from rattanvalve.inventory import Config, parse_config
from rattanvalve.loads import EndpointLoads
from rattanvalve.messages import Begin, Finish, Head, Header, View
from rattanvalve.ownercontext import OwnerContext, Wait
from rattanvalve.ownership import Owner
from rattanvalve.records import RecordBook

__all__ = (
    'OwnedCell',
    'add_record',
    'begin_of_turn',
    'fill_book',
    'loads_of',
    'make_book',
    'parse_sample',
    'run_turn',
)

#: Time between two requests, in which the sample rate admits some.
_STEP_S = 0.01
_HEADERS = (
    Header(name='Content-Type', content='text/event-stream'),
    Header(name='Date', content='Fri, 04 Dec 2026 03:00:00 GMT'),
)


def parse_sample(shape: Shape) -> Config:
    """Parse a sample document as a process that pulled it does.

    :param shape: numbers of workspaces and keys.
    :returns: configuration.
    """
    return parse_config(json.dumps(config_document(shape)).encode()).unwrap()


def loads_of(view: View) -> EndpointLoads:
    """Fill the endpoint loads with one report of each endpoint.

    :param view: view of the cell.
    :returns: loads.
    """
    loads = EndpointLoads()
    loads.set_view(view)
    for member in views.endpoints_of(view):
        # The slow start is over.
        loads.report(announce(member), -SLOW_START_S)
        loads.report(announce(member), 0)
    return loads


class OwnedCell:
    """An owner of all shards of a cell with one entry.

    :param endpoint_count: endpoints, all of one service.
    :param shape: configuration.
    """

    def __init__(self, endpoint_count: int, shape: Shape) -> None:
        self.view = sample_view(endpoint_count, entry_count=1)
        self.loads = loads_of(self.view)
        self.now_s: float = 0
        self.owner = Owner('entry-00', '0123456789abcdef')
        self.context = OwnerContext(
            catalog=sample_catalog(parse_sample(shape)),
            view=self.view,
            mode=ActMode.FULL,
            place=self._place,
            owner_of=views.owner_of,
        )

    def _place(self, request: routing.PlacementRequest, _now_s: float):
        # Reports do not age here, so that no endpoint becomes silent.
        candidates = self.loads.candidates(SERVICE, frozenset(), 0)
        return routing.place(request, 'affinity', candidates, 0)


def run_turn(cell: OwnedCell, asked: Begin) -> None:
    """Begin and finish one request.

    :param cell: owner and its context.
    :param asked: request.
    """
    given = cell.owner.begin(asked, cell.context, cell.now_s)
    while isinstance(given, Wait):
        # A new shard starts with an empty bucket.
        cell.now_s += _STEP_S
        given = cell.owner.begin(asked, cell.context, cell.now_s)
    cell.now_s += _STEP_S
    cell.loads.started(given.endpoint)
    cell.owner.finish(
        Finish(
            number=given.number,
            workspace=asked.workspace,
            program_id=asked.program_id,
            outcome=outcomes.ANSWERED,
            usage=finish(0).usage,
        ),
        cell.now_s,
    )
    cell.loads.finished(given.endpoint, False, 0)


def begin_of_turn(number: int) -> Begin:
    """Build a later request of the first program.

    :param number: makes the request distinct.
    :returns: message.
    """
    first = begin(0)
    return Begin(
        **{
            name: getattr(begin(number), name)
            for name in Begin.__dataclass_fields__
            if name != 'program_id'
        },
        program_id=first.program_id,
    )


def make_book() -> RecordBook:
    """Make the empty records of an endpoint process.

    :returns: records.
    """
    return RecordBook('endpoint-00001', '0123456789abcdef', views.owner_of)


def add_record(book: RecordBook, number: int, event_count: int) -> None:
    """Run one request in a record book.

    :param book: records.
    :param number: makes the ticket distinct.
    :param event_count: parts of the response.
    """
    given = ticket(number)
    book.accept(given, 1)
    book.hand_over(given.number)
    book.start(given.number, Head(http_status=200, headers=_HEADERS))
    for _ in range(event_count):
        # A copy, as every part that is read from a socket is an object.
        book.append(given.number, bytes(bytearray(EVENT)))
    book.complete(given.number, outcomes.ANSWERED, finish(number).usage, 1)


def fill_book(book: RecordBook, count: int) -> None:
    """Add records with responses of average length.

    :param book: records.
    :param count: number of records.
    """
    for number in range(count):
        add_record(book, number, EVENT_COUNT)
