"""Command ``rattanvalve-load capacity``: measures cost per item locally."""

import tempfile
from collections.abc import Callable
from pathlib import Path

import click
import uvloop

from rattanvalve.capacity.cell import CELL_HEADER, cell_rows, measure_cells
from rattanvalve.capacity.memory import MEMORY_HEADER, memory_rows
from rattanvalve.capacity.resident import RESIDENT_HEADER, resident_rows
from rattanvalve.capacity.time import TIME_HEADER, time_rows
from rattanvalve.capacity.wire import WIRE_HEADER, wire_rows
from rattanvalve.main_task import cancel_on_signals
from rattanvalve.report import format_table

__all__ = ('PARTS', 'capacity')


def _print_cells() -> None:
    with tempfile.TemporaryDirectory() as folder:
        measured, calls = uvloop.run(
            cancel_on_signals(measure_cells(Path(folder))),
        )
    click.echo(format_table(CELL_HEADER, cell_rows(measured)))
    kinds = sorted({kind for found in calls.values() for kind in found})
    rows = [
        (
            str(size.entry_count),
            str(size.endpoint_count),
            *(f'{found.get(kind, 0):.2f}' for kind in kinds),
        )
        for size, found in calls.items()
    ]
    click.echo('\nplatform calls a second')
    click.echo(format_table(('entries', 'endpoints', *kinds), rows))


def _table_printer(
    header: tuple[str, ...],
    rows: Callable[[], list],
) -> Callable[[], None]:
    return lambda: click.echo(format_table(header, rows()))


#: Functions that measure a part and print its table, by name in print order.
PARTS: dict[str, Callable[[], None]] = {
    'wire': _table_printer(WIRE_HEADER, wire_rows),
    'time': _table_printer(TIME_HEADER, time_rows),
    'memory': _table_printer(MEMORY_HEADER, memory_rows),
    'resident': _table_printer(RESIDENT_HEADER, resident_rows),
    'cells': _print_cells,
}


@click.command()
@click.option(
    '--part',
    'parts',
    multiple=True,
    type=click.Choice(tuple(PARTS)),
    help='Part to measure; repeat for several. Default: all.',
)
def capacity(parts: tuple[str, ...]) -> None:
    """Measure what messages, state, decisions and idle cells cost."""
    for part in parts or PARTS:
        click.echo(f'\n{part}\n')
        PARTS[part]()
