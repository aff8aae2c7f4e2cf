"""Records of a run made by its clients, stored as JSON."""

import enum
from pathlib import Path

import msgspec

from rattanvalve.resultcodes import ResultCode

__all__ = (
    'Attempt',
    'CallRecord',
    'FaultRecord',
    'GenerationReport',
    'ProgramOutcome',
    'ProgramRecord',
    'RateInForce',
    'RunRecord',
    'read_run',
    'write_run',
)


class ProgramOutcome(enum.StrEnum):
    """Outcomes of a program, decided by its last call.

    ``REFUSED`` means that the last call was refused, ``UNKNOWN`` that no
    complete response arrived or that the product reported an unknown outcome.
    """

    COMPLETED = 'completed'
    KEY_WITHDRAWN = 'key_withdrawn'
    REFUSED = 'refused'
    UNKNOWN = 'unknown'
    FAILED = 'failed'


class Attempt(msgspec.Struct, kw_only=True):
    """One HTTP request. Times are ``time.monotonic()`` in seconds.

    ``status`` is the HTTP status, or 0 if no complete response arrived;
    ``code`` is the result code of an error, otherwise 0; ``outcome`` is the
    value of the header ``Rattanvalve-Outcome``; ``retry_after_s`` that of
    ``Retry-After``.
    """

    started_s: float
    ended_s: float = 0
    url: str = ''
    status: int = 0
    code: int = 0
    outcome: str = ''
    retry_after_s: float = 0
    error: str = ''

    def duration_s(self) -> float:
        """Return the time from sending the request to the end of its response.

        :returns: seconds.
        """
        return self.ended_s - self.started_s

    def result_name(self) -> str:
        """Return a name of the result for statistics.

        :returns: name of the result code if there is one, the number of an
            unknown code, otherwise the HTTP status.
        """
        if self.code:
            known = ResultCode.__members__.values()
            names = {int(code): code.name for code in known}
            return names.get(self.code, str(self.code))
        return str(self.status)


class CallRecord(msgspec.Struct, kw_only=True):
    """One call of a program with all its attempts.

    ``kind`` is ``chat`` or ``order``. ``identity`` is the digest of the
    messages of a chat call or the order id of an order; it is unique in a
    run and also found in the servers' journals. ``first_token_s`` and
    ``token_times_s`` are monotonic times.
    """

    kind: str
    identity: str
    idempotency_key: str = ''
    is_stream: bool = False
    messages: list[dict] = []
    max_tokens: int = 0
    attempts: list[Attempt] = []
    is_answered: bool = False
    text: str = ''
    finish_reason: str = ''
    prompt_tokens: int = 0
    cached_tokens: int = 0
    output_tokens: int = 0
    first_token_s: float = 0
    token_times_s: list[float] = []


class ProgramRecord(msgspec.Struct, kw_only=True):
    """One program with its calls.

    ``intended_s`` is the monotonic time of its planned start, ``ended_s`` that
    of its end. ``pause_s`` is the sum of its tool pauses without the time
    spent waiting for sub-agents. ``parent`` is the name of the program that
    started it, if it is a sub-agent.
    """

    name: str
    workspace: str
    key_name: str
    parent: str = ''
    intended_s: float = 0
    ended_s: float = 0
    pause_s: float = 0
    outcome: str = ''
    calls: list[CallRecord] = []

    def latency_s(self) -> float:
        """Return the time from the intended start to the end.

        It includes the delay of a late start, so overload is not hidden.

        :returns: seconds.
        """
        return self.ended_s - self.intended_s

    def retry_count(self) -> int:
        """Return the number of retries of all calls.

        :returns: number of attempts, not counting the first of each call.
        """
        return sum(max(len(call.attempts) - 1, 0) for call in self.calls)


class RateInForce(msgspec.Struct, kw_only=True):
    """Rate limit of a workspace from the monotonic time ``from_s`` on.

    ``from_s`` is when the change was requested; it applies soon after.
    """

    workspace: str
    from_s: float
    rate_per_s: float
    burst: int


class FaultRecord(msgspec.Struct, kw_only=True):
    """A fault that was active between two monotonic times.

    ``ended_s`` is 0 while the fault is active. ``is_planned`` marks
    operations that must not interrupt any request.
    """

    kind: str
    targets: tuple[str, ...]
    began_s: float
    ended_s: float = 0
    is_planned: bool = False


class GenerationReport(msgspec.Struct, kw_only=True):
    """Configuration generation reported by an entry process.

    ``asked_s`` is the monotonic time at which the request was sent.
    """

    asked_s: float
    generation: int


class RunRecord(msgspec.Struct, kw_only=True):
    """All records of one run.

    ``withdrawn_s`` maps key names to the time at which the withdrawal of the
    key was confirmed; ``drained_s`` maps endpoint names to the time at which
    a drain was confirmed. ``is_direct`` marks a run without the product, in
    which rates are not enforced and engine caches are not released.

    ``left_s`` maps endpoint names to the times of each planned stop and of
    the restart after it; ``generations`` maps entry processes to the
    configuration generations that they reported, in order of time. All faults
    and their effects have ended by ``recovered_s``; it is 0 in a run without
    faults. All times are monotonic.
    """

    scenario: str = ''
    seed: int = 0
    policy: str = ''
    programs: list[ProgramRecord] = []
    rates: list[RateInForce] = []
    withdrawn_s: dict[str, float] = {}
    drained_s: dict[str, float] = {}
    is_direct: bool = False
    faults: list[FaultRecord] = []
    left_s: dict[str, list[tuple[float, float]]] = {}
    generations: dict[str, list[GenerationReport]] = {}
    recovered_s: float = 0


def write_run(path: Path, run: RunRecord) -> None:
    """Store the records of a run as JSON.

    :param path: file to write; an existing one is replaced.
    :param run: records.
    """
    path.write_bytes(msgspec.json.encode(run))


def read_run(path: Path) -> RunRecord:
    """Read the records of a run.

    :param path: JSON file written by :func:`write_run`.
    :returns: records.
    """
    return msgspec.json.decode(path.read_bytes(), type=RunRecord)
