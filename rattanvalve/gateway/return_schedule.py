"""Delays that refused callers are told, so that a retry can be served."""

__all__ = ('ReturnSchedule',)

#: Longest announced delay; a longer forecast would rarely hold.
RETURN_MAX_S = 10.0


class ReturnSchedule:
    """Spreads the retries of refused requests over the following seconds.

    If all refused callers were told the time until the next free token, they
    would return together and all but one would be refused again.
    """

    def __init__(self) -> None:
        #: Monotonic time in seconds of the last scheduled retry, by service.
        self._last_s: dict[str, float] = {}

    def delay_s(
        self,
        service: str,
        capacity_per_s: float,
        free_s: float,
        now_s: float,
        kept_max_s: float = RETURN_MAX_S,
    ) -> float:
        """Schedule the retry of one refused request.

        :param service: service of the request.
        :param capacity_per_s: requests per second that this process can send
            to the service.
        :param free_s: monotonic time in seconds before which no endpoint has
            room.
        :param now_s: monotonic time in seconds.
        :param kept_max_s: delay in seconds up to which the caller retries. A
            longer one takes no place in the schedule.
        :returns: seconds until the retry.
        """
        interval_s = 1 / capacity_per_s if capacity_per_s else RETURN_MAX_S
        last_s = self._last_s.get(service, now_s)
        retry_s = max(last_s + interval_s, free_s, now_s)
        retry_s = min(retry_s, now_s + RETURN_MAX_S)
        delay_s = retry_s - now_s
        if delay_s <= kept_max_s:
            self._last_s[service] = retry_s
        return delay_s
