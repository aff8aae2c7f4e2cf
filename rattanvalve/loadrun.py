"""Runs agent programs against entry processes, or against servers directly."""

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

import aiohttp

from rattanvalve.client_records import (
    Attempt,
    CallRecord,
    ProgramOutcome,
    ProgramRecord,
)
from rattanvalve.load_client import CallRequest, LoadClient, Targets
from rattanvalve.program_plans import ChatStep, OrderStep, ProgramPlan
from rattanvalve.scenario import Scenario
from rattanvalve.standins.text import messages_digest

__all__ = (
    'LoadRun',
    'direct_targets',
    'ignore_event',
    'product_targets',
    'run_programs',
)

_CALL_TIMEOUT_S = 60.0
_SYSTEM_PROMPT = 'You plan the work of a depot and answer in short words.'
_UNAUTHORIZED = 401


def ignore_event(_event: object) -> None:
    """Do nothing; the default for callbacks that take one argument."""


@dataclass(slots=True)
class LoadRun:
    """One run of the programs of a scenario.

    ``keys`` maps key names to keys; keys may be added during the run.
    ``programs`` receives a record of each program at its start. ``began_s``
    is the monotonic time that intended starts are relative to; if it is 0,
    :func:`run_programs` sets it to the time of its call. After
    ``arrivals_closed`` is set, no further program starts except sub-agents.
    """

    scenario: Scenario
    targets: Targets
    keys: dict[str, str]
    seed: int
    began_s: float = 0
    programs: list[ProgramRecord] = field(default_factory=list)
    on_program_end: Callable[[ProgramRecord], None] = ignore_event
    arrivals_closed: asyncio.Event | None = None


@dataclass(slots=True)
class _RunningProgram:
    """State of one running program: its client, record and conversation."""

    run: LoadRun
    client: LoadClient
    record: ProgramRecord
    messages: list[dict] = field(default_factory=list)


def direct_targets(
    engine_urls: list[str],
    service_urls: dict[str, list[str]],
) -> Targets:
    """Build targets that bypass the product, as a baseline for comparisons.

    :param engine_urls: base URLs of the engines.
    :param service_urls: base URLs of the servers by service name.
    :returns: targets of the load client.
    """
    return Targets(
        tuple(engine_urls),
        {name: tuple(urls) for name, urls in service_urls.items()},
    )


def product_targets(entry_urls: list[str], scenario: Scenario) -> Targets:
    """Build targets on the callers' API of entry processes.

    :param entry_urls: base URLs of the entry processes.
    :param scenario: scenario that defines the plain services.
    :returns: targets of the load client.
    """
    return Targets(
        tuple(entry_urls),
        {
            service.name: tuple(
                f'{url}/services/{service.name}' for url in entry_urls
            )
            for service in scenario.services
            if service.kind == 'plain'
        },
    )


async def run_programs(run: LoadRun, plans: list[ProgramPlan]) -> None:
    """Start each program at its intended time and wait until all have ended.

    Arrivals are open-loop: a program starts on time regardless of how many
    others are still running.

    :param run: targets and keys; receives the records.
    :param plans: programs to run.
    """
    run.began_s = run.began_s or time.monotonic()
    timeout = aiohttp.ClientTimeout(total=_CALL_TIMEOUT_S)
    connector = aiohttp.TCPConnector(limit=0)
    async with (
        aiohttp.ClientSession(
            timeout=timeout,
            connector=connector,
        ) as session,
        asyncio.TaskGroup() as group,
    ):
        for plan in plans:
            group.create_task(_run_at_intended_time(run, session, plan))


async def _run_at_intended_time(
    run: LoadRun,
    session: aiohttp.ClientSession,
    plan: ProgramPlan,
) -> None:
    intended_s = run.began_s + plan.start_s
    if await _are_arrivals_closed_before(run, intended_s):
        return
    await _run_program(run, session, plan, intended_s, '')


async def _are_arrivals_closed_before(run: LoadRun, intended_s: float) -> bool:
    wait_s = intended_s - time.monotonic()
    if run.arrivals_closed is None:
        await asyncio.sleep(wait_s)
        return False
    try:
        async with asyncio.timeout(wait_s):
            await run.arrivals_closed.wait()
    except TimeoutError:
        return False
    return True


