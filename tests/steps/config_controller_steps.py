"""Steps of config_controller.feature."""

from collections import Counter as CollectionCounter
from dataclasses import replace

import msgspec
from behave import then, when

from rattanvalve import (
    config_controller,
    configholder,
    store,
    view_controller,
)
from rattanvalve.config_controller import GenerationConflictError
from rattanvalve.errors import StoreError
from rattanvalve.store import StoredObject
from tests.samples import sample_config


def apply_sample(context, change_id='change-1'):
    """Apply the sample configuration at entry a, based on generation 0."""
    controller = context.sim.entries['a'].config
    return context.run(controller.apply(sample_config(), 0, 'eva', change_id))


@when('an operator applies a change at entry a')
def step_apply(context):
    assert apply_sample(context) == 1


@then('all entries have generation 1 after {count:d} rounds')
def step_spread(context, count):
    context.run(context.sim.rounds(count))
    for entry in context.sim.entries.values():
        catalog = entry.context.blackboard.catalog
        assert catalog.generation == 1, entry.name
        assert catalog.config == sample_config()


@then('every entry answers an announce with the queue policy {policy}')
def step_policy(context, policy):
    for entry in context.sim.entries.values():
        state = entry.view.state
        entry_blackboard = entry.context.blackboard
        rules = msgspec.structs.replace(
            entry_blackboard.catalog.config.rules,
            queue_policy=policy,
        )
        config = msgspec.structs.replace(
            entry_blackboard.catalog.config, rules=rules
        )
        entry_blackboard.catalog = replace(
            entry_blackboard.catalog, config=config
        )
        ack = state.make_endpoint_ack()
        assert (ack.generation, ack.queue_policy) == (1, policy)


@then('no more than two entries of a zone are watchers')
def step_watchers(context):
    for name in 'dfh':
        context.sim.names = (*context.sim.names, name)
        context.sim.do_start(name, 0)
    context.run(context.sim.rounds(6))
    watchers = CollectionCounter(
        entry.member.zone
        for entry in context.sim.entries.values()
        if entry.config.is_watcher()
    )
    assert watchers == {'zone-0': 2, 'zone-1': 2}, watchers


@then('the same change repeated is accepted as generation 1')
def step_repeated(context):
    assert apply_sample(context) == 1


@then('another change to generation 0 conflicts with generation 1')
def step_conflict(context):
    try:
        apply_sample(context, 'change-2')
    except GenerationConflictError as error:
        assert error.current_generation == 1
        return
    raise AssertionError('no conflict')


@when('the response of a change at entry a is lost')
def step_lost(context):
    context.sim.store.lost_response_count = 1
    try:
        apply_sample(context)
    except StoreError:
        return
    raise AssertionError('the response was not lost')


@when('all entries have heard it and b restarts while the store is down')
def step_restart(context):
    context.run(context.sim.rounds(2))
    context.sim.store.is_down = True
    context.sim.do_start('b', 0)
    context.run(context.sim.entries['b'].config.load())


@when('the store holds {body}')
def step_store_holds(context, body):
    version = context.sim.store.get('config').version + 1
    stored = StoredObject(version, body.encode())
    context.sim.store.stored['config'] = stored
    context.run(context.sim.rounds(2))


@then('generation 1 stays and {counter} is counted')
def step_counted(context, counter):
    entry = context.sim.entries['a']
    assert entry.context.blackboard.catalog.generation == 1
    # Each version of the object is counted once, not in each round.
    assert entry.context.metrics.counts[counter] == 1


@then(
    'a hanging watch, a new one and the way to all entries take at most '
    '{bound_s:d} s'
)
def step_watch_hangs(context, bound_s):
    hanging_s = config_controller.WATCH_TIMEOUT_S + store.WATCH_GRACE_S
    way_s = view_controller.HEARTBEAT_INTERVAL_S + configholder.PULL_TIMEOUT_S
    total_s = hanging_s + config_controller.ROUND_INTERVAL_S + way_s
    assert bound_s == config_controller.APPLY_BOUND_S
    assert total_s <= bound_s, total_s
