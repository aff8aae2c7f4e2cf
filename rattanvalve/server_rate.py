"""Keeps the request rate limit that the server of an endpoint process states.

The endpoint process is the only one that sends requests to its server, so its
token bucket alone keeps the limit for all entry processes.
"""

from collections.abc import Sequence

from rattanvalve.counters import Counter, Metrics
from rattanvalve.logs import LogPart, part_logger
from rattanvalve.ratelimit import Bucket
from rattanvalve.statedlimits import (
    BURST_TIME_S,
    KnownLimit,
    kept_rate_per_s,
    newest_limit,
    parse_stated_limit,
)

__all__ = ('ServerRate',)

_log = part_logger(LogPart.ENDPOINT)


class ServerRate:
    """Newest limit of the server and the tokens that it leaves.

    :param metrics: counters.
    """

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics
        self._known: KnownLimit | None = None
        self._bucket: Bucket | None = None
        self._is_malformed = False

    @property
    def is_limited(self) -> bool:
        """Return whether the server states a limit.

        :returns: whether requests need tokens.
        """
        return self._bucket is not None

    def apply_response(
        self, texts: Sequence[str], sent_s: float, now_s: float
    ) -> None:
        """Record what a response states about the limit of the server.

        :param texts: values of the limit headers of the response.
        :param sent_s: monotonic time in seconds at which the request was sent.
        :param now_s: monotonic time in seconds.
        """
        stated = parse_stated_limit(texts)
        if stated.is_malformed:
            self._report_malformed(texts)
            return
        self._is_malformed = False
        former = self._known
        self._known = newest_limit(former, stated, sent_s, now_s)
        former_per_s = None if former is None else former.rate_per_s
        rate_per_s = None if self._known is None else self._known.rate_per_s
        if rate_per_s != former_per_s:
            self._change(rate_per_s, former_per_s, now_s)

    def take(self, now_s: float) -> bool:
        """Take the token of one request.

        :param now_s: monotonic time in seconds.
        :returns: whether the request may be sent; always true without a limit.
        """
        return self._bucket is None or self._bucket.take(now_s)

    def wait_s(self, ahead_count: int, now_s: float) -> float:
        """Return the time until a request has a token.

        :param ahead_count: requests that get tokens before it.
        :param now_s: monotonic time in seconds.
        :returns: seconds; 0 without a limit.
        """
        if self._bucket is None:
            return 0
        return self._bucket.wait_s(now_s, ahead_count)

    def _change(
        self,
        rate_per_s: float | None,
        former_per_s: float | None,
        now_s: float,
    ) -> None:
        if rate_per_s is None:
            self._bucket = None
            self._metrics.count(Counter.ENDPOINT_LIMIT_ENDED)
            _log.info('server limit ended')
            return
        kept_per_s = kept_rate_per_s(rate_per_s)
        burst = max(kept_per_s * BURST_TIME_S, 1)
        if self._bucket is None:
            self._bucket = Bucket(kept_per_s, burst, now_s)
        self._bucket.configure(kept_per_s, burst, now_s)
        self._metrics.count(Counter.ENDPOINT_LIMIT_STATED)
        _log.info(
            'server states a limit',
            extra={'limit_per_s': rate_per_s, 'former_per_s': former_per_s},
        )

    def _report_malformed(self, texts: Sequence[str]) -> None:
        self._metrics.count(Counter.ENDPOINT_LIMIT_MALFORMED)
        if not self._is_malformed:
            self._is_malformed = True
            _log.warning(
                'server limit cannot be read',
                extra={'stated': repr(texts)[:80]},
            )
