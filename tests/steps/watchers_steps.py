"""Steps of sharedstate/watchers.feature and of those that watch a fleet."""

import asyncio
from dataclasses import replace
from unittest import mock

from behave import given, then, when

from rattanvalve.channels import Address
from rattanvalve.sharedstate.members import StoreMember
from rattanvalve.sharedstate.watchers import watchers_of
from tests.platform_fleet import PlatformFleet, configuration, wait_until

#: Calls of one watcher of four kinds, with its own watches, in a second.
WATCH_CALLS_PER_S = 6


def watching(members, silent=()):
    """Name the members that watch."""
    chosen = watchers_of(members, lambda address: address in silent)
    return {member.name for member in chosen}


@given('{count:d} members of the turn store')
def step_members(context, count):
    context.members = [
        StoreMember(f'm{number}', Address(f'h{number}', 1))
        for number in range(count)
    ]


@then('{count:d} of them watch, whatever the order in which they are listed')
def step_few(context, count):
    context.watching = watching(context.members)
    assert len(context.watching) == count
    backwards = sorted(context.members, key=lambda member: member.name)
    assert watching(backwards) == context.watching


@then('one that falls silent or leaves is replaced by one other')
def step_replaced(context):
    lost = next(
        member for member in context.members if member.name in context.watching
    )
    without = watching(context.members, silent=(lost.address,))
    assert len(without - context.watching) == 1
    assert context.watching - without == {lost.name}
    leaving = [
        replace(member, is_leaving=member == lost) for member in context.members
    ]
    assert watching(leaving) == without


@then('of {count:d} members all watch')
def step_all(context, count):
    assert len(watching(context.members[:count])) == count


@given('a fleet on the platform of which one turn store watches the store')
def step_one_watches(context):
    fewer = mock.patch('rattanvalve.sharedstate.watchers.WATCHER_COUNT', 1)
    fewer.start()
    context.closers.append(fewer.stop)
    context.closers.remove(context.fleet.stop)
    context.run(context.fleet.stop())
    context.fleet = PlatformFleet()
    context.closers.append(context.fleet.stop)
    context.run(context.fleet.start())


@when('a turn store that does not watch is retired and is done')
def step_retire(context):
    fleet = context.fleet
    hosts = {fleet.host('store', index): f'store-{index}' for index in range(3)}
    state = fleet.gateways[0]._state
    context.run(wait_until(lambda: len(state.members) == 3))
    watcher_host = state.watcher_addresses()[0].host
    hosts.pop(watcher_host)
    name = min(hosts.values())
    fleet.store.put('retirements', name, {'durationS': 10})

    def is_done():
        status = fleet.store.stored['retirements', name].get('status') or {}
        return status.get('state') == 'done'

    context.run(wait_until(is_done))
    assert ('turnstores', name) not in fleet.store.stored


@then(
    'the configuration of version {version:d} reaches all processes within 2 s'
)
def step_reaches(context, version):
    fleet = context.fleet
    fleet.store.put('config', 'main', configuration(version))

    def is_known():
        return all(
            gateway._state.rules.version == version
            for gateway in fleet.gateways.values()
        )

    context.run(asyncio.wait_for(wait_until(is_known), 2))


@then('few calls of the store come from those that do not watch')
def step_few_calls(context):
    store = context.fleet.store
    # The retired member goes on to follow the members.
    before = store.call_count
    context.run(asyncio.sleep(3))
    calls = store.call_count - before
    assert calls <= 3 * WATCH_CALLS_PER_S, calls
