"""Steps of gateway/outdated_rules.feature."""

import asyncio
import time
from dataclasses import dataclass

from behave import then, when

from tests.platform_fleet import KEY, configuration, route

REQUEST_INTERVAL_S = 0.1
NEW_KEY = 'key-added-later'
NEW_ROUTE = 'added'


@dataclass(frozen=True)
class Probe:
    """A request that only the newest rules allow."""

    sent_s: float
    gateway: int
    status: int


def _add(fleet, addition):
    spec = configuration(2, keys=(KEY, NEW_KEY))
    if addition == 'route':
        spec['routes'].append(route(NEW_ROUTE, 'safe', 'app'))
    fleet.store.put('config', 'main', spec)


async def _probe(context, gateway):
    path, key = '/look/whole', NEW_KEY
    if context.addition == 'route':
        path, key = f'/{NEW_ROUTE}/whole', KEY
    sent_s = time.monotonic()
    status, _, _ = await context.fleet.request(path, gateway, X_Api_Key=key)
    context.probes.append(Probe(sent_s, gateway, status))


@when('all turn stores stop and the operators then add a {addition}')
def step_lose_stores(context, addition):
    async def change():
        for index in range(3):
            await context.fleet.stop_process(f'store-{index}')
        _add(context.fleet, addition)

    context.addition = addition
    context.run(change())
    context.changed_s = time.monotonic()


@when('both gateways get requests with it for {duration_s:d} s')
def step_probe(context, duration_s):
    context.probes = []

    async def send():
        end_s = time.monotonic() + duration_s
        while time.monotonic() < end_s:
            await asyncio.gather(_probe(context, 0), _probe(context, 1))
            await asyncio.sleep(REQUEST_INTERVAL_S)

    context.run(send())


@then('none sent {bound_s:d} s after the change or later gets {status:d}')
def step_none(context, bound_s, status):
    late = [
        (probe.gateway, round(probe.sent_s - context.changed_s, 2))
        for probe in context.probes
        if probe.status == status
        and probe.sent_s >= context.changed_s + bound_s
    ]
    assert len(context.probes) > 20, context.probes
    assert not late, late
