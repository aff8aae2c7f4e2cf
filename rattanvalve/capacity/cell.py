"""Measures traffic and processor time of idle cells and of a change."""

import asyncio
import statistics
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path

from rattanvalve.capacity.child import resident_bytes
from rattanvalve.capacity.fleet import CellSize, IdleCell, running_cell
from rattanvalve.capacity.samples import ConfigSize
from rattanvalve.process_usage import ProcessUsage, read_usage

__all__ = (
    'CELL_HEADER',
    'CELL_SIZES',
    'CellFigures',
    'cell_rows',
    'extrapolate',
    'measure_cells',
)

CELL_HEADER = (
    'entries',
    'endpoints',
    'role',
    'bytes/s',
    'core %',
    'resident MB',
    'bytes a change',
    'ms a change',
)
#: Corners of the bilinear fit; the third size lies between them and checks it.
CELL_SIZES = (
    CellSize(2, 4),
    CellSize(8, 4),
    CellSize(4, 20),
    CellSize(2, 40),
    CellSize(8, 40),
)
_CORNERS = (CELL_SIZES[0], CELL_SIZES[1], CELL_SIZES[3], CELL_SIZES[4])
_TARGET_ENTRIES = 8.5
_TARGET_ENDPOINTS = 57
_SETTLE_S = 3.0
_IDLE_S = 8.0
_CHANGE_COUNT = 3
_CHANGE_S = 2.0
_CONFIG_SIZE = ConfigSize(workspace_count=1800)
_MEGABYTE = 1_000_000


@dataclass(frozen=True, slots=True, kw_only=True)
class CellFigures:
    """Means over the processes of one role.

    The first three fields are those of an idle cell. The others are the cost
    of one change, which grants a key in a configuration of 1,800 workspaces.
    """

    bytes_per_s: float
    core_percent: float
    resident_mb: float
    change_bytes: float
    change_ms: float


@dataclass(frozen=True, slots=True)
class _Usages:
    """Resource usage of each process over an interval, by role."""

    by_role: dict[str, list[ProcessUsage]]
    elapsed_s: float


_Work = Callable[[], Awaitable[None]]
Measured = dict[tuple[CellSize, str], CellFigures]


async def measure_cells(
    folder: Path,
    sizes: tuple[CellSize, ...] = CELL_SIZES,
) -> tuple[Measured, dict[CellSize, dict[str, float]]]:
    """Measure one cell of each size, one after the other.

    :param folder: existing folder for settings and logs.
    :param sizes: sizes of the cells.
    :returns: figures by size and role, and store calls per second by size and
        kind of call.
    """
    measured: Measured = {}
    calls: dict[CellSize, dict[str, float]] = {}
    for size in sizes:
        name = f'{size.entry_count}-{size.endpoint_count}'
        (folder / name).mkdir()
        async with running_cell(size, _CONFIG_SIZE, folder / name) as cell:
            # The first change stores the configuration as a base and a head.
            await cell.change_config()
            await asyncio.sleep(_SETTLE_S)
            calls[size] = await _measure_cell(size, cell, measured)
    return measured, calls


def extrapolate(
    figures: list[float],
    entry_count: float = _TARGET_ENTRIES,
    endpoint_count: float = _TARGET_ENDPOINTS,
) -> float:
    """Extrapolate a bilinear function of entries and endpoints.

    :param figures: values at the corners (2, 4), (8, 4), (2, 40), (8, 40).
    :param entry_count: number of entries to extrapolate to.
    :param endpoint_count: number of endpoints to extrapolate to.
    :returns: extrapolated value.
    """
    first, last = _CORNERS[0], _CORNERS[-1]
    entry_fraction = (entry_count - first.entry_count) / (
        last.entry_count - first.entry_count
    )
    endpoint_fraction = (endpoint_count - first.endpoint_count) / (
        last.endpoint_count - first.endpoint_count
    )
    at_few_endpoints = figures[0] + entry_fraction * (figures[1] - figures[0])
    at_many_endpoints = figures[2] + entry_fraction * (figures[3] - figures[2])
    return at_few_endpoints + endpoint_fraction * (
        at_many_endpoints - at_few_endpoints
    )


