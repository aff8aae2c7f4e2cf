"""Steps of capacity/slopes.feature."""

import asyncio
import tempfile
from pathlib import Path

from behave import given, then, when
from click.testing import CliRunner

from rattanvalve import wire
from rattanvalve.capacity import samples
from rattanvalve.capacity.cell import extrapolate
from rattanvalve.capacity.fleet import CellSize, running_cell
from rattanvalve.capacity.memory import slope_bytes
from rattanvalve.capacity.wire import frame_bytes
from rattanvalve.load_main import main
from rattanvalve.process_usage import read_usage
from tests.steps.fleet_steps import is_running


@then('the measured size of an Announce is the length of its sealed frame')
def step_frame(context):
    message = samples.announce(samples.sample_view().members[0])
    sealer = wire.FrameSealer(b's' * 32, b'n' * 16, b'c')
    assert frame_bytes(message) == len(sealer.seal(message))


def bilinear_figure(entries, endpoints):
    """Compute a figure that is bilinear in entries and endpoints."""
    return 7 + 5 * entries + 3 * endpoints + 2 * entries * endpoints


@given('figures that grow with entries, with endpoints and with both')
def step_figures(context):
    corners = ((2, 4), (8, 4), (2, 40), (8, 40))
    context.figures = [bilinear_figure(*corner) for corner in corners]


@then('the figure of 8.5 entries and 57 endpoints is exact')
def step_exact(context):
    result = extrapolate(context.figures)
    assert abs(result - bilinear_figure(8.5, 57)) < 1e-6, result


@then('the slope of byte strings is their size')
def step_slope(context):
    result = slope_bytes(
        lambda count: [bytes(967) for _ in range(count)], 0, 99
    )
    # A list slot takes 8 bytes; lists allocate spare slots when they grow.
    assert 1000 + 8 <= result < 1000 + 16, result


async def measure_cell(folder):
    """Run a small cell; returns pids, usages and the number of writes."""
    size, shape = CellSize(1, 2), samples.ConfigSize(3)
    async with running_cell(size, shape, folder) as cell:
        names = [member.name for member in cell.plan.endpoints]
        names.append(cell.plan.entries[0].name)
        pids = cell.pids(names)
        usages = [read_usage(pid) for pid in pids]
        before = await cell.store_calls()
        await cell.change_config()
        after = await cell.store_calls()
    return pids, usages, after['put'] - before['put']


@given('a cell of 1 entry and 2 endpoints without traffic')
def step_cell(context):
    with tempfile.TemporaryDirectory() as folder:
        context.cell_figures = asyncio.run(measure_cell(Path(folder)))


@then('the usage of its processes is read and a change is written')
def step_usage(context):
    _, usages, put_count = context.cell_figures
    assert len(usages) == 3
    for usage in usages:
        assert usage.processor_s > 0
        assert usage.transferred_bytes > 0
    assert put_count >= 1


@then('none of its processes is left')
def step_none_left(context):
    assert not any(map(is_running, context.cell_figures[0]))


@when('rattanvalve-load capacity measures its part wire')
def step_command(context):
    context.command_result = CliRunner().invoke(
        main, ['capacity', '--part', 'wire']
    )


@then('it prints a row for each message that is sent periodically')
def step_rows(context):
    assert context.command_result.exit_code == 0, context.command_result.output
    for name in ('Announce', 'Heartbeat', 'Ack'):
        assert f'\n{name} ' in context.command_result.output
