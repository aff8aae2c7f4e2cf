"""Load of endpoints, from their load reports and this process's requests."""

from collections import OrderedDict
from collections.abc import Callable, Hashable, Sequence
from dataclasses import dataclass, field

from rattanvalve.gateway.endpoint_health import EndpointHealth
from rattanvalve.sharedstate.endpoints import EndpointEntry
from rattanvalve.wholenumbers import parse_whole_number

__all__ = ('EndpointLoad', 'LoadTable', 'PromptPart')

#: Age at which a load report is ignored; its weight falls linearly to zero.
REPORT_MAX_AGE_S = 1.0
#: Fourth figure of a load report if work takes its usual time.
USUAL_PERCENT = 100


@dataclass(frozen=True, slots=True)
class PromptPart:
    """One part of a prompt; parts with equal ids have equal tokens."""

    part_id: str
    token_count: int


@dataclass(slots=True)
class EndpointLoad:
    """Load, health and cached prompt parts of one endpoint.

    ``cached_parts`` maps part ids to token counts, least recently used first.
    """

    in_flight_count: int = 0
    reported_count: int = 0
    #: Own requests started minus own requests ended since the last report.
    change_since_report: int = 0
    reported_s: float = float('-inf')
    #: Monotonic time in seconds until which placement avoids the endpoint
    #: after a failure.
    avoided_until_s: float = 0
    health: EndpointHealth = field(default_factory=EndpointHealth)
    cached_parts: OrderedDict[str, int] = field(default_factory=OrderedDict)
    cached_parts_tokens: int = 0

    def record_start(self, now_s: float) -> None:
        """Count a request of this process as in flight.

        :param now_s: monotonic time in seconds.
        """
        self.in_flight_count += 1
        self.change_since_report += 1

    def record_end(self, now_s: float) -> None:
        """Count a request of this process as ended.

        :param now_s: monotonic time in seconds.
        """
        self.in_flight_count = max(self.in_flight_count - 1, 0)
        self.change_since_report -= 1

    def apply_report(
        self, count: int, speed_percent: int, now_s: float
    ) -> None:
        """Adopt a load report that the endpoint sent.

        :param count: running and queued requests.
        :param speed_percent: how long work takes at present; 100 is usual.
        :param now_s: monotonic time in seconds.
        """
        self.reported_count = count
        self.change_since_report = 0
        self.reported_s = now_s

    def report_age_s(self, now_s: float) -> float:
        """Return the age of the newest report that is known.

        :param now_s: monotonic time in seconds.
        :returns: seconds; infinite without a report.
        """
        return now_s - self.reported_s

    def slowdown(self, now_s: float) -> float:
        """Estimate how long work takes now, relative to its usual time.

        :param now_s: monotonic time in seconds.
        :returns: 1, as only shared reports are known to be recent enough.
        """
        return 1.0

    def expected_count(self, now_s: float) -> float:
        """Estimate the number of requests at the endpoint.

        :param now_s: monotonic time in seconds.
        :returns: running and queued requests, at least the own requests in
            flight.
        """
        age_s = now_s - self.reported_s
        if age_s >= REPORT_MAX_AGE_S:
            return self.in_flight_count
        reported = max(
            self.reported_count + self.change_since_report, self.in_flight_count
        )
        weight = 1 - age_s / REPORT_MAX_AGE_S
        return self.in_flight_count + (reported - self.in_flight_count) * weight

    def cached_tokens(self, parts: Sequence[PromptPart]) -> int:
        """Count the prompt tokens that the endpoint probably has cached.

        :param parts: parts of the prompt, in order.
        :returns: tokens of the leading parts that this process sent to the
            endpoint before.
        """
        tokens = 0
        for part in parts:
            if part.part_id not in self.cached_parts:
                break
            tokens += part.token_count
        return tokens

    def record_prompt(
        self,
        parts: Sequence[PromptPart],
        capacity_tokens: int,
    ) -> None:
        """Add the parts of a prompt to the model of the endpoint's cache.

        Evicts the least recently used parts beyond the capacity.

        :param parts: parts of the prompt, in order.
        :param capacity_tokens: capacity of the endpoint's cache.
        """
        for part in parts:
            self.cached_parts_tokens -= self.cached_parts.pop(part.part_id, 0)
            self.cached_parts[part.part_id] = part.token_count
            self.cached_parts_tokens += part.token_count
        while self.cached_parts_tokens > capacity_tokens and self.cached_parts:
            _, tokens = self.cached_parts.popitem(last=False)
            self.cached_parts_tokens -= tokens


def _create_load(endpoint: EndpointEntry) -> EndpointLoad:
    return EndpointLoad()


class LoadTable:
    """Loads by endpoint identity, so a restarted endpoint starts afresh.

    :param create_load: creates the load of an endpoint; by default one that
        knows only what this process hears from the endpoint.
    """

    def __init__(
        self, create_load: Callable[[EndpointEntry], EndpointLoad] | None = None
    ) -> None:
        self._create_load = create_load or _create_load
        self._loads: dict[Hashable, EndpointLoad] = {}
        #: The same by name, with the entry for which it was returned. Hashing
        #: the identity takes most of the time of a choice.
        self._recent: dict[str, tuple[EndpointEntry, EndpointLoad]] = {}

    def get(self, endpoint: EndpointEntry) -> EndpointLoad:
        """Return the load of an endpoint; created on first use.

        :param endpoint: the endpoint.
        :returns: its mutable load.
        """
        recent = self._recent.get(endpoint.name)
        if recent is not None and recent[0] is endpoint:
            return recent[1]
        load = self._loads.get(endpoint.identity)
        if load is None:
            load = self._create_load(endpoint)
            self._loads[endpoint.identity] = load
        self._recent[endpoint.name] = (endpoint, load)
        return load

    def record_start(self, endpoint: EndpointEntry, now_s: float = 0) -> None:
        """Count a request as in flight.

        :param endpoint: endpoint that receives the request.
        :param now_s: monotonic time in seconds; needed for shared reports.
        """
        self.get(endpoint).record_start(now_s)

    def record_end(self, endpoint: EndpointEntry, now_s: float = 0) -> None:
        """Count a request as ended; no effect on a forgotten endpoint.

        :param endpoint: endpoint that received the request.
        :param now_s: monotonic time in seconds; needed for shared reports.
        """
        load = self._loads.get(endpoint.identity)
        if load is None:
            # forget() was called while the request was in flight.
            return
        load.record_end(now_s)

    def apply_report(
        self, endpoint: EndpointEntry, text: str, now_s: float
    ) -> None:
        """Apply a load report of an endpoint; a malformed one is ignored.

        :param endpoint: endpoint that sent the report.
        :param text: running requests, queued requests, slots and percent of
            the usual time that work takes now, separated by commas; the last
            two may be absent.
        :param now_s: monotonic time in seconds.
        """
        numbers = [parse_whole_number(part.strip()) for part in text.split(',')]
        if len(numbers) < 2 or None in numbers:
            return
        # A percentage of 0 is impossible.
        speed_percent = next(iter(numbers[3:]), USUAL_PERCENT) or USUAL_PERCENT
        count = numbers[0] + numbers[1]
        self.get(endpoint).apply_report(count, speed_percent, now_s)

    def forget(self, endpoint: EndpointEntry) -> None:
        """Delete the load of an endpoint that no longer exists.

        :param endpoint: the endpoint.
        """
        self._loads.pop(endpoint.identity, None)
        self._recent.pop(endpoint.name, None)
