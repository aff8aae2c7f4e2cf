"""Load of endpoints, from their load reports and this process's requests."""

from collections import OrderedDict, defaultdict
from collections.abc import Hashable, Sequence
from dataclasses import dataclass, field

from rattanvalve.gateway.endpoint_health import EndpointHealth
from rattanvalve.sharedstate.endpoints import EndpointEntry
from rattanvalve.wholenumbers import parse_whole_number

__all__ = ('EndpointLoad', 'LoadTable', 'PromptPart')

#: Age at which a load report is ignored; its weight falls linearly to zero.
REPORT_MAX_AGE_S = 1.0


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


class LoadTable:
    """Loads by endpoint identity, so a restarted endpoint starts afresh."""

    def __init__(self) -> None:
        self._loads: dict[Hashable, EndpointLoad] = defaultdict(EndpointLoad)

    def get(self, endpoint: EndpointEntry) -> EndpointLoad:
        """Return the load of an endpoint; created on first use.

        :param endpoint: the endpoint.
        :returns: its mutable load.
        """
        return self._loads[endpoint.identity]

    def record_start(self, endpoint: EndpointEntry) -> None:
        """Count a request as in flight.

        :param endpoint: endpoint that receives the request.
        """
        load = self.get(endpoint)
        load.in_flight_count += 1
        load.change_since_report += 1

    def record_end(self, endpoint: EndpointEntry) -> None:
        """Count a request as ended; no effect on a forgotten endpoint.

        :param endpoint: endpoint that received the request.
        """
        load = self._loads.get(endpoint.identity)
        if load is None:
            # forget() was called while the request was in flight.
            return
        load.in_flight_count = max(load.in_flight_count - 1, 0)
        load.change_since_report -= 1

    def apply_report(
        self, endpoint: EndpointEntry, text: str, now_s: float
    ) -> None:
        """Apply a load report of an endpoint; a malformed one is ignored.

        :param endpoint: endpoint that sent the report.
        :param text: running requests, queued requests and slots, separated
            by commas.
        :param now_s: monotonic time in seconds.
        """
        numbers = [parse_whole_number(part.strip()) for part in text.split(',')]
        if len(numbers) < 2 or None in numbers:
            return
        load = self.get(endpoint)
        load.reported_count = numbers[0] + numbers[1]
        load.change_since_report = 0
        load.reported_s = now_s

    def forget(self, endpoint: EndpointEntry) -> None:
        """Delete the load of an endpoint that no longer exists.

        :param endpoint: the endpoint.
        """
        self._loads.pop(endpoint.identity, None)
