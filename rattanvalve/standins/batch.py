"""Continuous batching of the stand-in engine, without I/O."""

from collections.abc import Callable
from dataclasses import dataclass, field

from rattanvalve.standins.cache import PrefixCache
from rattanvalve.standins.text import prompt_tokens

__all__ = ('Batch', 'EngineCosts', 'Job')


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineCosts:
    """Cost parameters of an engine, in seconds, and its batch size."""

    max_batch_count: int = 8
    step_base_s: float = 0.002
    step_per_request_s: float = 0.0003
    prefill_per_token_s: float = 0.00002


@dataclass(slots=True, kw_only=True, eq=False)
class Job:
    """A chat request in the engine.

    ``tokens`` are those still to emit, ``emit`` receives each of them and
    ``None`` after the last. ``on_left`` is called once, with whether all were
    emitted, just before the cache changes.
    """

    request_id: str
    cache_key: str
    messages: list[dict]
    tokens: list[str]
    emit: Callable[[str | None], None]
    on_left: Callable[[bool], None]
    priority: int = 0
    is_paused: bool = False
    emitted_count: int = 0
    cached_tokens: int = 0
    prompt_tokens: int = field(init=False)

    def __post_init__(self) -> None:
        """Count the prompt."""
        self.prompt_tokens = sum(map(prompt_tokens, self.messages))


class Batch:
    """Requests that run together, one token each in every step.

    :param costs: cost parameters.
    :param cache: prefix cache.
    """

    def __init__(self, costs: EngineCosts, cache: PrefixCache) -> None:
        self._costs = costs
        self._cache = cache
        self._queue: list[Job] = []
        self._running: list[Job] = []

    @property
    def running_count(self) -> int:
        """Number of requests in the batch."""
        return len(self._running)

    @property
    def queued_count(self) -> int:
        """Number of requests that wait, paused ones included."""
        return len(self._queue)

    @property
    def capacity_count(self) -> int:
        """Largest number of requests in the batch."""
        return self._costs.max_batch_count

    def has_work(self) -> bool:
        """Return whether a step would do anything.

        :returns: whether a request runs or waits without being paused.
        """
        return bool(self._running) or any(
            not job.is_paused for job in self._queue
        )

    def submit(self, job: Job) -> None:
        """Queue a request.

        :param job: request; a lower priority number is served first.
        """
        self._queue.append(job)
        self._queue.sort(key=_priority_of)

    def cancel(self, job: Job, now_s: float) -> None:
        """Remove a request that its sender left.

        :param job: request.
        :param now_s: monotonic time in seconds.
        """
        if job in self._queue:
            self._queue.remove(job)
            if job.emitted_count:
                self._leave(job, now_s)
            else:
                job.on_left(False)
                self._cache.note_unused(job.cache_key)
        elif job in self._running:
            self._running.remove(job)
            self._leave(job, now_s)

    def set_paused(self, request_id: str, *, is_paused: bool) -> bool:
        """Pause or resume the requests with an id.

        :param request_id: value of ``X-Request-Id``.
        :param is_paused: whether they shall pause.
        :returns: whether there was such a request.
        """
        found = [
            job
            for job in self._queue + self._running
            if job.request_id == request_id
        ]
        for job in found:
            job.is_paused = is_paused
            if is_paused and job in self._running:
                self._running.remove(job)
                self.submit(job)
        return bool(found)

    def step(self, now_s: float) -> float:
        """Admit waiting requests and emit one token of each running one.

        :param now_s: monotonic time in seconds.
        :returns: duration of the step in seconds.
        """
        prefill_tokens = self._admit()
        batch_count = len(self._running)
        for job in list(self._running):
            self._emit_next(job, now_s)
        return (
            self._costs.step_base_s
            + self._costs.step_per_request_s * batch_count
            + self._costs.prefill_per_token_s * prefill_tokens
        )

    def _admit(self) -> int:
        prefill_tokens = 0
        for job in [
            waiting for waiting in self._queue if not waiting.is_paused
        ]:
            if len(self._running) >= self._costs.max_batch_count:
                break
            self._queue.remove(job)
            self._running.append(job)
            # A resumed request still holds its own prefix.
            if not job.emitted_count:
                job.cached_tokens = self._cache.pin(job.cache_key, job.messages)
                prefill_tokens += job.prompt_tokens - job.cached_tokens
        return prefill_tokens

    def _emit_next(self, job: Job, now_s: float) -> None:
        if job.emitted_count < len(job.tokens):
            job.emit(job.tokens[job.emitted_count])
            job.emitted_count += 1
        if job.emitted_count >= len(job.tokens):
            self._running.remove(job)
            self._leave(job, now_s)
            job.emit(None)

    def _leave(self, job: Job, now_s: float) -> None:
        job.on_left(job.emitted_count >= len(job.tokens))
        text = ''.join(job.tokens[: job.emitted_count])
        reply = {'role': 'assistant', 'content': text}
        self._cache.store(job.cache_key, [*job.messages, reply], now_s)


def _priority_of(job: Job) -> int:
    return job.priority
