"""Measures processor time per operation at n, 10n and 100n."""

import itertools
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from functools import partial

from rattanvalve import routing, views
from rattanvalve.capacity.samples import (
    EVENT,
    EVENT_COUNT,
    SERVICE,
    ConfigSize,
    announce,
    begin,
    sample_catalog,
    sample_view,
    summary,
    ticket,
)
from rattanvalve.capacity.states import (
    OwnedCell,
    add_record,
    loads_of,
    make_record_store,
    parse_sample,
    run_turn,
)
from rattanvalve.messages import Announce, Chunk, Sealed, Usage
from rattanvalve.ratelimit import Bucket
from rattanvalve.runqueue import RunQueue
from rattanvalve.wire import (
    LENGTH_BYTES,
    FrameSealer,
    decode_struct,
    encode_struct,
)

__all__ = ('TIME_HEADER', 'time_rows')

TIME_HEADER = ('decision', 'by', 'µs at n', '10n', '100n', 'n', '100n : n')
_FACTORS = (1, 10, 100)
_REPEAT_COUNT = 3
_MEASURED_S = 0.04
#: Greater than the number of steps that one measurement runs.
_FRAME_COUNT = 2 + _REPEAT_COUNT * EVENT_COUNT
_FIRST_NUMBER = 10_000_000
_SECRET = b's' * 32
_NONCE = b'n' * 16
Step = Callable[[int], object]


@dataclass(frozen=True, slots=True)
class _Probe:
    """A measured operation.

    ``prepare`` builds state of a given size and returns a function that runs
    the operation once. ``size`` names what n counts; ``first`` is
    n, the smallest size that is measured.
    """

    name: str
    size: str
    first: int
    prepare: Callable[[int], Step]


def _begin_by_programs(count: int) -> Step:
    cell = OwnedCell(8, ConfigSize())
    for earlier in range(count):
        run_turn(cell, begin(earlier))
    return lambda number: run_turn(cell, begin(number))


def _begin_by_endpoints(count: int) -> Step:
    cell = OwnedCell(count, ConfigSize())
    return lambda number: run_turn(cell, begin(number))


def _begin_by_workspaces(count: int) -> Step:
    cell = OwnedCell(8, ConfigSize(count))
    step = partial(_run_turn_in_workspace, cell, count)
    for number in range(count):
        step(number)
    return step


def _run_turn_in_workspace(cell: OwnedCell, count: int, number: int) -> None:
    run_turn(cell, begin(number, f'workspace-{number % count:05d}'))


def _place_request(count: int) -> Step:
    loads = loads_of(sample_view(count))
    request = routing.PlacementRequest(
        service_name=SERVICE,
        last_endpoint='endpoint-00001',
        prompt_tokens=200_000,
    )
    return lambda _number: routing.place(
        request,
        'affinity',
        loads.candidates(SERVICE, frozenset(), 1),
        1,
    )


def _add_record(count: int) -> Step:
    store = make_record_store()
    for earlier in range(count):
        add_record(store, earlier, 1)
    return lambda number: add_record(store, number, 1)


def _seal_store(count: int) -> Step:
    store = make_record_store()
    for earlier in range(count):
        add_record(store, earlier, 1)
    view = sample_view(epoch=123_457)
    return lambda _number: [
        encode_struct(store.seal(view, entry.name, 1))
        for entry in views.entries_of(view)
    ]


def _adopt_records(count: int) -> Step:
    sealed = Sealed(records=tuple(map(summary, range(count))))
    payload = encode_struct(sealed)

    def step(_number: int) -> None:
        cell = OwnedCell(8, ConfigSize())
        records = decode_struct(Sealed, payload).records
        cell.owner.table.adopt(records, cell.context, 1)

    return step


def _queue_ticket(count: int) -> Step:
    queue = RunQueue(8, count + 1, 'program_fair')
    for number in range(count):
        queue.offer(ticket(number, number % 10), 1)

    def step(number: int) -> None:
        queue.offer(ticket(number, number % 10), 1)
        started = queue.pop_ready(1)
        queue.finish(started.number, Usage(), 1)

    return step


