"""Measures memory per item of state with tracemalloc at n, 10n and 100n."""

import gc
import tracemalloc
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from rattanvalve.capacity.samples import (
    ConfigSize,
    begin,
    sample_catalog,
    sample_view,
)
from rattanvalve.capacity.states import (
    OwnedCell,
    add_record,
    begin_later_turn,
    fill_record_store,
    loads_of,
    make_record_store,
    parse_sample,
    run_turn,
)
from rattanvalve.counters import Metrics
from rattanvalve.open_requests import OpenRequest, OpenRequests

__all__ = ('MEMORY_HEADER', 'memory_rows', 'slope_bytes')

MEMORY_HEADER = ('state', 'bytes each at n', '10n', '100n', 'n')
_FACTORS = (1, 10, 100)


@dataclass(frozen=True, slots=True)
class _Probe:
    """A kind of state; ``build`` takes a number of items.

    ``first`` is n, the smallest number that is measured.
    """

    name: str
    first: int
    build: Callable[[int], Any]


def _programs(count: int) -> OwnedCell:
    cell = OwnedCell(8, ConfigSize())
    for number in range(count):
        run_turn(cell, begin(number))
    return cell


def _attempts(count: int) -> OwnedCell:
    cell = OwnedCell(8, ConfigSize())
    for number in range(count):
        run_turn(cell, begin_later_turn(number))
    return cell


def _short_records(count: int) -> Any:
    store = make_record_store()
    for number in range(count):
        add_record(store, number, 1)
    return store


def _records(count: int) -> Any:
    store = make_record_store()
    fill_record_store(store, count)
    return store


def _streams(count: int) -> Any:
    return OpenRequests(Metrics()), [
        OpenRequest('a1' * 32) for _ in range(count)
    ]


_PROBES = (
    _Probe('program with its first attempt', 100, _programs),
    _Probe('attempt in the idempotency index', 100, _attempts),
    _Probe('record, response of 1 event', 100, _short_records),
    _Probe('record, response of 302 events', 10, _records),
    _Probe(
        'endpoint load',
        10,
        lambda count: loads_of(sample_view(count)),
    ),
    _Probe('view member', 10, sample_view),
    _Probe(
        'workspace with a key in the catalog',
        100,
        lambda count: sample_catalog(parse_sample(ConfigSize(count))),
    ),
    _Probe(
        'further key in the catalog',
        100,
        lambda count: sample_catalog(parse_sample(ConfigSize(1, count))),
    ),
    _Probe('open request in the registry', 100, _streams),
)


def slope_bytes(build: Callable[[int], Any], small: int, large: int) -> float:
    """Measure the memory of each additional item.

    :param build: builds state with a given number of items.
    :param small: smaller number of items.
    :param large: larger number of items.
    :returns: bytes per item.
    """
    sizes = [_allocated_bytes(build, count) for count in (small, large)]
    return (sizes[1] - sizes[0]) / (large - small)


def memory_rows() -> list[tuple[str, ...]]:
    """Measure the memory per item of all kinds of state.

    :returns: state, bytes per item from zero to n, 10n and 100n, and n.
    """
    return [
        (
            probe.name,
            *(
                f'{slope_bytes(probe.build, 0, probe.first * factor):,.0f}'
                for factor in _FACTORS
            ),
            str(probe.first),
        )
        for probe in _PROBES
    ]


def _allocated_bytes(build: Callable[[int], Any], count: int) -> int:
    build(1)
    gc.collect()
    tracemalloc.start()
    referenced = [build(count)]
    gc.collect()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    referenced.clear()
    return size
