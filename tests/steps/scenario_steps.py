"""Steps of scenario.feature."""

import json
import tempfile
from pathlib import Path

from behave import then

from rattanvalve.errors import SettingsError
from rattanvalve.inventory import parse_config
from rattanvalve.program_plans import OrderStep, plan_programs
from rattanvalve.scenario import (
    bundled_scenarios,
    config_document,
    load_scenario,
)

FOLDER = Path(__file__).parents[2] / 'rattanvalve' / 'scenarios'


@then('every bundled scenario gives a configuration that the product accepts')
def step_config(context):
    assert bundled_scenarios() == [
        'hrafnsdottir',
        'hrafnsdottir_busy',
        'tidewater',
        'tidewater_busy',
    ]
    for name in bundled_scenarios():
        scenario = load_scenario(name)
        keys = {key: f'rv-{key}' for key in scenario.initial_keys()}
        document = json.dumps(config_document(scenario, keys))
        config = parse_config(document.encode()).unwrap()
        assert keys
        assert len(config.inventory.keys) == len(keys)


@then('its events and programs name things that exist')
def step_names(context):
    for scenario in map(load_scenario, bundled_scenarios()):
        known = {f'entry-{zone}' for zone in scenario.zones}
        for spec in scenario.services:
            known.update(
                f'{spec.name}-{number + 1}'
                for number in range(spec.server_count)
            )
        for workspace in scenario.workspaces:
            known.add(workspace.name)
            known.update(group.key for group in workspace.groups)
        actions = {event.action for event in scenario.events}
        # The scenarios under contention have no events.
        expected = {'hrafnsdottir': 5, 'tidewater': 5}
        assert len(actions) == expected.get(scenario.name, 0)
        assert {event.target for event in scenario.events} <= known
        names = {service.name for service in scenario.services}
        assert scenario.programs.order_service in names


@then('scenario {name} with {path} set to {content} is refused at {place}')
def step_refused(context, name, path, content, place):
    document = json.loads((FOLDER / f'{name}.json').read_text())
    *parents, field = path.split('.')
    target = document
    for key in parents:
        target = target[int(key) if key.isdigit() else key]
    target[field] = json.loads(content)
    with tempfile.TemporaryDirectory() as folder:
        changed = Path(folder) / 'changed.json'
        changed.write_text(json.dumps(document))
        try:
            load_scenario(str(changed))
        except SettingsError as error:
            assert f'`{place}`' in str(error), error
            return
    raise AssertionError('the scenario was accepted')


@then('the same seed plans the same programs and another seed others')
def step_seed(context):
    scenario = load_scenario('tidewater')
    plans = plan_programs(scenario, 1)
    assert plans == plan_programs(scenario, 1)
    assert plans != plan_programs(scenario, 2)


@then('every planned program starts and ends with a chat and has one order')
def step_chain(context):
    for seed in range(50):
        plans = plan_programs(load_scenario('hrafnsdottir'), seed)
        assert len({plan.name for plan in plans}) == len(plans)
        for plan in plans:
            kinds = [isinstance(step, OrderStep) for step in plan.steps]
            assert sum(kinds) == 1
            assert not kinds[0]
            assert not kinds[-1]
