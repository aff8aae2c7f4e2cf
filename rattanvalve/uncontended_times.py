"""Durations of programs without contention, the baseline of slowdowns."""

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass

from rattanvalve.client_records import CallRecord, ProgramRecord
from rattanvalve.standins.batch import EngineCosts

__all__ = ('RunCosts', 'UncontendedTimes')


@dataclass(frozen=True, slots=True, kw_only=True)
class RunCosts:
    """Durations of calls without contention, in seconds.

    ``order_s`` is the processing time of a call of the plain service,
    ``round_trip_s`` the round-trip delay between client and entry process.
    """

    engine: EngineCosts
    order_s: float = 0
    round_trip_s: float = 0


class UncontendedTimes:
    """Computes how long each program of a run takes without contention.

    :param programs: records of all programs, including sub-agents.
    :param costs: durations of calls without contention.
    """

    def __init__(
        self,
        programs: Iterable[ProgramRecord],
        costs: RunCosts,
    ) -> None:
        self._costs = costs
        self._children: dict[str, list[ProgramRecord]] = defaultdict(list)
        for program in programs:
            self._children[program.parent].append(program)

    def duration_s(self, program: ProgramRecord) -> float:
        """Compute the duration of a program without contention.

        Of sub-agents with the same intended start, which run concurrently,
        only the longest counts.

        :param program: completed program.
        :returns: seconds.
        """
        groups: dict[float, float] = defaultdict(float)
        for child in self._children.get(program.name, ()):
            uncontended_s = self.duration_s(child)
            groups[child.intended_s] = max(
                groups[child.intended_s],
                uncontended_s,
            )
        calls_s = self._chats_s(program.calls)
        orders_s = self._costs.order_s * sum(
            call.kind == 'order' for call in program.calls
        )
        delays_s = self._costs.round_trip_s * len(program.calls)
        return (
            (program.pause_s + sum(groups.values()) + calls_s)
            + orders_s
            + delays_s
        )

    def slowdown(self, program: ProgramRecord) -> float:
        """Compute the ratio of a program's latency to its uncontended duration.

        :param program: completed program.
        :returns: factor; 1 for a program that was not delayed.
        """
        uncontended_s = self.duration_s(program)
        return program.latency_s() / uncontended_s if uncontended_s else 1

    def _chats_s(self, calls: list[CallRecord]) -> float:
        engine = self._costs.engine
        step_s = engine.step_base_s + engine.step_per_request_s
        total_s: float = 0
        reusable_tokens = 0
        for call in calls:
            new_tokens = max(call.prompt_tokens - reusable_tokens, 0)
            total_s += engine.prefill_per_token_s * new_tokens
            total_s += step_s * call.output_tokens
            reusable_tokens = call.prompt_tokens or reusable_tokens
        return total_s
