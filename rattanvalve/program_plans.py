"""Generates plans of agent programs from a seed."""

from collections.abc import Iterator
from dataclasses import dataclass, replace
from itertools import chain
from random import Random

import msgspec

from rattanvalve.scenario import GroupSpec, ProgramSpec, Scenario

__all__ = ('ChatStep', 'OrderStep', 'ProgramPlan', 'plan_programs')

_WORDS = (
    'stock', 'order', 'pole', 'lorry', 'route',
    'yard', 'crew', 'county', 'road', 'plan',
)  # fmt: skip
_MAX_SUB_AGENTS = 2
_SUB_AGENT_TURNS = 2


@dataclass(frozen=True, slots=True)
class ChatStep:
    """A chat call.

    Before the call the program pauses for ``pause_s`` (a simulated tool
    call), then runs ``sub_agents`` concurrently and waits for all of them.
    """

    text: str
    max_tokens: int
    is_stream: bool
    pause_s: float
    sub_agents: tuple['ProgramPlan', ...] = ()


@dataclass(frozen=True, slots=True)
class OrderStep:
    """A non-repeatable request to the plain service that takes orders."""

    order_id: str


@dataclass(frozen=True, slots=True)
class ProgramPlan:
    """Steps of a program; ``start_s`` is relative to the start of the run."""

    name: str
    workspace: str
    key_name: str
    start_s: float
    steps: tuple[ChatStep | OrderStep, ...] = ()


def plan_programs(scenario: Scenario, seed: int) -> list[ProgramPlan]:
    """Generate the programs of a run.

    :param scenario: scenario with the groups and parameters of programs.
    :param seed: seed; equal seeds give equal programs.
    :returns: programs in the order of their intended start.
    """
    groups = [
        _plan_group(scenario, workspace.name, group, seed)
        for workspace in scenario.workspaces
        for group in workspace.groups
    ]
    return sorted(chain.from_iterable(groups), key=_start_time_s)


def _start_time_s(plan: ProgramPlan) -> float:
    return plan.start_s


def _plan_group(
    scenario: Scenario,
    workspace: str,
    group: GroupSpec,
    seed: int,
) -> Iterator[ProgramPlan]:
    # Each group has its own generator, so editing one group does not change
    # the plans of the others.
    rng = Random(f'{seed}/{scenario.name}/{workspace}/{group.key}')
    start_s = group.start_s
    for index in range(group.program_count):
        start_s += rng.expovariate(group.programs_per_s)
        plan = ProgramPlan(
            name=f'{group.key}-p{index + 1}',
            workspace=workspace,
            key_name=group.key,
            start_s=start_s,
        )
        yield replace(plan, steps=_plan_steps(scenario.programs, plan, rng))


def _plan_steps(
    spec: ProgramSpec,
    program: ProgramPlan,
    rng: Random,
) -> tuple[ChatStep | OrderStep, ...]:
    turn_count = rng.randint(spec.min_turns, spec.max_turns)
    steps: list[ChatStep | OrderStep] = [
        _plan_chat(spec, program, turn, rng) for turn in range(turn_count)
    ]
    # The last call must be a chat call: it carries the header that ends the
    # program.
    position = rng.randint(1, max(turn_count - 1, 1))
    steps.insert(position, OrderStep(f'order-{program.name}'))
    if position == turn_count:
        steps.append(_plan_chat(spec, program, turn_count, rng))
    return tuple(steps)


def _plan_chat(
    spec: ProgramSpec,
    program: ProgramPlan,
    turn: int,
    rng: Random,
) -> ChatStep:
    sub_agents: tuple[ProgramPlan, ...] = ()
    if turn and rng.random() < spec.sub_agent_share:
        sub_agents = tuple(
            _plan_sub_agent(spec, program, f'{turn}{index}', rng)
            for index in range(rng.randint(1, _MAX_SUB_AGENTS))
        )
    words = ' '.join(rng.choices(_WORDS, k=spec.message_words))
    # Messages contain the program's name, so they are unique within a run and
    # the history check can match journal lines to calls.
    return ChatStep(
        text=f'{program.name} turn {turn}: {words}',
        max_tokens=spec.max_tokens,
        is_stream=rng.random() < spec.stream_share,
        pause_s=rng.uniform(0, 2 * spec.tool_pause_s) if turn else 0,
        sub_agents=sub_agents,
    )


def _plan_sub_agent(
    spec: ProgramSpec,
    parent: ProgramPlan,
    suffix: str,
    rng: Random,
) -> ProgramPlan:
    child = replace(parent, name=f'{parent.name}~sub{suffix}')
    leaf_spec = msgspec.structs.replace(spec, sub_agent_share=0)
    steps = tuple(
        _plan_chat(leaf_spec, child, turn, rng)
        for turn in range(_SUB_AGENT_TURNS)
    )
    return replace(child, steps=steps)
