"""Request rate limits that endpoints state, as this gateway knows them."""

import asyncio
from collections.abc import Iterable, Sequence

from rattanvalve.counters import Counter, Metrics
from rattanvalve.logs import LogPart, part_logger
from rattanvalve.sharedstate.endpoint_limits import LimitTable
from rattanvalve.sharedstate.endpoints import EndpointEntry
from rattanvalve.statedlimits import newest_limit, parse_stated_limit
from rattanvalve.turn_messages import EndpointLimit

__all__ = ('EndpointLimits',)

_log = part_logger(LogPart.GATEWAY)


class EndpointLimits:
    """Limits by incarnation, so that a restarted endpoint has none.

    ``news`` is set while turn stores have to be told of a change.

    :param metrics: counters.
    """

    def __init__(self, metrics: Metrics) -> None:
        self.news = asyncio.Event()
        self._metrics = metrics
        self._table = LimitTable()
        self._changed: set[str] = set()
        #: Endpoints whose last statement could not be read.
        self._malformed: set[str] = set()
        #: Monotonic time in seconds at which an endpoint may have a token
        #: again, by endpoint and by the rank of the request that got none.
        self._exhausted_until_s: dict[str, dict[int, float]] = {}

    def rate_per_s(self, endpoint: EndpointEntry) -> float | None:
        """Return the limit of an endpoint.

        :param endpoint: the endpoint.
        :returns: requests per second; ``None`` if it states no limit.
        """
        if self._table.is_empty():
            return None
        known = self._table.get(endpoint.key)
        return None if known is None else known.rate_per_s

    def silence_s(self, endpoint: EndpointEntry, now_s: float) -> float:
        """Return the time since a response stated the limit of an endpoint.

        :param endpoint: the endpoint.
        :param now_s: monotonic time in seconds.
        :returns: seconds, over all gateways; 0 if it states no limit.
        """
        if self.rate_per_s(endpoint) is None:
            return 0
        return now_s - self._table.get(endpoint.key).heard_s

    def report(self, endpoint: EndpointEntry, now_s: float) -> EndpointLimit:
        """Build the message about an endpoint with a limit.

        :param endpoint: the endpoint.
        :param now_s: monotonic time in seconds.
        :returns: its newest statement.
        """
        return self._table.report(endpoint.key, now_s)

    def reports(self, now_s: float) -> tuple[EndpointLimit, ...]:
        """Build the messages about all endpoints.

        :param now_s: monotonic time in seconds.
        :returns: newest statement of each endpoint that ever stated a limit.
        """
        return self._table.reports(now_s)

    def take_news(self, now_s: float) -> tuple[EndpointLimit, ...]:
        """Return what responses have changed since the last call.

        :param now_s: monotonic time in seconds.
        :returns: newest statement of each endpoint that changed its limit.
        """
        changed = tuple(self._changed)
        self._changed.clear()
        self.news.clear()
        return tuple(
            self._table.report(endpoint, now_s)
            for endpoint in changed
            if self._table.get(endpoint) is not None
        )

    def merge_reports(
        self,
        reports: Iterable[EndpointLimit],
        endpoints: Iterable[EndpointEntry],
        now_s: float,
    ) -> None:
        """Adopt what other gateways know.

        :param reports: statements with their ages.
        :param endpoints: endpoints that this gateway knows; statements of
            others are ignored, as they may have ended.
        :param now_s: monotonic time in seconds.
        """
        names = {endpoint.key: endpoint.name for endpoint in endpoints}
        known = [report for report in reports if report.endpoint in names]
        for key in self._table.merge_reports(known, now_s):
            self._log_change(names[key], key, is_own=False)

    def apply_response(
        self,
        endpoint: EndpointEntry,
        texts: Sequence[str],
        sent_s: float,
        now_s: float,
    ) -> None:
        """Record what a response states about the limit of its endpoint.

        :param endpoint: endpoint that responded.
        :param texts: values of the limit headers of the response.
        :param sent_s: monotonic time in seconds at which the request was sent.
        :param now_s: monotonic time in seconds.
        """
        stated = parse_stated_limit(texts)
        if stated.is_malformed:
            self._report_malformed(endpoint, texts)
            return
        self._malformed.discard(endpoint.key)
        known = self._table.get(endpoint.key)
        newest = newest_limit(known, stated, sent_s, now_s)
        if newest is known:
            return
        if self._table.merge(endpoint.key, newest, now_s):
            self._changed.add(endpoint.key)
            self.news.set()
            self._log_change(endpoint.name, endpoint.key, is_own=True)

    def exhaust(
        self, endpoint: EndpointEntry, rank: int, until_s: float
    ) -> None:
        """Record that an endpoint had no token for a request.

        :param endpoint: the endpoint.
        :param rank: rank of the request; those of higher ranks get none either.
        :param until_s: monotonic time in seconds at which it may have one.
        """
        until_by_rank = self._exhausted_until_s.setdefault(endpoint.key, {})
        until_by_rank[rank] = until_s

    def exhausted_until_s(self, endpoint: EndpointEntry, rank: int) -> float:
        """Return when an endpoint may have a token for a request.

        :param endpoint: the endpoint.
        :param rank: rank of the request.
        :returns: monotonic time in seconds; in the past if it may have one.
        """
        if self.rate_per_s(endpoint) is None:
            return float('-inf')
        until_by_rank = self._exhausted_until_s.get(endpoint.key, {})
        return max(
            (
                until_s
                for known_rank, until_s in until_by_rank.items()
                if known_rank <= rank
            ),
            default=float('-inf'),
        )

    def forget(self, endpoint: EndpointEntry) -> None:
        """Delete the limit of an endpoint that no longer exists.

        :param endpoint: the endpoint.
        """
        self._table.drop(endpoint.key)
        self._malformed.discard(endpoint.key)
        self._exhausted_until_s.pop(endpoint.key, None)

    def _log_change(self, name: str, key: str, *, is_own: bool) -> None:
        rate_per_s = self._table.get(key).rate_per_s
        if rate_per_s is None:
            self._metrics.count(Counter.ENDPOINT_LIMIT_ENDED)
            _log.info(
                'endpoint limit ended',
                extra={'endpoint': name, 'is_own': is_own},
            )
            return
        self._metrics.count(Counter.ENDPOINT_LIMIT_STATED)
        _log.info(
            'endpoint states a limit',
            extra={
                'endpoint': name,
                'limit_per_s': rate_per_s,
                'is_own': is_own,
            },
        )

    def _report_malformed(
        self, endpoint: EndpointEntry, texts: Sequence[str]
    ) -> None:
        self._metrics.count(Counter.ENDPOINT_LIMIT_MALFORMED)
        if endpoint.key in self._malformed:
            return
        self._malformed.add(endpoint.key)
        _log.warning(
            'endpoint limit cannot be read',
            extra={'endpoint': endpoint.name, 'stated': repr(texts)[:80]},
        )
