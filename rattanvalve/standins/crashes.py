"""Model of requests that crash each server that begins to run them."""

from collections import defaultdict

__all__ = ('CRASHES_MAX', 'DeadlyRequests')

#: Number of crashes after which a request must not reach servers any more.
CRASHES_MAX = 3
#: Time after the last of these crashes in which the gateways learn of it.
CONTACT_S = 3.0
#: Start of a body that crashes the server.
MARKER = b'crash the server'


class DeadlyRequests:
    """Crashes of all servers of one test or load run, by body."""

    def __init__(self) -> None:
        self._crashed_s: dict[bytes, list[float]] = defaultdict(list)

    def is_deadly(self, body: bytes) -> bool:
        """Return whether a request crashes its server.

        :param body: body of the request, which may follow earlier turns.
        :returns: whether the marker stands in it.
        """
        return MARKER in body

    def record_crash(self, body: bytes, now_s: float) -> None:
        """Record that a server crashed when it ran a request.

        :param body: body of the request.
        :param now_s: monotonic time in seconds.
        """
        self._crashed_s[body[body.index(MARKER) :]].append(now_s)

    def crash_count(self) -> int:
        """Count the crashes of all servers.

        :returns: number of crashes by all bodies.
        """
        return sum(map(len, self._crashed_s.values()))

    def late_count(self) -> int:
        """Count the runs that the gateways should have prevented.

        :returns: the largest number, over all bodies, of crashes later than
            ``CONTACT_S`` after the one of rank ``CRASHES_MAX``.
        """
        return max(map(_late_count, self._crashed_s.values()), default=0)


def _late_count(crashed_s: list[float]) -> int:
    if len(crashed_s) < CRASHES_MAX:
        return 0
    contact_s = sorted(crashed_s)[CRASHES_MAX - 1] + CONTACT_S
    return sum(moment_s > contact_s for moment_s in crashed_s)
