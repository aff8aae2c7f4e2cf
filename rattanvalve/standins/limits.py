"""Model of a server that states how many requests a second it accepts."""

from collections.abc import Sequence
from dataclasses import dataclass, field

from rattanvalve.platform.names import SERVER_LIMIT

__all__ = ('StatedRate', 'allowed_count', 'busiest_window')

#: The check of a server that states a limit: from the grace period on, it gets
#: in no window more than the tolerance times what the limit allows, plus the
#: slack.
WINDOW_S = 4.0
GRACE_S = 3.0
TOLERANCE = 1.5
SLACK_COUNT = 5


def allowed_count(limit_per_s: float) -> float:
    """Compute how many requests a server may get in one window.

    :param limit_per_s: limit that the server states, in requests per second.
    :returns: number of requests.
    """
    return limit_per_s * WINDOW_S * TOLERANCE + SLACK_COUNT


def busiest_window(arrivals_s: Sequence[float], since_s: float) -> int:
    """Count the arrivals in the window that has most of them.

    :param arrivals_s: times of arrival in seconds, in ascending order.
    :param since_s: start of the earliest window in seconds.
    :returns: number of requests.
    """
    times_s = [arrived_s for arrived_s in arrivals_s if arrived_s >= since_s]
    first = 0
    most = 0
    for index, arrived_s in enumerate(times_s):
        while arrived_s - times_s[first] >= WINDOW_S:
            first += 1
        most = max(most, index - first + 1)
    return most


@dataclass(slots=True)
class StatedRate:
    """Limit that a server states now, and the requests that it got since.

    ``text`` is the value of the header; empty while no limit is stated.
    """

    text: str = ''
    since_s: float = 0
    arrivals_s: list[float] = field(default_factory=list)

    def state(self, limit_per_s: float | None, now_s: float) -> None:
        """Start to state a limit, or stop.

        :param limit_per_s: requests per second; ``None`` states no limit.
        :param now_s: monotonic time in seconds.
        """
        self.text = '' if limit_per_s is None else f'{limit_per_s:g}'
        self.restart_grace(now_s)

    def restart_grace(self, now_s: float) -> None:
        """Begin the grace period of the limit again.

        :param now_s: monotonic time in seconds.
        """
        self.since_s = now_s
        self.arrivals_s.clear()

    def record_arrival(self, now_s: float) -> None:
        """Record a request.

        :param now_s: monotonic time in seconds.
        """
        self.arrivals_s.append(now_s)

    def headers(self) -> dict[str, str]:
        """Return the headers to add to a response.

        :returns: the limit header; nothing while no limit is stated.
        """
        return {SERVER_LIMIT: self.text} if self.text else {}

    def excess(self) -> str:
        """Describe by how much the limit was exceeded after the grace period.

        :returns: one line; empty if the requests were within the limit.
        """
        if not self.text:
            return ''
        most = busiest_window(self.arrivals_s, self.since_s + GRACE_S)
        allowed = allowed_count(float(self.text))
        if most <= allowed:
            return ''
        return (
            f'{most} requests in {WINDOW_S:g} s at a limit of {self.text} a '
            f'second, {allowed:g} allowed'
        )
