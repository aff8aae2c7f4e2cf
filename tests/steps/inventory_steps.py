"""Steps of inventory.feature and catalog.feature."""

import json
from typing import get_args

from behave import then, when

from rattanvalve.inventory import (
    PlacementPolicyName,
    QueuePolicyName,
    encode_config,
    parse_config,
)
from rattanvalve.keys import key_digest
from rattanvalve.queuepolicies import QUEUE_POLICIES
from rattanvalve.routing import PLACEMENT_POLICIES
from tests.samples import (
    NORTH_KEY,
    sample_catalog,
    sample_config,
    sample_document,
)


@then('the sample configuration survives a round trip')
def step_config_round_trip(context):
    config = sample_config()
    assert parse_config(encode_config(config)).unwrap() == config


@when('the sample configuration has {path} set to {content}')
def step_set(context, path, content):
    document = sample_document()
    *steps, last = path.split('.')
    target = document
    for step in steps:
        target = target[int(step) if step.isdigit() else step]
    target[last] = json.loads(content)
    context.parsed = parse_config(json.dumps(document).encode())


@then('it is refused at {place}')
def step_refused(context, place):
    assert context.parsed.is_err()
    assert context.parsed.unwrap_err().place == place


@then('the key of north belongs to north and an unknown key to nobody')
def step_keys(context):
    catalog = sample_catalog()
    assert catalog.workspace_of_key(key_digest(NORTH_KEY)) == 'north'
    assert catalog.workspace_of_key(key_digest('rv-other')) is None


@then('only whole path segments match a rule')
def step_segments(context):
    catalog = sample_catalog()
    found = [
        catalog.is_repeatable('orders-app', 'POST', path)
        for path in ('/orders', '/orders/7', '/ordersheet')
    ]
    assert found == [False, False, True]
    assert catalog.is_open_route('orders-app', 'GET', '/public/page')
    assert not catalog.is_open_route('orders-app', 'GET', '/publicity')
    assert not catalog.is_open_route('agent-models', 'GET', '/public')


@then('the parts of a rate add up to no more than the whole')
def step_parts(context):
    part = sample_catalog().rate_of_shard('south')
    assert part.burst * 2 <= 5
    assert part.rate_per_s * 2 <= 10


@then('every registered policy is accepted and no other')
def step_policies(context):
    assert set(get_args(PlacementPolicyName)) == set(PLACEMENT_POLICIES)
    assert set(get_args(QueuePolicyName)) == set(QUEUE_POLICIES)
