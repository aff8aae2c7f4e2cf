"""Story of one request, put together from the log lines of all processes."""

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from datetime import datetime
from typing import Any

__all__ = ('LogEntry', 'parse_lines', 'story_of', 'story_text')

TIME_FORMAT = '%Y-%m-%d %H:%M:%S,%f'
#: Lines of a process about itself are shown from this long before the
#: request's own line.
BEFORE_S = 5.0
_STANDARD_FIELDS = frozenset(
    ('time', 'level', 'message', 'process', 'part', 'request'),
)


@dataclass(frozen=True, slots=True)
class LogEntry:
    """One log line.

    ``time_s`` is the time of its VM in seconds; clocks of VMs differ.
    """

    time_s: float
    process: str
    level: str
    message: str
    request_id: str = ''
    program_id: str = ''
    details: dict[str, Any] = field(default_factory=dict)


def parse_lines(lines: Iterable[str]) -> Iterator[LogEntry]:
    """Read log lines; what stands before the JSON object is passed over.

    :param lines: lines of any processes.
    :returns: entries in the order of the lines; other text gives none.
    """
    for line in lines:
        _, brace, rest = line.partition('{')
        try:
            fields = json.loads(f'{brace}{rest}')
            moment = datetime.strptime(fields['time'], TIME_FORMAT)
        except (ValueError, KeyError, TypeError):
            continue
        yield LogEntry(
            time_s=moment.timestamp(),
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


def story_of(entries: Iterable[LogEntry], request_id: str) -> list[LogEntry]:
    """Choose the lines that explain what became of a request.

    These are its own lines, those of the other requests of its program, and
    what the processes that served it said of themselves shortly before.

    :param entries: lines of all processes.
    :param request_id: id of the request.
    :returns: lines by time; none if the request is not in them.
    """
    known = sorted(entries, key=lambda entry: entry.time_s)
    own = [entry for entry in known if entry.request_id == request_id]
    if not own:
        return []
    programs = {entry.program_id for entry in own if entry.program_id}
    processes = {entry.process for entry in own}
    start_s = own[0].time_s - BEFORE_S
    end_s = own[-1].time_s

    def belongs(entry: LogEntry) -> bool:
        if entry.request_id:
            is_own = entry.request_id == request_id
            return is_own or entry.program_id in programs
        is_near = start_s <= entry.time_s <= end_s
        return is_near and entry.process in processes

    return [entry for entry in known if belongs(entry)]


def story_text(entries: Iterable[LogEntry], request_id: str) -> str:
    """Write a story as text, a line for each entry.

    :param entries: lines by time.
    :param request_id: id of the request; its own lines are marked.
    :returns: time since the first line in seconds, process, what happened.
    """
    chosen = list(entries)
    lines = []
    for entry in chosen:
        mark = '>' if entry.request_id == request_id else ' '
        after_s = entry.time_s - chosen[0].time_s
        details = ' '.join(
            f'{name}={json.dumps(detail)}'
            for name, detail in entry.details.items()
        )
        message = f'{entry.message} {entry.request_id}'.strip()
        lines.append(
            f'{mark} {after_s:8.3f} {entry.process} {message} {details}',
        )
    return '\n'.join(lines)
