"""Observations of callers and servers, and checks of the promises.

Each check takes the evidence and returns one line for each violation. Times
are monotonic, in seconds.
"""

from collections import Counter, defaultdict
from dataclasses import dataclass, field

from rattanvalve.standins.crashes import DeadlyRequests

__all__ = ('CHECKS', 'Evidence', 'ResponseRecord', 'Run', 'violations')

#: Statuses which state that the request has not run and will not run.
NOT_RUN_STATUSES = frozenset((402, 408, 421, 429, 503))
RATE_WINDOW_S = 5.0
#: Tolerance of the rate check: 10 percent plus ``RATE_SLACK`` requests.
RATE_TOLERANCE = 1.1
RATE_SLACK = 20
#: Number of times that a request may come back to servers after its third
#: crash.
LATE_CRASHES_MAX = 3
#: Status of requests that are blocked because they crash servers.
BLOCKED_STATUS = 501


@dataclass(frozen=True, slots=True)
class Run:
    """One execution of a request by a server."""

    request_id: str
    kind: str
    began_s: float
    body: bytes = b''
    workspace: str = ''
    program_id: str = ''
    tokens: int = 0
    output: bytes = b''


@dataclass(frozen=True, slots=True)
class ResponseRecord:
    """One request of a caller and its response; status 0 is no response."""

    request_id: str
    kind: str
    ended_s: float
    status: int
    body: bytes = b''
    previous_id: str = ''
    prompt: bytes = b''
    program_id: str = ''


@dataclass(slots=True)
class Evidence:
    """Observations of one soak, and the limits that apply to ``workspace``.

    ``sent`` holds the ids of all requests, ``budgets`` the token budget of
    each program.
    """

    runs: list[Run] = field(default_factory=list)
    responses: list[ResponseRecord] = field(default_factory=list)
    sent: set[str] = field(default_factory=set)
    budgets: dict[str, int] = field(default_factory=dict)
    #: Crashes of servers by the request that causes them.
    deadly: DeadlyRequests = field(default_factory=DeadlyRequests)
    #: One line for each limit of a server that was exceeded.
    limit_excesses: list[str] = field(default_factory=list)
    turn_tokens_max: int = 27
    rate_per_s: float = 0
    burst: float = 0
    workspace: str = 'farm'

    def completed_turns(self) -> dict[str, ResponseRecord]:
        """Return the turns with status 200, by request id."""
        return {
            record.request_id: record
            for record in self.responses
            if record.kind == 'turn' and record.status == 200
        }


def repeated_runs(evidence):
    """Find requests that ran more than once; ``look`` requests may."""
    counts = Counter(
        run.request_id for run in evidence.runs if run.kind != 'look'
    )
    return [name for name, count in counts.items() if count > 1]


def refused_but_run(evidence):
    """Find requests that ran although their response says they did not."""
    run_ids = {run.request_id for run in evidence.runs if run.kind != 'look'}
    return [
        f'{record.request_id} {record.status}'
        for record in evidence.responses
        if record.status in NOT_RUN_STATUSES and record.request_id in run_ids
    ]


def mismatched_bodies(evidence):
    """Find successes whose body is not the complete output of one run."""
    outputs = defaultdict(set)
    for run in evidence.runs:
        outputs[run.request_id].add(run.output)
    return [
        f'{record.request_id} {record.body[:60]!r}'
        for record in evidence.responses
        if record.status == 200
        and record.body not in outputs[record.request_id]
    ]


def mismatched_contexts(evidence):
    """Find turns that ran with a context other than that of their chain."""
    completed = evidence.completed_turns()
    turn_records = {
        record.request_id: record
        for record in evidence.responses
        if record.kind == 'turn'
    }
    found = []
    for run in evidence.runs:
        record = turn_records.get(run.request_id)
        if record is None:
            continue
        expected = _chain_body(record, completed)
        if expected is not None and run.body != expected:
            found.append(run.request_id)
    return found


def lost_turns(evidence):
    """Find turns with status 404 or 410 whose previous turn was completed."""
    ended_s_by_id = {
        record.request_id: record.ended_s
        for record in evidence.completed_turns().values()
    }
    return [
        record.request_id
        for record in evidence.responses
        if record.status in {404, 410} and record.previous_id in ended_s_by_id
    ]


def over_budget(evidence):
    """Find programs that used more tokens than budget and one turn allow."""
    spent = Counter()
    for run in evidence.runs:
        spent[run.program_id] += run.tokens
    return [
        f'{program} {spent[program]} of {budget}'
        for program, budget in evidence.budgets.items()
        if spent[program] > budget + evidence.turn_tokens_max
    ]


def over_rate(evidence):
    """Find a window in which a workspace ran more requests than allowed."""
    if not evidence.rate_per_s:
        return []
    limit = evidence.rate_per_s * RATE_WINDOW_S + evidence.burst
    limit = limit * RATE_TOLERANCE + RATE_SLACK
    times = sorted(
        run.began_s
        for run in evidence.runs
        if run.workspace == evidence.workspace
    )
    first = 0
    for index, began_s in enumerate(times):
        while began_s - times[first] > RATE_WINDOW_S:
            first += 1
        if index - first + 1 > limit:
            return [f'{index - first + 1} runs until {began_s:.1f}']
    return []


def exceeded_limits(evidence):
    """Find servers that got more requests than the limit they stated."""
    return list(evidence.limit_excesses)


def late_crashes(evidence):
    """Find requests that were sent on long after they had crashed servers."""
    late_count = evidence.deadly.late_count()
    return [f'{late_count} crashes'] if late_count > LATE_CRASHES_MAX else []


def denied_requests(evidence):
    """Find requests that were blocked for crashes by another one."""
    return [
        record.request_id
        for record in evidence.responses
        if record.status == BLOCKED_STATUS and record.kind != 'deadly'
    ]


def unexpected_runs(evidence):
    """Find runs of requests that no caller sent, or in another workspace."""
    return [
        run.request_id
        for run in evidence.runs
        if run.request_id not in evidence.sent
        or run.workspace != evidence.workspace
    ]


CHECKS = {
    'nothing runs twice': repeated_runs,
    'a refusal that says "not run" is true': refused_but_run,
    'a success is one whole answer': mismatched_bodies,
    'turns run on their whole context': mismatched_contexts,
    'no whole turn is forgotten': lost_turns,
    'no program exceeds its budget': over_budget,
    'no workspace exceeds its rate': over_rate,
    'no server gets more than its limit': exceeded_limits,
    'nothing runs that nobody sent': unexpected_runs,
    'no request crashes more than three servers': late_crashes,
    'no other request is denied': denied_requests,
}


def violations(evidence: Evidence) -> dict[str, list[str]]:
    """Run all checks.

    :param evidence: observations of the soak.
    :returns: violations by promise, without promises that hold.
    """
    found = {name: check(evidence) for name, check in CHECKS.items()}
    return {name: lines for name, lines in found.items() if lines}


def _chain_body(record, completed):
    """Compute the body a server must receive.

    Returns ``None`` if a turn of the chain has no complete response.
    """
    if not record.previous_id:
        return record.prompt
    previous = completed.get(record.previous_id)
    if previous is None:
        return None
    before = _chain_body(previous, completed)
    if before is None:
        return None
    data = b''.join(
        line.removeprefix(b'data: ') + b'\n'
        for line in previous.body.split(b'\n')
        if line.startswith(b'data: ')
    )
    return before + data + record.prompt
