"""Prints the resident size of a process at several stages as JSON.

The capacity command runs it as a child process. Other modules of the package
are imported only after the libraries are measured.
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
_KIBIBYTE = 1024
#: Workspaces with rates and budgets in the configuration; about 45 of them
#: belong to one cell.
_WORKSPACE_COUNT = 1800
_ROLE_MODULES = {
    'entry': 'rattanvalve.entry_main',
    'endpoint': 'rattanvalve.endpoint_main',
}


def resident_bytes(pid: int | str = 'self') -> int:
    """Read the resident set size of a process.

    :param pid: process id; ``self`` for this process.
    :returns: size in bytes.
    """
    text = Path(f'/proc/{pid}/status').read_text()
    line = next(line for line in text.splitlines() if 'VmRSS' in line)
    return int(line.split()[1]) * _KIBIBYTE


def main(role: str, *counts: str) -> None:
    """Print the resident size in bytes after each stage, as a JSON object.

    :param role: ``entry`` or ``endpoint``.
    :param counts: numbers of programs and of requests for an entry, number of
        records for an endpoint.
    """
    sizes = {'interpreter': resident_bytes()}
    for library in _LIBRARIES:
        importlib.import_module(library)
    sizes['libraries'] = resident_bytes()
    importlib.import_module(_ROLE_MODULES[role])
    sizes['program'] = resident_bytes()
    built_states: list[Any] = []
    for stage, build in _stages(role, tuple(map(int, counts))):
        built_states.append(build())
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
            samples.ConfigSize(_WORKSPACE_COUNT),
        ),
    )
    if role == 'entry':
        owned_cell = states.OwnedCell(
            samples.ENDPOINT_COUNT, samples.ConfigSize()
        )
        yield 'programs', lambda: _add_turns(owned_cell, range(counts[0]))
        yield 'attempts', lambda: _add_turns(owned_cell, range(*counts))
    else:
        store = states.make_record_store()
        yield 'records', lambda: states.fill_record_store(store, counts[0])


def _add_turns(owned_cell: Any, numbers: range) -> Any:
    states = importlib.import_module('rattanvalve.capacity.states')
    samples = importlib.import_module('rattanvalve.capacity.samples')
    for number in numbers:
        begin_message = samples.begin(number)
        if numbers.start:
            begin_message = states.begin_later_turn(number)
        states.run_turn(owned_cell, begin_message)
    return owned_cell


if __name__ == '__main__':
    main(*sys.argv[1:])
