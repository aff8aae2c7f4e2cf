"""Builds state of entry and endpoint processes for measurements."""

import json

from rattanvalve import outcomes, routing, views
from rattanvalve.admission_mode import AdmissionMode
from rattanvalve.capacity.samples import (
    EVENT,
    EVENT_COUNT,
    SERVICE,
    ConfigSize,
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
from rattanvalve.records import RecordStore

__all__ = (
    'OwnedCell',
    'add_record',
    'begin_later_turn',
    'fill_record_store',
    'loads_of',
    'make_record_store',
    'parse_sample',
    'run_turn',
)

#: Seconds of simulated time between two requests; the sample rate admits
#: several requests in it.
_STEP_S = 0.01
_HEADERS = (
    Header(name='Content-Type', content='text/event-stream'),
    Header(name='Date', content='Fri, 04 Dec 2026 03:00:00 GMT'),
)


def parse_sample(config_size: ConfigSize) -> Config:
    """Parse a sample configuration with the parser of the product.

    :param config_size: numbers of workspaces and keys.
    :returns: parsed configuration.
    """
    return parse_config(
        json.dumps(config_document(config_size)).encode()
    ).unwrap()


def loads_of(view: View) -> EndpointLoads:
    """Build endpoint loads with current reports of all endpoints.

    :param view: view of the cell.
    :returns: loads in which no endpoint is in its slow start.
    """
    loads = EndpointLoads()
    loads.set_view(view)
    for member in views.endpoints_of(view):
        # The earlier report ends the slow start.
        loads.report(announce(member), -SLOW_START_S)
        loads.report(announce(member), 0)
    return loads


class OwnedCell:
    """The owner of all shards in a cell with one entry.

    :param endpoint_count: number of endpoints, all of one service.
    :param config_size: size of the configuration.
    """

    def __init__(self, endpoint_count: int, config_size: ConfigSize) -> None:
        self.view = sample_view(endpoint_count, entry_count=1)
        self.loads = loads_of(self.view)
        self.now_s: float = 0
        self.owner = Owner('entry-00', '0123456789abcdef')
        self.context = OwnerContext(
            catalog=sample_catalog(parse_sample(config_size)),
            view=self.view,
            mode=AdmissionMode.FULL,
            place=self._place,
            owner_of=views.owner_of,
        )

    def _place(self, request: routing.PlacementRequest, _now_s: float):
        # At a constant time, no report expires and no endpoint becomes silent.
        candidates = self.loads.candidates(SERVICE, frozenset(), 0)
        return routing.place(request, 'affinity', candidates, 0)


def run_turn(cell: OwnedCell, begin_message: Begin) -> None:
    """Admit and finish one request.

    :param cell: owner and its context; its simulated time advances.
    :param begin_message: request to admit.
    """
    issued = cell.owner.begin(begin_message, cell.context, cell.now_s)
    while isinstance(issued, Wait):
        # A new shard starts with an empty token bucket.
        cell.now_s += _STEP_S
        issued = cell.owner.begin(begin_message, cell.context, cell.now_s)
    cell.now_s += _STEP_S
    cell.loads.started(issued.endpoint)
    cell.owner.finish(
        Finish(
            number=issued.number,
            workspace=begin_message.workspace,
            program_id=begin_message.program_id,
            outcome=outcomes.ANSWERED,
            usage=finish(0).usage,
        ),
        cell.now_s,
    )
    cell.loads.finished(issued.endpoint, False, 0)


def begin_later_turn(number: int) -> Begin:
    """Build a request that continues the first sample program.

    :param number: number that makes the request unique.
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


def make_record_store() -> RecordStore:
    """Create an empty record store of an endpoint process.

    :returns: record store.
    """
    return RecordStore('endpoint-00001', '0123456789abcdef', views.owner_of)


def add_record(store: RecordStore, number: int, event_count: int) -> None:
    """Record one completed request.

    :param store: record store.
    :param number: number that makes the ticket unique.
    :param event_count: number of events in the response.
    """
    accepted = ticket(number)
    store.accept(accepted, 1)
    store.mark_dispatched(accepted.number)
    store.start(accepted.number, Head(http_status=200, headers=_HEADERS))
    for _ in range(event_count):
        # Copy, as each part read from a socket is a separate object.
        store.append(accepted.number, bytes(bytearray(EVENT)))
    store.complete(accepted.number, outcomes.ANSWERED, finish(number).usage, 1)


def fill_record_store(store: RecordStore, count: int) -> None:
    """Add records with responses of average length.

    :param store: record store.
    :param count: number of records.
    """
    for number in range(count):
        add_record(store, number, EVENT_COUNT)