def _take_from_bucket(_count: int) -> Step:
    bucket = Bucket(1e9, 1e9, 0)
    return bucket.take


def _seal_chunk(event_count: int) -> Step:
    sealer = FrameSealer(_SECRET, _NONCE, b'c')
    chunk = Chunk(number=ticket(1).number, content=EVENT * event_count)
    return lambda _number: sealer.seal(chunk)


def _open_chunk(event_count: int) -> Step:
    sealer = FrameSealer(_SECRET, _NONCE, b'c')
    opener = FrameSealer(_SECRET, _NONCE, b'c')
    chunk = Chunk(number=ticket(1).number, content=EVENT * event_count)
    frames = iter(
        [sealer.seal(chunk)[LENGTH_BYTES:] for _ in range(_FRAME_COUNT)],
    )
    return lambda _number: opener.open(next(frames))


def _report_announce(count: int) -> Step:
    view = sample_view(count)
    loads = loads_of(view)
    message: Announce = announce(view.members[0])

    def step(_number: int) -> None:
        loads.report(message, 1)
        loads.set_view(view)

    return step


def _apply_config(count: int) -> Step:
    config_size = ConfigSize(count)
    return lambda _number: sample_catalog(parse_sample(config_size))


def _owner_lookup(count: int) -> Step:
    view = sample_view(count)
    return lambda number: views.find_member(
        view,
        views.owner_of(view, f'workspace-{number % 45}', 0),
    )


def _view_change(count: int) -> Step:
    return lambda number: views.owner_of(
        sample_view(count, epoch=number),
        f'workspace-{number}',
        0,
    )


_PROBES = (
    _Probe('Owner.begin and finish', 'programs', 100, _begin_by_programs),
    _Probe('Owner.begin and finish', 'endpoints', 10, _begin_by_endpoints),
    _Probe('Owner.begin and finish', 'workspaces', 20, _begin_by_workspaces),
    _Probe('candidates and place', 'endpoints', 10, _place_request),
    _Probe('RecordBook accept to complete', 'records', 100, _add_record),
    _Probe('seal a book for 9 entries', 'records', 20, _seal_store),
    _Probe('decode and adopt Sealed', 'records', 20, _adopt_records),
    _Probe('RunQueue offer, pop, finished', 'waiting', 10, _queue_ticket),
    _Probe('Bucket.take', '-', 1, _take_from_bucket),
    _Probe('seal a chunk', 'events in it', 1, _seal_chunk),
    _Probe('open a chunk', 'events in it', 1, _open_chunk),
    _Probe('owner and member in a known view', 'endpoints', 10, _owner_lookup),
    _Probe('new view and one owner_of', 'endpoints', 10, _view_change),
    _Probe(
        'one Announce, without its frame', 'endpoints', 10, _report_announce
    ),
    _Probe('apply a whole configuration', 'workspaces', 18, _apply_config),
)


def time_rows() -> list[tuple[str, ...]]:
    """Measure all operations; an average response has ``EVENT_COUNT`` events.

    :returns: operation, what n counts, microseconds at each size, n, and the
        ratio of the largest to the smallest size.
    """
    return [_row(probe) for probe in _PROBES]


def _row(probe: _Probe) -> tuple[str, ...]:
    times = [
        1e6 * _step_s(probe.prepare(probe.first * factor))
        for factor in _FACTORS
    ]
    return (
        probe.name,
        probe.size,
        *(f'{step:,.1f}' for step in times),
        str(probe.first),
        f'{times[-1] / times[0]:.1f}',
    )


def _step_s(step: Step) -> float:
    """Return the least of several means, as other load only adds time."""
    numbers = itertools.count(_FIRST_NUMBER)
    step(next(numbers))
    return min(_mean_s(step, numbers) for _ in range(_REPEAT_COUNT))


def _mean_s(step: Step, numbers: Iterator[int]) -> float:
    began_s = time.process_time()
    for done_count, number in enumerate(numbers, 1):
        step(number)
        spent_s = time.process_time() - began_s
        if spent_s > _MEASURED_S or done_count == EVENT_COUNT:
            return spent_s / done_count
    raise StopIteration
