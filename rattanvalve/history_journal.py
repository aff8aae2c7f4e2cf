"""Index of journals: which calls ran where and when."""

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field

import msgspec

from rattanvalve.standins.journal import JournalLine
from rattanvalve.standins.text import messages_digest

__all__ = ('ServerRun', 'index_runs')

#: An end without a time: the server stopped before the run ended.
NOT_ENDED_S = float(0)


class _Body(msgspec.Struct):
    messages: list[dict] = []
    order_id: str = ''


@dataclass(slots=True)
class ServerRun:
    """One run of a call on a server; ``event`` is ``end`` or ``cancel``."""

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
    """Group the runs in journals by call.

    :param lines: lines of all journals, each journal in file order.
    :returns: runs by identity of the call, in order of their start.
    """
    index = _Index()
    for line in lines:
        identity = _identity_of(line)
        if identity:
            _add(index, line, identity)
    for runs in index.runs.values():
        runs.sort(key=_start_of)
    return dict(index.runs)


def _add(index: _Index, line: JournalLine, identity: str) -> None:
    running = index.running[line.server, line.request_id, identity]
    if line.event == 'start':
        run = ServerRun(line.server, line.request_id, line.time_s)
        index.runs[identity].append(run)
        running.append(run)
    elif running:
        run = running.pop()
        run.ended_s = line.time_s
        run.event = line.event


def _identity_of(line: JournalLine) -> str:
    try:
        body = msgspec.json.decode(line.body, type=_Body)
    except msgspec.DecodeError:
        return ''
    return messages_digest(body.messages) if body.messages else body.order_id


def _start_of(run: ServerRun) -> float:
    return run.started_s
