"""Steps of platform/number_bounds.feature."""

import itertools
import math
import tempfile
from pathlib import Path

from behave import then
from multidict import CIMultiDict

from rattanvalve import wire
from rattanvalve.channels import Address
from rattanvalve.gateway.calls import parse_turn_headers
from rattanvalve.gateway.reading import time_limit_ms
from rattanvalve.gateway.service_choice import choose_service
from rattanvalve.gateway.turns import max_charged_tokens
from rattanvalve.platform.configuration import decode_configuration
from rattanvalve.platform.nodefile import read_node
from rattanvalve.sharedstate.members import StoreMember
from rattanvalve.sharedstate.staleness import StalenessBudget
from rattanvalve.turn_messages import Reserve, TakeRate, TurnRecord
from rattanvalve.turnstore.rateshares import RateShares
from rattanvalve.turnstore.turnrecords import retention_max_ms

MEMBERS = tuple(StoreMember(name, Address('h', 1)) for name in 'abc')
CHANGE_S = 10
END_S = 70
INTERVAL_S = 0.5
USABLE_PER_S = 0.5
SMALL_BURSTS = ('0', '1', '2.9')
ROUTE_FIELDS = ('timeoutMs', 'targetLatencyMs', 'retentionS')
ENGINE_FIELDS = ('kvCapacity', 'tokensPerEvent')
OUTPUT_TOKENS = 72
REQUEST_COUNT = 200
SETTINGS = """
nodeName = "a"
ip = "127.0.0.1"
zone = "z"
internalPorts = [7000, 7010]
limits = {{ memoryMb = 100 }}
platform = {{ address = "127.0.0.1:80" }}
[bounds]
{bound} = {number}
"""


def numbers(context):
    """List the numbers of the table."""
    return [row['number'] for row in context.table]


def carry(message):
    """Encode and decode a message."""
    encoded = wire.encode_struct(message)
    return wire.decode_struct(type(message), encoded)


def cap_rules(rate, burst):
    """Decode rules with a workspace that has a rate and a burst."""
    body = (
        f'{{"version": 1, "routes": [], "tenants":'
        f' [{{"name": "w", "perS": {rate}, "burst": {burst}}}]}}'
    )
    return decode_configuration(body.encode())


def take_all(shares, first_s, end_s):
    """Ask for tokens at even intervals; return the numbers of grants."""
    granted_count = 0
    now_s = first_s
    while now_s < end_s:
        for is_start in (True, False):
            message = TakeRate(
                workspace='w', is_start=is_start, priority=9, wait_max_ms=1000
            )
            grant = carry(shares.take(message, now_s))
            assert grant.is_known
            granted_count += grant.is_granted
        now_s += INTERVAL_S
    return granted_count


@then(
    'three stores answer for each rate and burst of these, also after a change'
)
def step_rates(context):
    #: Grants of each store after the change, by rate and burst.
    context.granted = {}
    for rate, burst in itertools.product(numbers(context), repeat=2):
        for member in MEMBERS:
            shares = RateShares(member.name)
            shares.configure(cap_rules('40', '40'), MEMBERS, 0)
            take_all(shares, 0, CHANGE_S)
            shares.configure(cap_rules(rate, burst), MEMBERS, CHANGE_S)
            take_all(shares, CHANGE_S, END_S)
            fresh = RateShares(member.name)
            fresh.configure(cap_rules(rate, burst), MEMBERS, 0)
            granted = context.granted.setdefault((rate, burst), [])
            granted.append(take_all(fresh, 0, END_S))


@then(
    'of rates from 0.5 a second, each grants requests with each burst',
)
def step_usable(context):
    for (rate, burst), granted in context.granted.items():
        if float(rate) >= USABLE_PER_S:
            assert sum(granted), (rate, burst)


@then(
    'with a burst of 0, 1 or 2.9 each store grants some while the others are'
    ' away'
)
def step_standbys(context):
    for burst in SMALL_BURSTS:
        assert all(context.granted['40', burst]), burst