async def _run_program(
    run: LoadRun,
    session: aiohttp.ClientSession,
    plan: ProgramPlan,
    intended_s: float,
    parent: str,
) -> ProgramRecord:
    record = ProgramRecord(
        name=plan.name,
        workspace=plan.workspace,
        key_name=plan.key_name,
        parent=parent,
        intended_s=intended_s,
    )
    run.programs.append(record)
    client = LoadClient(
        session,
        Random(f'{run.seed}/{plan.name}'),
        run.scenario.client_delay_s,
    )
    program = _RunningProgram(run, client, record)
    program.messages.append({'role': 'system', 'content': _SYSTEM_PROMPT})
    for step in plan.steps:
        if isinstance(step, OrderStep):
            await _run_order(program, step)
        else:
            await _run_sub_agents(program, session, step)
            await _run_chat(program, step, is_last=step is plan.steps[-1])
        if not record.calls[-1].is_answered:
            break
    record.outcome = _program_outcome(record.calls[-1])
    record.ended_s = time.monotonic()
    run.on_program_end(record)
    return record


async def _run_sub_agents(
    program: _RunningProgram,
    session: aiohttp.ClientSession,
    step: ChatStep,
) -> None:
    await asyncio.sleep(step.pause_s)
    program.record.pause_s += step.pause_s
    if step.sub_agents:
        now_s = time.monotonic()
        children = await asyncio.gather(
            *(
                _run_program(
                    program.run,
                    session,
                    plan,
                    now_s,
                    program.record.name,
                )
                for plan in step.sub_agents
            ),
        )
        program.messages.extend(map(_sub_agent_message, children))


def _sub_agent_message(child: ProgramRecord) -> dict:
    return {
        'role': 'user',
        'content': f'{child.name} reports: {child.calls[-1].text}',
    }


async def _run_chat(
    program: _RunningProgram,
    step: ChatStep,
    *,
    is_last: bool,
) -> None:
    program.messages.append({'role': 'user', 'content': step.text})
    record = CallRecord(
        kind='chat',
        identity=messages_digest(program.messages),
        messages=list(program.messages),
        max_tokens=step.max_tokens,
        is_stream=step.is_stream,
    )
    body = {
        'model': program.run.scenario.engine_service().model,
        'messages': record.messages,
        'max_tokens': step.max_tokens,
    }
    if step.is_stream:
        body['stream'] = True
        body['stream_options'] = {'include_usage': True}
    urls = tuple(
        f'{url}/v1/chat/completions' for url in program.run.targets.chat
    )
    extra = {'Rattanvalve-Program-End': 'true'} if is_last else {}
    await _send_call(program, record, CallRequest(urls, body, extra))
    program.messages.append({'role': 'assistant', 'content': record.text})


async def _run_order(program: _RunningProgram, step: OrderStep) -> None:
    spec = program.run.scenario.programs
    record = CallRecord(kind='order', identity=step.order_id)
    bases = program.run.targets.services[spec.order_service]
    urls = tuple(f'{url}{spec.order_path}' for url in bases)
    body = {'order_id': step.order_id, 'program': program.record.name}
    await _send_call(program, record, CallRequest(urls, body))


async def _send_call(
    program: _RunningProgram,
    record: CallRecord,
    request: CallRequest,
) -> None:
    number = len(program.record.calls)
    program.record.calls.append(record)
    name = program.record.name
    record.idempotency_key = f'{program.run.seed}-{name}-{number}'
    request.headers.update(
        {
            'Authorization': f'Bearer {_api_key(program)}',
            'Idempotency-Key': record.idempotency_key,
            'Rattanvalve-Program': name,
        },
    )
    if program.record.parent:
        request.headers['Rattanvalve-Parent'] = program.record.parent
    await program.client.call(request, record)


def _api_key(program: _RunningProgram) -> str:
    # A program whose key is not yet granted sends a key that the product
    # does not know.
    return program.run.keys.get(program.record.key_name, 'rv-not-granted')


def _program_outcome(call: CallRecord) -> str:
    if call.is_answered:
        return ProgramOutcome.COMPLETED
    last: Attempt = call.attempts[-1]
    if last.status == _UNAUTHORIZED:
        return ProgramOutcome.KEY_WITHDRAWN
    if last.outcome == 'unknown' or not last.status:
        return ProgramOutcome.UNKNOWN
    is_refusal = last.status < 500 or last.status == 503
    return ProgramOutcome.REFUSED if is_refusal else ProgramOutcome.FAILED
