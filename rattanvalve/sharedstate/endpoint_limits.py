"""Request rate limits of endpoints, as gateways and turn stores tell them.

Each process converts the age of a statement into its own monotonic time, so
the newer of two statements is found without comparing clocks.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from rattanvalve.statedlimits import KnownLimit
from rattanvalve.turn_messages import EndpointLimit

__all__ = ('LimitTable',)

#: A repeated statement of the same limit is newer only beyond this time.
#: Otherwise the transit time of messages would make it younger at each hop.
REPEATED_MARGIN_S = 0.5
#: Time after which a statement that nobody repeats is dropped.
LIMIT_TTL_S = 60.0


@dataclass(slots=True)
class _Entry:
    known: KnownLimit
    #: Monotonic time in seconds of the last message about it.
    refreshed_s: float


class LimitTable:
    """Newest statement of each endpoint, by the key of its incarnation."""

    def __init__(self) -> None:
        self._entries: dict[str, _Entry] = {}

    def is_empty(self) -> bool:
        """Return whether no endpoint has stated a limit.

        :returns: whether there is no statement at all.
        """
        return not self._entries

    def get(self, endpoint: str) -> KnownLimit | None:
        """Return the newest statement of an endpoint.

        :param endpoint: key of the endpoint's incarnation.
        :returns: the statement; ``None`` if it never stated a limit.
        """
        entry = self._entries.get(endpoint)
        return None if entry is None else entry.known

    def merge(self, endpoint: str, known: KnownLimit, now_s: float) -> bool:
        """Adopt a statement unless a newer one is known.

        :param endpoint: key of the endpoint's incarnation.
        :param known: the statement.
        :param now_s: monotonic time in seconds.
        :returns: whether the limit has changed.
        """
        entry = self._entries.get(endpoint)
        if entry is None:
            self._entries[endpoint] = _Entry(known, now_s)
            return known.rate_per_s is not None
        entry.refreshed_s = now_s
        is_same = entry.known.rate_per_s == known.rate_per_s
        margin_s = REPEATED_MARGIN_S if is_same else 0
        if known.heard_s <= entry.known.heard_s + margin_s:
            return False
        entry.known = known
        return not is_same

    def merge_reports(
        self, reports: Iterable[EndpointLimit], now_s: float
    ) -> list[str]:
        """Adopt the statements in a message.

        :param reports: statements with their ages.
        :param now_s: monotonic time in seconds.
        :returns: keys of the endpoints whose limit has changed.
        """
        return [
            report.endpoint
            for report in reports
            if self.merge(report.endpoint, _known_limit(report, now_s), now_s)
        ]

    def report(self, endpoint: str, now_s: float) -> EndpointLimit:
        """Build the message about one endpoint.

        :param endpoint: key of an endpoint in this table.
        :param now_s: monotonic time in seconds.
        :returns: its newest statement.
        """
        known = self._entries[endpoint].known
        return EndpointLimit(
            endpoint=endpoint,
            is_limited=known.rate_per_s is not None,
            rate_per_s=known.rate_per_s or 0,
            age_ms=int((now_s - known.heard_s) * 1000),
        )

    def reports(self, now_s: float) -> tuple[EndpointLimit, ...]:
        """Build the messages about all endpoints.

        :param now_s: monotonic time in seconds.
        :returns: newest statement of each endpoint.
        """
        return tuple(self.report(endpoint, now_s) for endpoint in self._entries)

    def expire(self, now_s: float) -> None:
        """Drop the endpoints that no message has named for a while.

        :param now_s: monotonic time in seconds.
        """
        for endpoint, entry in tuple(self._entries.items()):
            if now_s - entry.refreshed_s > LIMIT_TTL_S:
                self._entries.pop(endpoint)

    def drop(self, endpoint: str) -> None:
        """Drop an endpoint; no effect if it is unknown.

        :param endpoint: key of the endpoint's incarnation.
        """
        self._entries.pop(endpoint, None)


def _known_limit(report: EndpointLimit, now_s: float) -> KnownLimit:
    return KnownLimit(
        rate_per_s=report.rate_per_s if report.is_limited else None,
        heard_s=now_s - report.age_ms / 1000,
    )
