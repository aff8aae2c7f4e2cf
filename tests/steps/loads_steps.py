"""Steps of loads.feature and load_controller.feature."""

import hypothesis
from behave import given, then, when
from hypothesis import strategies

from rattanvalve.blackboard import Blackboard
from rattanvalve.control import ControlContext
from rattanvalve.counters import Metrics
from rattanvalve.load_controller import LoadController
from rattanvalve.loads import EndpointLoads
from rattanvalve.messages import Ack, Announce, Member, View
from rattanvalve.views import ROLE_ENDPOINT
from tests.cellsim import soak_settings

#: Time in seconds at which the slow start of the first reports has ended.
NOW_S = 100


def member(name, incarnation='1'):
    """Return an endpoint of the service that prefixes its name."""
    return Member(
        name=name,
        role=ROLE_ENDPOINT,
        service_name=name.partition('-')[0],
        incarnation=incarnation,
    )


def announce(name, running_count=2, incarnation='1', **fields):
    """Return an announce of a healthy endpoint with four slots."""
    health = {'is_healthy': True, 'capacity_count': 4} | fields
    return Announce(
        member=member(name, incarnation),
        running_count=running_count,
        **health,
    )


def view_of(*names):
    """Return a view of epoch 1 with these endpoints."""
    return View(epoch=1, members=tuple(member(name) for name in names))


@given('three endpoints of one service and one of another')
def step_endpoints(context):
    context.loads = EndpointLoads()
    context.drained = frozenset()
    for name in ('s-1', 's-2', 's-3', 'other-1'):
        for now_s in (0, NOW_S):
            context.loads.report(announce(name), now_s)


def candidate_names(context, now_s=NOW_S):
    """Return the names of the candidates of service s at a time."""
    found = context.loads.candidates('s', context.drained, now_s)
    return {candidate.member.name for candidate in found}


def fail_requests(context, count, now_s=NOW_S):
    """Send requests to s-1 that all fail."""
    for _ in range(count):
        context.loads.started('s-1')
        context.loads.finished('s-1', True, now_s)


def silence_s1(context):
    """Report all endpoints, s-1 longer ago than the silent limit of 6 s."""
    for name in ('s-2', 's-3'):
        context.loads.report(announce(name), NOW_S)
    context.loads.report(announce('s-1'), NOW_S - 6.1)


def mark_as_leaving(context, *names, age_s=1):
    """Let the VM list mark endpoints as leaving."""
    context.loads.hints.replace_hints(names, NOW_S - age_s)


EVENTS = {
    'reports nothing special': lambda context: None,
    'is leaving': lambda context: context.loads.report(
        announce('s-1', is_leaving=True),
        NOW_S,
    ),
    'is unhealthy': lambda context: context.loads.report(
        announce('s-1', is_healthy=False),
        NOW_S,
    ),
    'is drained': lambda context: setattr(context, 'drained', {'s-1'}),
    'is silent': silence_s1,
    'fails 5 times': lambda context: fail_requests(context, 5),
    'fails 4 times': lambda context: fail_requests(context, 4),
    'is not in the view': lambda context: context.loads.set_view(
        view_of('s-2', 's-3'),
    ),
    'has another incarnation': lambda context: (
        context.loads.set_view(view_of('s-1', 's-2', 's-3')),
        context.loads.report(announce('s-1', incarnation='2'), NOW_S),
    ),
    'is listed as leaving': lambda context: mark_as_leaving(context, 's-1'),
    'and all others are listed': lambda context: mark_as_leaving(
        context,
        's-1',
        's-2',
        's-3',
    ),
    'was listed 31 s ago': lambda context: mark_as_leaving(
        context, 's-1', age_s=31
    ),
}


@when('endpoint s-1 {event}')
def step_event(context, event):
    EVENTS[event](context)


@then('the candidates are {names}')
def step_candidates(context, names):
    assert candidate_names(context) == set(names.split())


def candidate_s1(context, now_s=NOW_S):
    """Return s-1 as a candidate."""
    found = context.loads.candidates('s', (), now_s)
    return next(entry for entry in found if entry.member.name == 's-1')


@then('requests since the report are added to it')
def step_in_flight(context):
    loads = context.loads
    assert candidate_s1(context).load == 0.5
    loads.started('s-1')
    assert candidate_s1(context).load == 0.75
    loads.report(announce('s-1', running_count=3), NOW_S)
    assert candidate_s1(context).load == 0.75
    loads.finished('s-1', False, NOW_S)
    assert candidate_s1(context).load == 0.5
    loads.finished('s-1', False, NOW_S)
    loads.finished('unknown', True, NOW_S)
    assert candidate_s1(context).load == 0.5


