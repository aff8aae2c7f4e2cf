"""Steps of view_controller.feature."""

from behave import given, then, when

from rattanvalve.admission_mode import AdmissionMode
from rattanvalve.counters import Counter
from rattanvalve.inventory import Config
from tests import cellsim


def adopted_view(sim, name):
    """Return the view that an entry has adopted."""
    return sim.entries[name].context.blackboard.view


@given('a settled cell')
def step_settled(context):
    context.sim = context.run(cellsim.start_cell())
    context.epoch = adopted_view(context.sim, 'a').epoch
    assert set(context.sim.modes().values()) == {AdmissionMode.FULL}


@when('the store is down for {count:d} s')
def step_outage(context, count):
    context.sim.store.is_down = True
    context.run(context.sim.rounds(count))


@then('all entries are FULL and the epoch is unchanged')
def step_unchanged(context):
    assert set(context.sim.modes().values()) == {AdmissionMode.FULL}
    assert adopted_view(context.sim, 'a').epoch == context.epoch


@when('the store is down and entry c dies for {count:d} s')
def step_dies(context, count):
    context.sim.store.is_down = True
    context.sim.do_kill('c', 0)
    context.run(context.sim.rounds(count))


@then('the others are HALF')
def step_half(context):
    assert set(context.sim.modes().values()) == {AdmissionMode.HALF}


@when('entry c and endpoint e1 fall silent together')
def step_silent(context):
    context.sim.do_kill('c', 0)
    # In production the load controller of each entry makes this call.
    context.sim.groups['e1'] = 1
    for entry in context.sim.entries.values():
        entry.view.remove_endpoint('e1')
    context.sim.store.is_down = True
    context.run(context.sim.rounds(4))
    context.sim.store.is_down = False
    context.run(context.sim.rounds(2))


@then('one change of the view removed both')
def step_one_change(context):
    assert context.sim.listed('a') == {'a', 'b', 'e2'}
    assert adopted_view(context.sim, 'b').epoch == context.epoch + 1


@when('entry b is paused for {count:d} s and runs again')
def step_paused(context, count):
    context.incarnation = context.sim.entries['b'].member.incarnation
    context.sim.do_pause('b', 0)
    context.run(context.sim.rounds(count))
    assert context.sim.modes('b') == {'b': AdmissionMode.HALF}
    context.sim.do_pause('b', 0)
    context.run(context.sim.entries['b'].view.send_heartbeats())
    assert context.sim.modes('b') == {'b': AdmissionMode.NONE}


@then('b does not act before it is listed with a new incarnation')
def step_new_incarnation(context):
    context.run(context.sim.rounds(3))
    state = context.sim.entries['b'].view.state
    assert state.member.incarnation != context.incarnation
    assert state.is_listed(adopted_view(context.sim, 'a'))
    assert context.sim.modes('b') == {'b': AdmissionMode.FULL}


@when('all entries stand still for {count:d} s')
def step_stand_still(context, count):
    context.sim.now_s += count
    context.run(context.sim.rounds(5))


@then('no further change of the view is made')
def step_no_change(context):
    assert adopted_view(context.sim, 'a').epoch == context.epoch


@when('entry b leaves')
def step_leaves(context):
    context.run(context.sim.entries['b'].view.leave())


@then('the others adopt a view without b in one round')
def step_left(context):
    context.run(context.sim.rounds(1))
    for name in 'abc':
        assert 'b' not in context.sim.listed(name)
    assert context.sim.modes('b') == {'b': AdmissionMode.NONE}


@when('d joins while the maintainer changes the view')
def step_race(context):
    sim = context.sim
    sim.do_start('d', 0)
    sim.do_kill('c', 0)
    sim.store.is_down = True
    context.run(sim.rounds(4))
    sim.store.is_down = False
    sim.before_put = sim.entries['d'].view.run_store_round()
    context.run(sim.entries['a'].view.run_store_round())


@then('d is listed and the conflict was counted')
def step_both(context):
    metrics = context.sim.entries['a'].context.metrics
    assert metrics.counts[Counter.VIEW_CONFLICT] == 1
    assert context.sim.listed('a') == {'a', 'b', 'd', 'e1', 'e2'}


@given('three entries whose loops run')
def step_loops(context):
    context.sim = cellsim.CellSim()
    for name in context.sim.names:
        context.sim.do_start(name, 0)
    context.run(context.sim.run_loops(10))


@then('they share one view and are FULL, and a change spreads at once')
def step_loops_settled(context):
    sim = context.sim
    assert len({adopted_view(sim, name).epoch for name in sim.names}) == 1
    assert sim.listed('a') == set(sim.names)
    assert set(sim.modes().values()) == {AdmissionMode.FULL}
    entry = sim.entries['a']
    context.run(entry.config.apply(Config(), 0, 'eva', 'change-1'))
    context.run(sim.run_loops(1))
    for entry in sim.entries.values():
        assert entry.context.blackboard.catalog.generation == 1


@when('all entries restart while no endpoint announces itself')
def step_all_restart(context):
    for name in cellsim.ENDPOINT_NAMES:
        context.sim.groups[name] = 1
    for name in 'abc':
        context.sim.do_kill(name, 0)
    for name in 'abc':
        context.sim.do_start(name, 0)
        assert context.sim.modes('a')['a'] is AdmissionMode.NONE
        context.run(context.sim.rounds(1))
    context.run(context.sim.rounds(3))


@then('all entries are FULL and endpoints of the view were kept')
def step_all_act(context):
    assert set(context.sim.modes().values()) == {AdmissionMode.FULL}
    assert context.sim.listed('a') == {'a', 'b', 'c', 'e1', 'e2'}
