"""Which running requests of one server give their slot to a higher class."""

from collections import Counter as CountTable
from collections.abc import Callable, Iterable

__all__ = ('Preemption',)

#: A request is paused at most this often, so that low classes progress.
MAX_PAUSE_COUNT = 2
#: At most this share of the slots belongs to paused requests at a time.
MAX_PAUSED_SHARE = 0.5
#: A request that was paused for longer takes the next free slot, also before
#: a higher class.
MAX_PAUSE_S = 3.0


class Preemption:
    """Requests that are being paused, are paused or must not be paused.

    :param capacity_count: slots of the server.
    """

    def __init__(self, capacity_count: int) -> None:
        self._max_paused_count = int(capacity_count * MAX_PAUSED_SHARE)
        self._pausing: set[str] = set()
        self._paused: dict[str, float] = {}
        self._counts: CountTable[str] = CountTable()

    @property
    def paused_count(self) -> int:
        """Count the paused requests.

        :returns: number of running requests that use no slot.
        """
        return len(self._paused)

    def choose(
        self,
        running: Iterable[tuple[str, int, float]],
        wanted_count: int,
    ) -> str | None:
        """Choose a request to pause for one of the highest class.

        The lowest class gives way first, and in it the request that started
        last, since it has received the least service.

        :param running: number, class and start in seconds of each request.
        :param wanted_count: waiting requests of the highest class.
        :returns: number of a request that is being paused from now on, or
            ``None``.
        """
        held_count = len(self._pausing) + len(self._paused)
        if wanted_count <= len(self._pausing):
            return None
        if held_count >= self._max_paused_count:
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
        self._counts[number] += 1
        return number

    def note_result(self, number: str, is_paused: bool, now_s: float) -> None:
        """Note the answer of the server to a pause.

        :param number: request that :meth:`choose` gave; it is ignored if it
            has ended since.
        :param is_paused: whether it is paused; a refusal is final.
        :param now_s: monotonic time in seconds.
        """
        if number not in self._pausing:
            return
        self._pausing.discard(number)
        if is_paused:
            self._paused[number] = now_s
        else:
            self._counts[number] = MAX_PAUSE_COUNT

    def resumable(
        self,
        class_of: Callable[[str], int],
        first_class: int | None,
        now_s: float,
    ) -> str | None:
        """Choose the paused request that takes a free slot.

        :param class_of: gives the class of a request.
        :param first_class: class of the waiting request that is next.
        :param now_s: monotonic time in seconds.
        :returns: number of the request, or ``None`` if there is none or a
            higher class goes first.
        """
        for number, since_s in self._paused.items():
            if now_s - since_s >= MAX_PAUSE_S:
                return number
        # The one that was paused first goes first within a class.
        best = min(self._paused, key=class_of, default=None)
        if best is None or first_class is None:
            return best
        return best if class_of(best) <= first_class else None

    def resume(self, number: str) -> None:
        """Note that a request has a slot again.

        :param number: number of a paused request.
        """
        self._paused.pop(number)

    def forget(self, number: str) -> None:
        """Forget a request that has ended.

        :param number: its number.
        """
        self._pausing.discard(number)
        self._paused.pop(number, None)
        self._counts.pop(number, None)

    def _may_pause(self, number: str) -> bool:
        return (
            number not in self._pausing
            and number not in self._paused
            and self._counts[number] < MAX_PAUSE_COUNT
        )
