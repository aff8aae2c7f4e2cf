"""Executes the timed events of a scenario during a run."""

import asyncio
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from rattanvalve.admin_client import AdminClient
from rattanvalve.client_records import RateInForce, RunRecord
from rattanvalve.fleet import Fleet
from rattanvalve.scenario import EventSpec

__all__ = ('EventContext', 'initial_rates', 'run_events')


@dataclass(frozen=True, slots=True)
class EventContext:
    """Fleet, administration client and records that events operate on.

    ``report`` receives one line of text after each event.
    """

    fleet: Fleet
    admin: AdminClient
    run: RunRecord
    report: Callable[[str], None]


def initial_rates(fleet: Fleet, now_s: float) -> list[RateInForce]:
    """Return the rate limits that apply when a run starts.

    :param fleet: fleet whose scenario defines the rates.
    :param now_s: monotonic time in seconds of the start of the run.
    :returns: one rate for each workspace.
    """
    return [
        RateInForce(
            workspace=workspace.name,
            from_s=now_s,
            rate_per_s=workspace.rate_per_s,
            burst=workspace.burst,
        )
        for workspace in fleet.scenario.workspaces
    ]


async def run_events(context: EventContext, began_s: float) -> None:
    """Execute all events at their times, and return after the last one.

    :param context: objects that the events operate on.
    :param began_s: monotonic time in seconds of the start of the run.
    """
    async with asyncio.TaskGroup() as group:
        for event in context.fleet.scenario.events:
            group.create_task(_run_event(context, event, began_s))


async def _run_event(
    context: EventContext,
    event: EventSpec,
    began_s: float,
) -> None:
    await asyncio.sleep(began_s + event.at_s - time.monotonic())
    await _ACTIONS[event.action](context, event)
    context.report(f'{event.action} {event.target}')


async def _grant(context: EventContext, event: EventSpec) -> None:
    key = await context.admin.grant(event.target, event.workspace)
    context.fleet.keys[event.target] = key


async def _withdraw(context: EventContext, event: EventSpec) -> None:
    await context.admin.withdraw(event.target)
    context.run.withdrawn_s[event.target] = time.monotonic()


async def _set_rate(context: EventContext, event: EventSpec) -> None:
    # Recorded before the request, because the new rate may apply before the
    # response arrives.
    context.run.rates.append(
        RateInForce(
            workspace=event.target,
            from_s=time.monotonic(),
            rate_per_s=event.rate_per_s,
            burst=event.burst,
        ),
    )
    rate = {'rate_per_s': event.rate_per_s, 'burst': event.burst}
    await context.admin.edit_config(
        lambda config: config['rules']['rates'].update({event.target: rate}),
    )


async def _kill_entry(context: EventContext, event: EventSpec) -> None:
    context.fleet.children.kill(event.target)


async def _drain(context: EventContext, event: EventSpec) -> None:
    await context.admin.drain(event.target)
    context.run.drained_s[event.target] = time.monotonic()


_ACTIONS: dict[str, Callable[[EventContext, EventSpec], Awaitable[None]]] = {
    'grant': _grant,
    'withdraw': _withdraw,
    'set_rate': _set_rate,
    'kill_entry': _kill_entry,
    'drain': _drain,
}
