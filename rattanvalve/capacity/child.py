"""Prints the resident size of a process at several stages as JSON.

The capacity program runs it as a child. Nothing of this package is imported
before the libraries were measured.
"""

import importlib
import json
import sys
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

__all__ = ('main', 'resident_bytes')

_LIBRARIES = (
    'aiohttp.web',
    'aiomisc',
    'click',
    'msgspec',
    'pythonjsonlogger.json',
    'result',
    'statsd',
    'thrift.protocol.TCompactProtocol',
    'thrift.transport.TTransport',
    'uvloop',
)
_PAGE_UNIT = 1024
#: Rates and budgets of 1,800 workspaces; the cell has about 45 of them.
_WORKSPACE_COUNT = 1800
_ROLE_MODULES = {
    'entry': 'rattanvalve.entry_main',
    'endpoint': 'rattanvalve.endpoint_main',
}


def resident_bytes(pid: int | str = 'self') -> int:
    """Read the resident size of a process.

    :param pid: process id.
    :returns: bytes.
    """
    text = Path(f'/proc/{pid}/status').read_text()
    line = next(line for line in text.splitlines() if 'VmRSS' in line)
    return int(line.split()[1]) * _PAGE_UNIT


def main(role: str, *counts: str) -> None:
    """Print the resident size at each stage.

    :param role: ``entry`` or ``endpoint``.
    :param counts: programs and requests of an entry, or records of an
        endpoint.
    """
    sizes = {'interpreter': resident_bytes()}
    for library in _LIBRARIES:
        importlib.import_module(library)
    sizes['libraries'] = resident_bytes()
    importlib.import_module(_ROLE_MODULES[role])
    sizes['program'] = resident_bytes()
    kept: list[Any] = []
    for stage, build in _stages(role, tuple(map(int, counts))):
        kept.append(build())
        sizes[stage] = resident_bytes()
    sys.stdout.write(json.dumps(sizes))


def _stages(
    role: str,
    counts: tuple[int, ...],
) -> Iterator[tuple[str, Callable[[], Any]]]:
    states = importlib.import_module('rattanvalve.capacity.states')
    samples = importlib.import_module('rattanvalve.capacity.samples')
    yield (
        'configuration and view',
        lambda: states.OwnedCell(
            samples.ENDPOINT_COUNT,
            samples.Shape(_WORKSPACE_COUNT),
        ),
    )
    if role == 'entry':
        cell = states.OwnedCell(samples.ENDPOINT_COUNT, samples.Shape())
        yield 'programs', lambda: _add_turns(cell, range(counts[0]))
        yield 'attempts', lambda: _add_turns(cell, range(*counts))
    else:
        book = states.make_book()
        yield 'records', lambda: states.fill_book(book, counts[0])


def _add_turns(cell: Any, numbers: range) -> Any:
    states = importlib.import_module('rattanvalve.capacity.states')
    samples = importlib.import_module('rattanvalve.capacity.samples')
    for number in numbers:
        asked = samples.begin(number)
        if numbers.start:
            asked = states.begin_of_turn(number)
        states.run_turn(cell, asked)
    return cell


if __name__ == '__main__':
    main(*sys.argv[1:])
