"""Steps of cache_releases.feature."""

import time
from unittest import mock

from behave import given, then, when

from rattanvalve import admission
from rattanvalve.cache_releases import CacheReleases
from rattanvalve.cacheholds import cache_key_of
from rattanvalve.endpoint_service import EndpointService
from rattanvalve.messages import Ack, Refusal, Release, Ticket, View
from rattanvalve.resultcodes import ResultCode
from tests.owner_world import World, finish_of, new_begin
from tests.steps.programs_steps import decide, start_single_entry

ENGINE = 'agent-models'
TOO_MANY_TOKENS = 10**9


def call(context, service_name, **fields):
    """Run one call of the program and deliver the resulting messages."""
    world = context.world
    service = world.owner().service
    begin = new_begin(service_name=service_name, **fields)
    answer = context.run(world.time.drive(service.begin(begin)))
    if isinstance(answer, Ticket):
        finish = service.finish(finish_of(answer))
        context.run(world.time.drive(finish))
    context.run(world.time.settle())
    return answer


@given('a program with a cache at an endpoint')
def step_program(context):
    context.world = World(entry_count=1)
    context.run(context.world.time.drive(context.world.change_view()))
    context.holder = context.world.endpoint(call(context, ENGINE))


@given('the owner sends no releases')
def step_no_releases(context):
    patch = mock.patch.object(CacheReleases, 'send', lambda *given_name: None)
    patch.start()
    context.closers.append(patch.stop)


@when('it goes on at the same endpoint')
def step_go_on(context):
    assert context.world.endpoint(call(context, ENGINE)) is context.holder


@when('it moves to another endpoint')
def step_move(context):
    context.holder.is_full = True
    assert context.world.endpoint(call(context, ENGINE)) is not context.holder


@when('it ends on a plain service')
def step_end(context):
    call(context, 'orders-app', is_program_end=True)


@when('it spends its budget')
def step_spend(context):
    answer = call(context, ENGINE, max_tokens=TOO_MANY_TOKENS)
    assert isinstance(answer, Refusal)
    assert answer.code == ResultCode.BUDGET_EXHAUSTED


@then('{count:d} releases of its cache reach that endpoint')
def step_count(context, count):
    message = Release(
        workspace='north',
        program_id='p',
        epoch=context.world.view.epoch,
    )
    assert context.holder.releases == [message for _ in range(count)]
    others = set(context.world.endpoints) - {context.holder}
    assert not any(other.releases for other in others)


async def release_any(service, release, send):
    """Handle a release without checking its epoch."""
    service._parts.keeper.release_program(release.workspace, release.program_id)
    await send(Ack())


@when('a release of epoch {epoch:d} arrives with {handling} at epoch 5')
def step_release(context, epoch, handling):
    service = context.service
    service.adopt_view(View(epoch=5))
    ticket = Ticket(workspace='north', program_id='p', cache_hold_ms=10**7)
    service._parts.keeper.turn_ended(ticket)
    message = Release(workspace='north', program_id='p', epoch=epoch)
    handler = service.handlers()[Release]
    if handling == 'epoch ignored':
        handler = release_any.__get__(service, EndpointService)
    send = mock.AsyncMock()
    context.run(handler(message, send))
    assert isinstance(send.await_args.args[0], Ack)


@then('the cache is {state}')
def step_cache(context, state):
    due = context.service._parts.keeper.holds.pop_due(time.monotonic())
    key = cache_key_of('north', 'p')
    assert (key in due) == (state == 'released'), due


def measure_hold(context, pauses, **last):
    """Run a program with pauses and store the cache hold of the last call."""
    _, entry = start_single_entry(context)
    now_s = 1001
    ticket = decide(entry, new_begin(), now_s)
    for index, pause_s in enumerate(pauses, start=1):
        entry.owner.finish(finish_of(ticket), now_s)
        now_s += pause_s
        fields = last if index == len(pauses) else {}
        ticket = decide(entry, new_begin(**fields), now_s)
    context.hold_ms = ticket.cache_hold_ms


@given('holds ignore pauses')
def step_fixed_holds(context):
    patch = mock.patch.object(admission, 'CACHE_HOLD_FACTOR', 0)
    patch.start()
    context.closers.append(patch.stop)


@when('a program pauses for {pauses} s')
def step_pauses(context, pauses):
    measure_hold(context, [int(pause) for pause in pauses.split()])


@when('a program ends after a pause of {pause:d} s')
def step_end_after(context, pause):
    measure_hold(context, [pause], is_program_end=True)


@then('its cache is held for {hold:d} s')
def step_hold(context, hold):
    assert context.hold_ms == hold * 1000
