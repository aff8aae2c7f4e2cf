"""Collects the log lines of all processes that concern one request."""

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from datetime import datetime
from typing import Any

__all__ = (
    'LogEntry',
    'format_entries',
    'parse_lines',
    'select_related_entries',
)

TIME_FORMAT = '%Y-%m-%d %H:%M:%S,%f'
#: Lines without a request id are included from this many seconds before the
#: first line of the request.
BEFORE_S = 5.0
_STANDARD_FIELDS = frozenset(
    ('time', 'level', 'message', 'process', 'part', 'request'),
)


@dataclass(frozen=True, slots=True)
class LogEntry:
    """A parsed log line.

    ``time_s`` is the Unix time in seconds by the clock of the VM that wrote
    it; clocks of VMs differ. ``details`` holds the extra fields of the line.
    """

    time_s: float
    process: str
    level: str
    message: str
    request_id: str = ''
    program_id: str = ''
    details: dict[str, Any] = field(default_factory=dict)


def parse_lines(lines: Iterable[str]) -> Iterator[LogEntry]:
    """Parse log lines; text before the JSON object of a line is ignored.

    :param lines: lines of any number of processes.
    :returns: entries in the order of the lines; lines without a JSON object
        that has a valid time are skipped.
    """
    for line in lines:
        _, brace, rest = line.partition('{')
        try:
            fields = json.loads(f'{brace}{rest}')
            timestamp = datetime.strptime(fields['time'], TIME_FORMAT)
        except (ValueError, KeyError, TypeError):
            continue
        yield LogEntry(
            time_s=timestamp.timestamp(),
            process=str(fields.get('process', '')),
            level=str(fields.get('level', '')),
            message=str(fields.get('message', '')),
            request_id=str(fields.get('request', '')),
            program_id=str(fields.get('program', '')),
            details={
                name: detail
                for name, detail in fields.items()
                if name not in _STANDARD_FIELDS
            },
        )


def select_related_entries(
    entries: Iterable[LogEntry], request_id: str
) -> list[LogEntry]:
    """Select the log lines that explain the outcome of a request.

    These are the lines of the request, those of the other requests of its
    program, and the lines without a request id that the processes that served
    it wrote while it ran or up to ``BEFORE_S`` seconds earlier.

    :param entries: lines of all processes.
    :param request_id: id of the request.
    :returns: lines by time; empty if no line has the request id.
    """
    ordered = sorted(entries, key=lambda entry: entry.time_s)
    own = [entry for entry in ordered if entry.request_id == request_id]
    if not own:
        return []
    programs = {entry.program_id for entry in own if entry.program_id}
    processes = {entry.process for entry in own}
    start_s = own[0].time_s - BEFORE_S
    end_s = own[-1].time_s

    def is_related(entry: LogEntry) -> bool:
        if entry.request_id:
            is_own = entry.request_id == request_id
            return is_own or entry.program_id in programs
        is_in_period = start_s <= entry.time_s <= end_s
        return is_in_period and entry.process in processes

    return [entry for entry in ordered if is_related(entry)]


def format_entries(entries: Iterable[LogEntry], request_id: str) -> str:
    """Format log entries, one line for each.

    :param entries: entries by time.
    :param request_id: id of the request; its own lines start with ``>``.
    :returns: lines with the seconds since the first entry, the process, the
        message and the extra fields.
    """
    listed = list(entries)
    lines = []
    for entry in listed:
        mark = '>' if entry.request_id == request_id else ' '
        after_s = entry.time_s - listed[0].time_s
        details = ' '.join(
            f'{name}={json.dumps(detail)}'
            for name, detail in entry.details.items()
        )
        message = f'{entry.message} {entry.request_id}'.strip()
        lines.append(
            f'{mark} {after_s:8.3f} {entry.process} {message} {details}',
        )
    return '\n'.join(lines)
