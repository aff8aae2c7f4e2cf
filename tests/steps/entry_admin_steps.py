"""Steps of entry_admin.feature."""

from types import SimpleNamespace
from unittest import mock

from behave import given, then

from rattanvalve.entry_admin import _Inspector
from rattanvalve.idempotency import AttemptIndex
from tests.owner_world import World, new_begin


@given('a call in each shard of a workspace')
def step_calls(context):
    world = World(entry_count=1)
    context.run(world.time.drive(world.change_view()))
    owner = world.owner()
    context.calls = {}
    for number in range(20):
        program = f'p{number}'
        begin = new_begin(
            program,
            workspace='south',
            shard=world.catalog.shard_of('south', program),
            request_id=f'r{number}',
            idempotency_key=f'k{number}',
        )
        if begin.shard not in context.calls:
            context.run(world.time.drive(owner.service.begin(begin)))
            context.calls[begin.shard] = begin
    shared = SimpleNamespace(blackboard=owner.blackboard, pool=world)
    context.inspector = _Inspector(
        SimpleNamespace(name=owner.name),
        SimpleNamespace(shared=shared, owner_service=owner.service),
    )


@given('requests are not indexed')
def step_no_index(context):
    patch = mock.patch.object(AttemptIndex, 'find', lambda *names: None)
    patch.start()
    context.closers.append(patch.stop)


@then('asking for its {name} explains the call and its program')
def step_explains(context, name):
    assert sorted(context.calls) == [0, 1]
    for shard, begin in context.calls.items():
        query = {
            'program': (begin.program_id, ''),
            'request id': ('', begin.request_id),
            'idempotency key': ('', begin.idempotency_key),
        }[name]
        explanation = context.run(context.inspector.explain('south', *query))
        assert explanation['shard'] == shard, explanation
        assert explanation['known']['program']['program_id'] == begin.program_id
        if name != 'program':
            request = explanation['known']['request']
            assert request['request_id'] == begin.request_id
            assert request['outcome'] == 'running'


@then('asking for another request explains nothing')
def step_nothing(context):
    explanation = context.run(context.inspector.explain('south', '', 'other'))
    assert explanation['known'] == {}


@then('asking for its request id fails the check')
def step_fails(context):
    try:
        step_explains(context, 'request id')
    except (AssertionError, KeyError):
        return
    raise AssertionError('found without an index')
