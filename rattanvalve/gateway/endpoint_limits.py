"""Request rate limits that endpoints state in their responses."""

from collections.abc import Hashable, Sequence
from dataclasses import dataclass

from rattanvalve.counters import Counter, Metrics
from rattanvalve.logs import LogPart, part_logger
from rattanvalve.sharedstate.endpoints import EndpointEntry
from rattanvalve.statedlimits import parse_stated_limit

__all__ = ('EndpointLimits',)

_log = part_logger(LogPart.GATEWAY)


@dataclass(slots=True)
class _KnownLimit:
    """Limit that a response stated last; times are monotonic, in seconds."""

    rate_per_s: float
    heard_s: float


class EndpointLimits:
    """Limits by endpoint identity, so a restarted endpoint has none.

    :param metrics: counters.
    """

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics
        self._limits: dict[Hashable, _KnownLimit] = {}
        #: Endpoints whose last statement could not be read.
        self._malformed: set[Hashable] = set()

    def rate_per_s(self, endpoint: EndpointEntry) -> float | None:
        """Return the limit of an endpoint.

        :param endpoint: the endpoint.
        :returns: requests per second; ``None`` if it states no limit.
        """
        known = self._limits.get(endpoint.identity)
        return None if known is None else known.rate_per_s

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
        self._malformed.discard(endpoint.identity)
        known = self._limits.get(endpoint.identity)
        if stated.rate_per_s is not None:
            self._set(endpoint, stated.rate_per_s, now_s)
        elif known is not None and sent_s > known.heard_s:
            # The response to an earlier request may have been written before
            # the endpoint stated the limit.
            self._limits.pop(endpoint.identity)
            self._metrics.count(Counter.ENDPOINT_LIMIT_ENDED)
            _log.info('endpoint limit ended', extra={'endpoint': endpoint.name})

    def forget(self, endpoint: EndpointEntry) -> None:
        """Delete the limit of an endpoint that no longer exists.

        :param endpoint: the endpoint.
        """
        self._limits.pop(endpoint.identity, None)
        self._malformed.discard(endpoint.identity)

    def _set(
        self, endpoint: EndpointEntry, rate_per_s: float, now_s: float
    ) -> None:
        known = self._limits.get(endpoint.identity)
        former_per_s = None if known is None else known.rate_per_s
        self._limits[endpoint.identity] = _KnownLimit(rate_per_s, now_s)
        if former_per_s == rate_per_s:
            return
        self._metrics.count(Counter.ENDPOINT_LIMIT_STATED)
        _log.info(
            'endpoint states a limit',
            extra={
                'endpoint': endpoint.name,
                'limit_per_s': rate_per_s,
                'former_per_s': former_per_s,
            },
        )

    def _report_malformed(
        self, endpoint: EndpointEntry, texts: Sequence[str]
    ) -> None:
        self._metrics.count(Counter.ENDPOINT_LIMIT_MALFORMED)
        if endpoint.identity in self._malformed:
            return
        self._malformed.add(endpoint.identity)
        _log.warning(
            'endpoint limit cannot be read',
            extra={'endpoint': endpoint.name, 'stated': repr(texts)[:80]},
        )
