"""Groups journal lines into runs: which call ran on which server and when."""

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field

import msgspec

from rattanvalve.standins.journal import JournalLine
from rattanvalve.standins.text import messages_digest

__all__ = ('ServerRun', 'index_runs')

#: Value of ``ended_s`` if the journal has no end of the run, for example
#: because the server stopped first.
NOT_ENDED_S = float(0)


class _RequestBody(msgspec.Struct):
    messages: list[dict] = []
    order_id: str = ''


@dataclass(slots=True)
class ServerRun:
    """One run of a call on a server. Times are monotonic, in seconds.

    ``event`` is ``end`` or ``cancel``, or empty if the journal has neither.
    """

    server: str
    request_id: str
    started_s: float
    ended_s: float = NOT_ENDED_S
    event: str = ''


@dataclass(slots=True)
class _Index:
    runs: dict[str, list[ServerRun]] = field(
        default_factory=lambda: defaultdict(list),
    )
    running: dict[tuple[str, str, str], list[ServerRun]] = field(
        default_factory=lambda: defaultdict(list),
    )


def index_runs(lines: Iterable[JournalLine]) -> dict[str, list[ServerRun]]:
    """Group journal lines into runs by call.

    :param lines: lines of all journals; the lines of each journal are in
        file order.
    :returns: runs by the identity of their call, in order of their start.
    """
    index = _Index()
    for line in lines:
        identity = _call_identity(line)
        if identity:
            _index_line(index, line, identity)
    for runs in index.runs.values():
        runs.sort(key=_start_time_s)
    return dict(index.runs)


def _index_line(index: _Index, line: JournalLine, identity: str) -> None:
    running = index.running[line.server, line.request_id, identity]
    if line.event == 'start':
        run = ServerRun(line.server, line.request_id, line.time_s)
        index.runs[identity].append(run)
        running.append(run)
    elif running:
        run = running.pop()
        run.ended_s = line.time_s
        run.event = line.event


def _call_identity(line: JournalLine) -> str:
    try:
        body = msgspec.json.decode(line.body, type=_RequestBody)
    except msgspec.DecodeError:
        return ''
    return messages_digest(body.messages) if body.messages else body.order_id


def _start_time_s(run: ServerRun) -> float:
    return run.started_s