def turn_rules(route='', engine=''):
    """Decode rules with a route of turns and an engine service."""
    body = (
        f'{{"version": 1, "routes": [{{"name": "r", "host": "h",'
        f' "pathPrefix": "/", "kind": "stream", "service": "s",'
        f' "timeoutMs": 4000 {route}}}],'
        f' "services": [{{"name": "s", "engine": {{"slots": 1 {engine}}}}}]}}'
    )
    return decode_configuration(body.encode())


def check_turn(rules, output_tokens):
    """Send what a turn on the only route reserves and stores."""
    route = rules.routes[0]
    tokens = max_charged_tokens(output_tokens, rules.event_tokens(route))
    carry(Reserve(tokens=tokens, retention_ms=retention_max_ms(rules)))
    carry(TurnRecord(tokens=tokens, retention_ms=route.retention_ms))
    assert 0 <= route.timeout_ms < math.inf


@then('a turn is reserved and stored with each of these in each field')
def step_turns(context):
    context.numbers = numbers(context)
    for number in context.numbers:
        for field in ROUTE_FIELDS:
            check_turn(turn_rules(f', "{field}": {number}'), OUTPUT_TOKENS)
        if number.isdigit():
            for field in ENGINE_FIELDS:
                engine = f', "{field}": {number}'
                check_turn(turn_rules(engine=engine), OUTPUT_TOKENS)


@then('a turn of a caller who states each of these is reserved')
def step_caller(context):
    for number in context.numbers:
        headers = CIMultiDict(
            {
                'Program-Id': 'p',
                'Token-Budget': number,
                'Token-Usage': f'1,{number}',
                'Finish-Ms': number,
            }
        )
        turn = parse_turn_headers(headers)
        assert not turn.is_malformed, number
        check_turn(turn_rules(), turn.output_tokens_max)


@then('each share of these is chosen for a service, and none without one')
def step_weights(context):
    for row in context.table:
        body = (
            f'{{"version": 1, "routes": [{{"name": "r", "host": "h",'
            f' "pathPrefix": "/", "kind": "safe", "timeoutMs": 1,'
            f' "trafficSplit":'
            f' [{{"service": "first", "weight": {row["first"]}}},'
            f' {{"service": "second", "weight": {row["second"]}}}]}}]}}'
        )
        route = decode_configuration(body.encode()).routes[0]
        chosen = {
            choose_service(route, f'{number}')
            for number in range(REQUEST_COUNT)
        }
        weighted = {
            name for name in ('first', 'second') if float(row[name]) > 0
        }
        assert chosen == weighted, (row, chosen)


@then(
    "a caller's deadline of these gives a request this much time on a route of"
    ' {timeout_ms:d} ms'
)
def step_deadlines(context, timeout_ms):
    route = turn_rules().routes[0]
    assert route.timeout_ms == timeout_ms
    for row in context.table:
        headers = CIMultiDict()
        if row['deadline'] != 'none':
            headers['Deadline-Ms'] = row['deadline']
        assert time_limit_ms(route, headers) == float(row['time']), row


@then('each bound of the settings file may be one of these')
def step_bounds(context):
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / 'node.toml'
        for number, bound in itertools.product(
            numbers(context),
            ('configApplyMs', 'drainMs', 'catchUpS', 'graceS', 'revokeMs'),
        ):
            path.write_text(SETTINGS.format(bound=bound, number=number))
            check_bounds(read_node(path))


def check_bounds(node):
    """Check that all times that follow from the settings are usable."""
    for bound_s in (node.grace_s, node.key_revocation_s):
        assert 0 <= bound_s < math.inf
    staleness = node.staleness
    for bound_s in (
        staleness.rules_s,
        staleness.endpoints_s,
        staleness.members_s,
    ):
        budget = StalenessBudget(bound_s)
        assert 0 < budget.exchange_interval_s < math.inf
        assert 0 < budget.watch_wait_s < math.inf
        assert 0 < budget.call_timeout_s < math.inf