def cell_rows(measured: Measured) -> list[tuple[str, ...]]:
    """Format the measured figures and those extrapolated to the target size.

    :param measured: figures by size and role; includes all corners.
    :returns: rows of the table with :data:`CELL_HEADER`.
    """
    rows = [
        _row(str(size.entry_count), str(size.endpoint_count), role, figures)
        for (size, role), figures in measured.items()
    ]
    for role in ('entry', 'endpoint'):
        corners = [measured[size, role] for size in _CORNERS]
        target = CellFigures(
            **{
                name: extrapolate([getattr(corner, name) for corner in corners])
                for name in CellFigures.__dataclass_fields__
            },
        )
        rows.append(
            _row(
                f'{_TARGET_ENTRIES} extrapolated',
                str(_TARGET_ENDPOINTS),
                role,
                target,
            ),
        )
    return rows


def _row(
    entries: str,
    endpoints: str,
    role: str,
    figures: CellFigures,
) -> tuple[str, ...]:
    columns = (
        f'{figures.bytes_per_s:,.0f}',
        f'{figures.core_percent:.2f}',
        f'{figures.resident_mb:.1f}',
        f'{figures.change_bytes:,.0f}',
        f'{figures.change_ms:.1f}',
    )
    return (entries, endpoints, role, *columns)


async def _measure_cell(
    size: CellSize,
    cell: IdleCell,
    measured: Measured,
) -> dict[str, float]:
    pids = {
        'entry': cell.pids([entry.name for entry in cell.plan.entries]),
        'endpoint': cell.pids(
            [endpoint.name for endpoint in cell.plan.endpoints]
        ),
    }
    calls = await cell.store_calls()
    idle = await _measure_usages(pids, _idle)
    calls_after = await cell.store_calls()
    changing = await _measure_usages(pids, _make_changes(cell))
    for role in pids:
        resident = statistics.mean(map(resident_bytes, pids[role]))
        measured[size, role] = _figures(idle, changing, role, resident)
    return {
        kind: (count - calls.get(kind, 0)) / idle.elapsed_s
        for kind, count in calls_after.items()
    }


def _figures(
    idle: _Usages,
    changing: _Usages,
    role: str,
    resident: float,
) -> CellFigures:
    idle_mean, changing_mean = (
        _mean(idle.by_role[role]),
        _mean(changing.by_role[role]),
    )
    # Cost of the changes above that of an idle interval of the same length.
    duration_ratio = changing.elapsed_s / idle.elapsed_s
    added_bytes = (
        changing_mean.transferred_bytes
        - idle_mean.transferred_bytes * duration_ratio
    )
    added_s = changing_mean.processor_s - idle_mean.processor_s * duration_ratio
    return CellFigures(
        bytes_per_s=idle_mean.transferred_bytes / idle.elapsed_s,
        core_percent=100 * idle_mean.processor_s / idle.elapsed_s,
        resident_mb=resident / _MEGABYTE,
        change_bytes=added_bytes / _CHANGE_COUNT,
        change_ms=1000 * added_s / _CHANGE_COUNT,
    )


def _make_changes(cell: IdleCell) -> _Work:
    async def change() -> None:
        for _ in range(_CHANGE_COUNT):
            await cell.change_config()
            await asyncio.sleep(_CHANGE_S)

    return change


async def _idle() -> None:
    await asyncio.sleep(_IDLE_S)


async def _measure_usages(
    pids: dict[str, list[int]],
    work: _Work,
) -> _Usages:
    began_s = time.monotonic()
    before = {pid: read_usage(pid) for group in pids.values() for pid in group}
    await work()
    usages = {
        role: [read_usage(pid).since(before[pid]) for pid in group]
        for role, group in pids.items()
    }
    return _Usages(usages, time.monotonic() - began_s)


def _mean(usages: list[ProcessUsage]) -> ProcessUsage:
    return ProcessUsage(
        statistics.mean(usage.processor_s for usage in usages),
        statistics.mean(usage.transferred_bytes for usage in usages),
    )
