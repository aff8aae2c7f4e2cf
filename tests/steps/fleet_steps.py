"""Steps of fleet.feature."""

import json
import os
import tempfile
import time
from pathlib import Path

import aiohttp
import msgspec
from behave import given, then

from rattanvalve.child_processes import ChildError, Children
from rattanvalve.fleet import running_fleet
from rattanvalve.fleet_settings import plan_fleet
from rattanvalve.owner_client import OWNER_WAIT_MAX_S
from rattanvalve.scenario import load_scenario
from rattanvalve.settings import (
    EndpointSettings,
    EntrySettings,
    load_settings,
)
from tests.steps.standin_http import TIMEOUT_S


def tiny_scenario(**engine_behaviour):
    """Reduce a bundled scenario to one server per service.

    :param engine_behaviour: replaces the options of the engine.
    :returns: scenario.
    """
    scenario = load_scenario('hrafnsdottir')
    engine, plain = scenario.services
    engine = msgspec.structs.replace(
        engine,
        server_count=1,
        behaviour=engine_behaviour,
    )
    plain = msgspec.structs.replace(plain, server_count=1)
    return msgspec.structs.replace(scenario, services=(engine, plain))


def is_running(pid):
    """Return whether a process with this id exists."""
    try:
        os.kill(pid, 0)
    except ProcessLookupError:
        return False
    return True


@given('a fleet of a small deployment without the product')
def step_fleet(context):
    context.spec = tiny_scenario()


@then('its servers answer and write journals')
def step_answer(context):
    async def run(folder):
        async with (
            running_fleet(context.spec, folder, is_direct=True) as fleet,
            aiohttp.ClientSession() as session,
        ):
            assert len(fleet.children.running) == 4
            urls = fleet.direct_targets().services['orders-app']
            await session.post(f'{urls[0]}/dispatches', json={'order_id': 'o1'})
        journal = folder / 'journals' / 'orders-app-1-server.jsonl'
        lines = map(json.loads, journal.read_text().splitlines())
        assert [line['event'] for line in lines] == ['start', 'end']

    with tempfile.TemporaryDirectory() as folder:
        context.run(run(Path(folder)))


@then('all its processes have ended after an exception')
def step_exception(context):
    async def run(folder):
        async with running_fleet(context.spec, folder, is_direct=True) as fleet:
            running = fleet.children.running.values()
            context.pids = [child.pid for child in running]
            raise ValueError('failure of a run')

    with tempfile.TemporaryDirectory() as folder:
        try:
            context.run(run(Path(folder)))
        except ValueError:
            context.is_raised = True
    assert context.is_raised
    assert len(context.pids) == 4
    assert not any(map(is_running, context.pids))


@then('a fleet whose engines refuse their options fails and leaves nothing')
def step_fails(context):
    async def run(folder):
        scenario = tiny_scenario(unknown_option=1)
        async with running_fleet(scenario, folder, is_direct=True):
            raise AssertionError('the fleet became ready')

    with tempfile.TemporaryDirectory() as folder:
        try:
            context.run(run(Path(folder)))
        except ChildError as error:
            assert 'agent-models-1-server' in str(error)
        else:
            raise AssertionError('no error')
    children = Path(f'/proc/self/task/{os.getpid()}/children')
    assert children.read_text().split() == []


@then('stopping names the child that needed SIGKILL')
def step_killed(context):
    with tempfile.TemporaryDirectory() as folder:
        children = Children(Path(folder))
        children.start('stubborn', 'tests.stubborn_child')
        children.start('other', 'rattanvalve.standins.main', 'vms')
        deadline_s = time.monotonic() + TIMEOUT_S
        for name, marker in (('stubborn', 'ready'), ('other', 'listening')):
            log = Path(folder) / f'{name}.log'
            while marker not in log.read_text():
                assert time.monotonic() < deadline_s
                time.sleep(0.01)
        pids = [child.pid for child in children.running.values()]
        assert children.stop_all(grace_s=2) == ['stubborn']
        assert not any(map(is_running, pids))


def plan_settings():
    """Plan the settings of all processes of a bundled scenario.

    :returns: settings and their model, for each process.
    """
    plan = plan_fleet(load_scenario('tidewater'))
    planned = [
        (plan.entry_settings(entry, 'a' * 64), EntrySettings)
        for entry in plan.entries
    ]
    planned.extend(
        (plan.endpoint_settings(endpoint), EndpointSettings)
        for endpoint in plan.endpoints
    )
    return planned


@then('the planned settings of all processes are valid and use distinct ports')
def step_settings(context):
    planned = plan_settings()
    ports = []
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / 'settings.json'
        for settings, model in planned:
            path.write_text(json.dumps(settings))
            loaded = load_settings(path, model)
            assert len(loaded.seed_peers) == 3
            ports.append(loaded.peer_listen.port)
            if model is EntrySettings:
                ports.append(loaded.caller_listen.port)
                ports.append(loaded.admin_listen.port)
    assert len({settings['zone'] for settings, _ in planned}) == 3
    assert len(set(ports)) == len(ports)


@then('each process may take longer to stop than a request waits for an owner')
def step_stop_time(context):
    short = [
        settings['name']
        for settings, _ in plan_settings()
        if settings['stop_timeout_s'] <= OWNER_WAIT_MAX_S
    ]
    assert not short, short
