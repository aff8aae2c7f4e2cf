"""What callers and servers saw, and the promises that it must keep.

Each check takes the evidence and gives one line for each violation. Times are
monotonic, in seconds.
"""

from collections import Counter, defaultdict
from dataclasses import dataclass, field

__all__ = ('CHECKS', 'Answer', 'Evidence', 'Run', 'violations')

#: Statuses that promise that a request has not run and never will.
NOT_RUN_STATUSES = frozenset((402, 408, 421, 429, 503))
RATE_WINDOW_S = 5.0
#: Tolerance of the rule on rates: a tenth and some requests more.
RATE_TOLERANCE = 1.1
RATE_SLACK = 20


@dataclass(frozen=True, slots=True)
class Run:
    """One request that a server ran."""

    request_id: str
    kind: str
    began_s: float
    body: bytes = b''
    workspace: str = ''
    program_id: str = ''
    tokens: int = 0
    output: bytes = b''


@dataclass(frozen=True, slots=True)
class Answer:
    """One request of a caller and what came back; status 0 is none."""

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
    """All that was seen; ``rate_per_s`` and ``burst`` hold for ``farm``."""

    runs: list[Run] = field(default_factory=list)
    answers: list[Answer] = field(default_factory=list)
    sent: set[str] = field(default_factory=set)
    budgets: dict[str, int] = field(default_factory=dict)
    turn_tokens_max: int = 27
    rate_per_s: float = 0
    burst: float = 0
    workspace: str = 'farm'

    def whole_turns(self) -> dict[str, Answer]:
        """Give the turns whose answers ended whole."""
        return {
            answer.request_id: answer
            for answer in self.answers
            if answer.kind == 'turn' and answer.status == 200
        }


def run_twice(evidence):
    """Find requests that ran more than once and must not."""
    counts = Counter(
        run.request_id for run in evidence.runs if run.kind != 'look'
    )
    return [name for name, count in counts.items() if count > 1]


def refused_and_run(evidence):
    """Find requests that were refused as not run, and ran."""
    ran = {run.request_id for run in evidence.runs if run.kind != 'look'}
    return [
        f'{answer.request_id} {answer.status}'
        for answer in evidence.answers
        if answer.status in NOT_RUN_STATUSES and answer.request_id in ran
    ]


def wrong_body(evidence):
    """Find successes that are not the whole answer of one run."""
    outputs = defaultdict(set)
    for run in evidence.runs:
        outputs[run.request_id].add(run.output)
    return [
        f'{answer.request_id} {answer.body[:60]!r}'
        for answer in evidence.answers
        if answer.status == 200
        and answer.body not in outputs[answer.request_id]
    ]


def wrong_context(evidence):
    """Find turns that ran on another context than their chain."""
    turns = evidence.whole_turns()
    prompts = {
        answer.request_id: answer
        for answer in evidence.answers
        if answer.kind == 'turn'
    }
    found = []
    for run in evidence.runs:
        answer = prompts.get(run.request_id)
        if answer is None:
            continue
        expected = _chain_bytes(answer, turns)
        if expected is not None and run.body != expected:
            found.append(run.request_id)
    return found


def forgotten(evidence):
    """Find turns that were denied though the turn before ended whole."""
    ended = {
        answer.request_id: answer.ended_s
        for answer in evidence.whole_turns().values()
    }
    return [
        answer.request_id
        for answer in evidence.answers
        if answer.status in {404, 410} and answer.previous_id in ended
    ]


def over_budget(evidence):
    """Find programs that were given more tokens than they may spend."""
    spent = Counter()
    for run in evidence.runs:
        spent[run.program_id] += run.tokens
    return [
        f'{program} {spent[program]} of {budget}'
        for program, budget in evidence.budgets.items()
        if spent[program] > budget + evidence.turn_tokens_max
    ]


def over_rate(evidence):
    """Find a window in which a workspace ran more than its rate allows."""
    if not evidence.rate_per_s:
        return []
    most = evidence.rate_per_s * RATE_WINDOW_S + evidence.burst
    most = most * RATE_TOLERANCE + RATE_SLACK
    times = sorted(
        run.began_s
        for run in evidence.runs
        if run.workspace == evidence.workspace
    )
    first = 0
    for index, began_s in enumerate(times):
        while began_s - times[first] > RATE_WINDOW_S:
            first += 1
        if index - first + 1 > most:
            return [f'{index - first + 1} runs until {began_s:.1f}']
    return []


def foreign(evidence):
    """Find runs of a request that no caller sent, or of a wrong workspace."""
    return [
        run.request_id
        for run in evidence.runs
        if run.request_id not in evidence.sent
        or run.workspace != evidence.workspace
    ]


CHECKS = {
    'nothing runs twice': run_twice,
    'a refusal that says "not run" is true': refused_and_run,
    'a success is one whole answer': wrong_body,
    'turns run on their whole context': wrong_context,
    'no whole turn is forgotten': forgotten,
    'no program exceeds its budget': over_budget,
    'no workspace exceeds its rate': over_rate,
    'nothing runs that nobody sent': foreign,
}


def violations(evidence: Evidence) -> dict[str, list[str]]:
    """Check all promises.

    :param evidence: what was seen.
    :returns: violations by promise; only promises that are broken.
    """
    found = {name: check(evidence) for name, check in CHECKS.items()}
    return {name: lines for name, lines in found.items() if lines}


def _chain_bytes(answer, turns):
    """Give the bytes a server must get; ``None`` if the chain is unknown."""
    if not answer.previous_id:
        return answer.prompt
    previous = turns.get(answer.previous_id)
    if previous is None:
        return None
    before = _chain_bytes(previous, turns)
    if before is None:
        return None
    data = b''.join(
        line.removeprefix(b'data: ') + b'\n'
        for line in previous.body.split(b'\n')
        if line.startswith(b'data: ')
    )
    return before + data + answer.prompt
