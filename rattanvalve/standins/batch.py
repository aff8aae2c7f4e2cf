"""Continuous batching of the stand-in engine, without I/O."""

from collections.abc import Callable
from dataclasses import dataclass, field

from rattanvalve.standins.cache import PrefixCache
from rattanvalve.standins.text import prompt_tokens

__all__ = ('Batch', 'EngineCosts', 'Job')


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineCosts:
    """Cost model of an engine: seconds of a step, and the maximum batch size.

    A step takes ``step_base_s``, ``step_per_request_s`` for each request in
    the batch and ``prefill_per_token_s`` for each prompt token that is not
    cached.
    """

    max_batch_count: int = 8
    step_base_s: float = 0.002
    step_per_request_s: float = 0.0003
    prefill_per_token_s: float = 0.00002


@dataclass(slots=True, kw_only=True, eq=False)
class Job:
    """A chat request in the engine.

    ``tokens`` are the tokens to generate. ``emit`` is called with each token,
    then with ``None``. ``on_removed`` is called once, when the request is
    removed from the engine and before its cache entry is updated; its argument
    states whether all tokens were emitted.
    """

    request_id: str
    cache_key: str
    messages: list[dict]
    tokens: list[str]
    emit: Callable[[str | None], None]
    on_removed: Callable[[bool], None]
    priority: int = 0
    is_paused: bool = False
    emitted_count: int = 0
    cached_tokens: int = 0
    prompt_tokens: int = field(init=False)

    def __post_init__(self) -> None:
        """Count the prompt tokens of all messages."""
        self.prompt_tokens = sum(map(prompt_tokens, self.messages))


class Batch:
    """Running and queued requests; a step emits one token per running request.

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
        """Number of queued requests, including paused ones."""
        return len(self._queue)

    @property
    def capacity_count(self) -> int:
        """Maximum number of running requests."""
        return self._costs.max_batch_count

    def has_work(self) -> bool:
        """Return whether a step can make progress.

        :returns: whether a request is running, or queued and not paused.
        """
        return bool(self._running) or any(
            not job.is_paused for job in self._queue
        )

    def submit(self, job: Job) -> None:
        """Queue a request.

        :param job: request; lower priority numbers run first, equal ones in
            order of submission.
        """
        self._queue.append(job)
        self._queue.sort(key=_priority_of)

    def cancel(self, job: Job, now_s: float) -> None:
        """Remove a request whose client disconnected.

        :param job: request; ignored if it has finished.
        :param now_s: monotonic time in seconds.
        """
        if job in self._queue:
            self._queue.remove(job)
            if job.emitted_count:
                self._finish(job, now_s)
            else:
                job.on_removed(False)
                self._cache.report_unused(job.cache_key)
        elif job in self._running:
            self._running.remove(job)
            self._finish(job, now_s)

    def set_paused(self, request_id: str, *, is_paused: bool) -> bool:
        """Pause or resume the requests with a request id.

        :param request_id: value of ``X-Request-Id``.
        :param is_paused: ``True`` to pause, ``False`` to resume.
        :returns: ``False`` if no queued or running request has the id.
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
        """Admit queued requests and emit one token of each running request.

        :param now_s: monotonic time in seconds.
        :returns: simulated duration of the step in seconds.
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
        for job in [queued for queued in self._queue if not queued.is_paused]:
            if len(self._running) >= self._costs.max_batch_count:
                break
            self._queue.remove(job)
            self._running.append(job)
            # A resumed request still pins its prefix and needs no prefill.
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
            self._finish(job, now_s)
            job.emit(None)

    def _finish(self, job: Job, now_s: float) -> None:
        job.on_removed(job.emitted_count >= len(job.tokens))
        text = ''.join(job.tokens[: job.emitted_count])
        reply = {'role': 'assistant', 'content': text}
        self._cache.store(job.cache_key, [*job.messages, reply], now_s)


def _priority_of(job: Job) -> int:
    return job.priority