@then('the ejections of s-1 last 5, 10, 20 and at most 300 s')
def step_ejections(context):
    now_s = NOW_S
    for period_s in (5, 10, 20, 40, 80, 160, 300, 300):
        fail_requests(context, 5, now_s)
        for passed_s, is_candidate in ((period_s - 0.1, False), (period_s, 1)):
            context.loads.report(announce('s-1'), now_s + passed_s)
            names = candidate_names(context, now_s + passed_s)
            assert ('s-1' in names) == is_candidate, period_s
        now_s += period_s


@then('a new endpoint looks loaded until 30 s have passed')
def step_slow_start(context):
    context.loads.report(announce('s-1', 0, incarnation='2'), NOW_S)
    expected = ((0, 2.5), (15, 0.5), (30, 0))
    for age_s, load in expected:
        context.loads.report(announce('s-1', 0, incarnation='2'), NOW_S + age_s)
        found = candidate_s1(context, NOW_S + age_s)
        assert (found.load, found.is_slow_start) == (load, age_s < 30)


@then('the state of another service is not touched')
def step_not_touched(context):
    # Accessing this state would raise an AttributeError.
    context.loads._services['other']['other-1'] = None
    assert candidate_names(context) == {'s-1', 's-2', 's-3'}


@then('no load is negative and no unusable endpoint is a candidate')
def step_random_loads(context):
    step = strategies.tuples(
        strategies.sampled_from(('s-1', 's-2')),
        strategies.sampled_from(('report', 'leave', 'start', 'end', 'fail')),
        strategies.integers(0, 4),
    )

    @soak_settings
    @hypothesis.given(strategies.lists(step, min_size=20, max_size=100))
    def soak(steps):
        loads, now_s, last = EndpointLoads(), NOW_S, {}
        for name, action, number in steps:
            now_s += number
            if action in {'report', 'leave'}:
                last[name] = (action, now_s)
                message = announce(name, number, is_leaving=action == 'leave')
                loads.report(message, now_s)
            elif action == 'start':
                loads.started(name)
            else:
                loads.finished(name, action == 'fail', now_s)
            for entry in loads.candidates('s', (), now_s):
                assert entry.load >= 0
                known_action, reported_at_s = last[entry.member.name]
                assert known_action == 'report'
                assert now_s - reported_at_s <= 6

    soak()


class FakeMembership:
    """Records the calls of the load controller."""

    def __init__(self):
        self.added = []
        self.forgotten = []
        self.has_left = {}

    def add_endpoint(self, endpoint):
        """Record an addition."""
        self.added.append(endpoint.name)

    def remove_endpoint(self, name, has_left):
        """Record a removal."""
        self.forgotten.append(name)
        self.has_left[name] = has_left

    def handle_announce(self, message):
        """Reply with a fixed epoch."""
        return Ack(epoch=7)


@given('a load controller with s-1 and s-2 in the view')
def step_controller(context):
    context.now_s = NOW_S
    context.answers = []
    context.loads = EndpointLoads()
    context.drained = frozenset()
    context.membership = FakeMembership()
    context.controller = LoadController(
        context.loads,
        context.membership,
        ControlContext(
            cell='cell',
            blackboard=Blackboard(view=view_of('s-1', 's-2')),
            store=None,
            call=None,
            metrics=Metrics(),
            clock=lambda: context.now_s,
        ),
    )


@when('{name} announces itself every second for {count:d} s')
def step_announces(context, name, count):
    for _ in range(count):
        context.now_s += 1
        deliver(context, announce(name))
        context.controller.check_silent()


def deliver(context, message):
    """Deliver an announce to the controller and keep its reply."""

    async def send(answer):
        context.answers.append(answer)

    context.run(context.controller.handlers()[Announce](message, send))


@then('{name} is a candidate and {forgotten} is forgotten')
def step_forgotten(context, name, forgotten):
    assert candidate_names(context, context.now_s) == {name}
    assert set(context.membership.added) == {name}
    assert set(context.membership.forgotten) == {forgotten} - {'nobody'}
    assert context.answers[0].epoch == 7


@when('the process is paused for {count:d} s')
def step_pause(context, count):
    context.now_s += count


@when('s-1 announces that it is leaving')
def step_leaving(context):
    deliver(context, announce('s-1', is_leaving=True))


@then('there is no candidate and nothing is added')
def step_none(context):
    assert not candidate_names(context, context.now_s)
    assert not context.membership.added


@then('{name} is forgotten as one that has left')
def step_left(context, name):
    assert context.membership.has_left == {name: True}
