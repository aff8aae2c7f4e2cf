"""How long a program would take if it ran alone."""

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass

from rattanvalve.client_records import CallRecord, ProgramRecord
from rattanvalve.standins.batch import EngineCosts

__all__ = ('AloneTimes', 'RunCosts')


@dataclass(frozen=True, slots=True, kw_only=True)
class RunCosts:
    """Durations that a run has without any contention, in seconds.

    ``order_s`` is the time of a call of the plain service, ``round_trip_s``
    the delay between client and entry process, both ways together.
    """

    engine: EngineCosts
    order_s: float = 0
    round_trip_s: float = 0


class AloneTimes:
    """Durations of the programs of a run when nothing delays them.

    :param programs: records of all programs, sub-agents included.
    :param costs: durations without contention.
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

    def alone_s(self, program: ProgramRecord) -> float:
        """Compute the duration of a program that runs alone.

        :param program: completed program.
        :returns: seconds. Sub-agents that start together run side by side.
        """
        groups: dict[float, float] = defaultdict(float)
        for child in self._children.get(program.name, ()):
            alone_s = self.alone_s(child)
            groups[child.intended_s] = max(groups[child.intended_s], alone_s)
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
        """Compare the latency of a program with that of running alone.

        :param program: completed program.
        :returns: factor; 1 for a program that nothing delayed.
        """
        alone_s = self.alone_s(program)
        return program.latency_s() / alone_s if alone_s else 1

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
