"""Steps of sharedstate/watchers.feature and of fleets with one watcher."""

import asyncio
from dataclasses import replace
from unittest import mock

from behave import given, then, when

from rattanvalve.channels import Address
from rattanvalve.sharedstate.members import StoreMember
from rattanvalve.sharedstate.watchers import watchers_of
from tests.platform_fleet import configuration, open_fleet, wait_until

#: Calls per second of one watcher that watches four kinds of objects.
WATCH_CALLS_PER_S = 6


def watcher_names(members, silent=()):
    """Return the names of the chosen watchers."""
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
    context.watcher_names = watcher_names(context.members)
    assert len(context.watcher_names) == count
    reordered = sorted(context.members, key=lambda member: member.name)
    assert watcher_names(reordered) == context.watcher_names


@then('one that falls silent or leaves is replaced by one other')
def step_replaced(context):
    lost = next(
        member
        for member in context.members
        if member.name in context.watcher_names
    )
    without = watcher_names(context.members, silent=(lost.address,))
    assert len(without - context.watcher_names) == 1
    assert context.watcher_names - without == {lost.name}
    leaving = [
        replace(member, is_leaving=member == lost) for member in context.members
    ]
    assert watcher_names(leaving) == without


@then('of {count:d} members all watch')
def step_all(context, count):
    assert len(watcher_names(context.members[:count])) == count


@given('a fleet on the platform of which one turn store watches the store')
def step_one_watches(context):
    patcher = mock.patch('rattanvalve.sharedstate.watchers.WATCHER_COUNT', 1)
    patcher.start()
    context.closers.append(patcher.stop)
    context.closers.remove(context.fleet.stop)
    context.run(context.fleet.stop())
    open_fleet(context)


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
    # The retired member keeps following the member objects.
    before = store.call_count
    context.run(asyncio.sleep(3))
    calls = store.call_count - before
    assert calls <= 3 * WATCH_CALLS_PER_S, calls
