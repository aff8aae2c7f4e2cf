"""Preemption of running requests of one server by the highest class."""

from collections import Counter as CountTable
from collections.abc import Callable, Iterable

__all__ = ('Preemption',)

#: Upper bound on the pauses of one request, so that low classes progress.
MAX_PAUSE_COUNT = 2
#: Paused requests may account for at most this share of the slots.
MAX_PAUSED_SHARE = 0.5
#: A request paused for this long takes the next free slot, even if a higher
#: class waits.
MAX_PAUSE_S = 3.0


class Preemption:
    """Tracks pending pauses, paused requests and pause counts.

    :param capacity_count: number of slots of the server.
    """

    def __init__(self, capacity_count: int) -> None:
        self._max_paused_count = int(capacity_count * MAX_PAUSED_SHARE)
        self._pausing: set[str] = set()
        self._paused: dict[str, float] = {}
        self._pause_counts: CountTable[str] = CountTable()

    @property
    def paused_count(self) -> int:
        """Return the number of paused requests.

        :returns: started requests that hold no slot.
        """
        return len(self._paused)

    def choose(
        self,
        running: Iterable[tuple[str, int, float]],
        waiting_count: int,
    ) -> str | None:
        """Choose a request to pause for a waiting one of the highest class.

        Requests of the lowest class are preempted first. Within a class, the
        request that started last is chosen because it has received the least
        service.

        :param running: number, class and start time in seconds of each
            started request.
        :param waiting_count: waiting requests of the highest class.
        :returns: number of the request whose pause is now pending, or
            ``None``.
        """
        affected_count = len(self._pausing) + len(self._paused)
        if waiting_count <= len(self._pausing):
            return None
        if affected_count >= self._max_paused_count:
            return None
        candidates = [
            (priority, started_s, number)
            for number, priority, started_s in running
            if priority > 0 and self._may_pause(number)
        ]
        if not candidates:
            return None
        number = max(candidates)[2]
        self._pausing.add(number)
        self._pause_counts[number] += 1
        return number

    def record_result(self, number: str, is_paused: bool, now_s: float) -> None:
        """Record the response of the server to a pause.

        :param number: request returned by :meth:`choose`; ignored if it has
            ended in the meantime.
        :param is_paused: whether the request is paused; after a refusal, it
            is not chosen again.
        :param now_s: monotonic time in seconds.
        """
        if number not in self._pausing:
            return
        self._pausing.discard(number)
        if is_paused:
            self._paused[number] = now_s
        else:
            self._pause_counts[number] = MAX_PAUSE_COUNT

    def next_resumable(
        self,
        class_of: Callable[[str], int],
        next_class: int | None,
        now_s: float,
    ) -> str | None:
        """Choose the paused request to resume in a free slot.

        :param class_of: returns the class of a request.
        :param next_class: class of the next waiting request, if any.
        :param now_s: monotonic time in seconds.
        :returns: number of the request, or ``None`` if none is paused or a
            higher class goes first.
        """
        for number, paused_at_s in self._paused.items():
            if now_s - paused_at_s >= MAX_PAUSE_S:
                return number
        # Within a class, the request that was paused first resumes first.
        candidate = min(self._paused, key=class_of, default=None)
        if candidate is None or next_class is None:
            return candidate
        return candidate if class_of(candidate) <= next_class else None

    def resume(self, number: str) -> None:
        """Mark a paused request as running.

        :param number: number of a paused request.
        """
        self._paused.pop(number)

    def discard(self, number: str) -> None:
        """Discard the state of a request that has ended.

        :param number: number of the request; unknown numbers are ignored.
        """
        self._pausing.discard(number)
        self._paused.pop(number, None)
        self._pause_counts.pop(number, None)

    def _may_pause(self, number: str) -> bool:
        return (
            number not in self._pausing
            and number not in self._paused
            and self._pause_counts[number] < MAX_PAUSE_COUNT
        )
