"""Load of the endpoints, from their answers and our own requests."""

from collections import OrderedDict, defaultdict
from collections.abc import Hashable, Sequence
from dataclasses import dataclass, field

from rattanvalve.gateway.endpoint_health import EndpointHealth
from rattanvalve.sharedstate.endpoints import EndpointEntry
from rattanvalve.wholenumbers import whole_number

__all__ = ('EndpointLoad', 'LoadTable', 'PromptPart')

#: A report of an endpoint's load counts less the older it is.
REPORT_LIFETIME_S = 1.0


@dataclass(frozen=True, slots=True)
class PromptPart:
    """One part of a prompt; equal ids mean equal tokens."""

    part_id: str
    token_count: int


@dataclass(slots=True)
class EndpointLoad:
    """What this process knows of the load of one endpoint."""

    own_count: int = 0
    reported_count: int = 0
    #: Own requests begun less those ended since the report.
    change_count: int = 0
    reported_s: float = float('-inf')
    #: Until when the endpoint gets no requests after a failure.
    avoided_until_s: float = 0
    health: EndpointHealth = field(default_factory=EndpointHealth)
    parts: OrderedDict[str, int] = field(default_factory=OrderedDict)
    parts_tokens: int = 0

    def expected_count(self, now_s: float) -> float:
        """Estimate how many requests the endpoint has.

        :param now_s: monotonic time in seconds.
        :returns: number of running and waiting requests.
        """
        age_s = now_s - self.reported_s
        if age_s >= REPORT_LIFETIME_S:
            return self.own_count
        reported = max(self.reported_count + self.change_count, self.own_count)
        weight = 1 - age_s / REPORT_LIFETIME_S
        return self.own_count + (reported - self.own_count) * weight

    def cached_tokens(self, parts: Sequence[PromptPart]) -> int:
        """Count the tokens of a prompt that the endpoint has read before.

        :param parts: parts of the prompt, in order.
        :returns: tokens of the leading parts that it was sent before.
        """
        tokens = 0
        for part in parts:
            if part.part_id not in self.parts:
                break
            tokens += part.token_count
        return tokens

    def remember(
        self,
        parts: Sequence[PromptPart],
        capacity_tokens: int,
    ) -> None:
        """Note which parts the endpoint reads now.

        :param parts: parts of the prompt, in order.
        :param capacity_tokens: size of its cache.
        """
        for part in parts:
            self.parts_tokens -= self.parts.pop(part.part_id, 0)
            self.parts[part.part_id] = part.token_count
            self.parts_tokens += part.token_count
        while self.parts_tokens > capacity_tokens and self.parts:
            _, tokens = self.parts.popitem(last=False)
            self.parts_tokens -= tokens


class LoadTable:
    """Loads by the identity of the endpoint."""

    def __init__(self) -> None:
        self._loads: dict[Hashable, EndpointLoad] = defaultdict(EndpointLoad)

    def of(self, endpoint: EndpointEntry) -> EndpointLoad:
        """Give the load of an endpoint.

        :param endpoint: the endpoint.
        :returns: its load, which the caller may change.
        """
        return self._loads[endpoint.identity]

    def begin(self, endpoint: EndpointEntry) -> None:
        """Count a request that is sent.

        :param endpoint: where it is sent.
        """
        load = self.of(endpoint)
        load.own_count += 1
        load.change_count += 1

    def end(self, endpoint: EndpointEntry) -> None:
        """Count a request that has ended.

        :param endpoint: where it ran.
        """
        load = self._loads.get(endpoint.identity)
        if load is None:
            # The endpoint was forgotten while the request ran.
            return
        load.own_count = max(load.own_count - 1, 0)
        load.change_count -= 1

    def report(self, endpoint: EndpointEntry, text: str, now_s: float) -> None:
        """Take what an endpoint said of its load.

        :param endpoint: the endpoint.
        :param text: running, waiting and slots, separated by commas.
        :param now_s: monotonic time in seconds.
        """
        numbers = [whole_number(part.strip()) for part in text.split(',')]
        if len(numbers) < 2 or None in numbers:
            return
        load = self.of(endpoint)
        load.reported_count = numbers[0] + numbers[1]
        load.change_count = 0
        load.reported_s = now_s

    def forget(self, endpoint: EndpointEntry) -> None:
        """Drop what is known of an endpoint that is gone.

        :param endpoint: the endpoint.
        """
        self._loads.pop(endpoint.identity, None)
