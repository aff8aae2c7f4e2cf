"""What the clients of a run saw, as models that are stored in JSON."""

import enum
from pathlib import Path

import msgspec

from rattanvalve.resultcodes import ResultCode

__all__ = (
    'Attempt',
    'CallRecord',
    'FaultRecord',
    'GenerationSeen',
    'ProgramOutcome',
    'ProgramRecord',
    'RateInForce',
    'RunRecord',
    'read_run',
    'write_run',
)


class ProgramOutcome(enum.StrEnum):
    """Names of the outcome of a program."""

    COMPLETED = 'completed'
    KEY_WITHDRAWN = 'key_withdrawn'
    REFUSED = 'refused'
    UNKNOWN = 'unknown'
    FAILED = 'failed'


class Attempt(msgspec.Struct, kw_only=True):
    """One HTTP request. Times are ``time.monotonic()``.

    ``status`` is 0 if no response arrived; ``code`` is the result code of an
    error, else 0; ``outcome`` is the header ``Rattanvalve-Outcome``.
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
        """Give the duration of the request.

        :returns: seconds.
        """
        return self.ended_s - self.started_s

    def result_name(self) -> str:
        """Name how the request ended.

        :returns: name of its result code, else its HTTP status.
        """
        if self.code:
            known = ResultCode.__members__.values()
            names = {int(code): code.name for code in known}
            return names.get(self.code, str(self.code))
        return str(self.status)


class CallRecord(msgspec.Struct, kw_only=True):
    """One call of a program with all its attempts.

    ``identity`` is the digest of the messages of a chat call or the order id
    of an order; it is unique in a run.
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
    """One program; ``intended_s`` is when it should have started.

    ``pause_s`` are its tool pauses, without the time of its sub-agents.
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
        """Give the duration from the intended start.

        :returns: seconds.
        """
        return self.ended_s - self.intended_s

    def retry_count(self) -> int:
        """Count the attempts beyond the first of each call.

        :returns: number of retries.
        """
        return sum(max(len(call.attempts) - 1, 0) for call in self.calls)


class RateInForce(msgspec.Struct, kw_only=True):
    """Rate of a workspace that was requested at ``from_s``."""

    workspace: str
    from_s: float
    rate_per_s: float
    burst: int


class FaultRecord(msgspec.Struct, kw_only=True):
    """A fault that was in force between two monotonic times."""

    kind: str
    targets: tuple[str, ...]
    began_s: float
    ended_s: float = 0
    is_planned: bool = False


class GenerationSeen(msgspec.Struct, kw_only=True):
    """Configuration generation that an entry process stated."""

    asked_s: float
    generation: int


class RunRecord(msgspec.Struct, kw_only=True):
    """All records of one run.

    ``withdrawn_s`` gives the time at which the withdrawal of a key was
    confirmed, by key name; ``drained_s`` that of a drain, by endpoint name.
    ``is_direct`` marks a run without the product, in
    which nobody enforces rates or releases engine memory.

    ``left_s`` gives, by endpoint name, the times of each planned stop and of
    the restart after it; ``generations`` what each entry process stated.
    Programs that were to start after ``recovered_s`` met no fault; it is 0 in
    a run without faults.
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
    generations: dict[str, list[GenerationSeen]] = {}
    recovered_s: float = 0


def write_run(path: Path, run: RunRecord) -> None:
    """Store the records of a run.

    :param path: JSON file.
    :param run: records.
    """
    path.write_bytes(msgspec.json.encode(run))


def read_run(path: Path) -> RunRecord:
    """Read the records of a run.

    :param path: JSON file by :func:`write_run`.
    :returns: records.
    """
    return msgspec.json.decode(path.read_bytes(), type=RunRecord)
