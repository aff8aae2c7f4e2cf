"""Steps of runqueue.feature."""

from collections import Counter
from dataclasses import replace
from functools import partial, total_ordering

from behave import given, then, when

from rattanvalve.grouporder import GroupOrder
from rattanvalve.messages import Ticket, Usage
from rattanvalve.queuepolicies import QUEUE_POLICIES
from rattanvalve.resultcodes import ResultCode
from rattanvalve.runqueue import RunQueue
from tests.randomised import finds_fault, run_sequences

CAPACITY = 3
MAX_PER_WORKSPACE = 8
USAGE = Usage(output_tokens=100)


def request(number, workspace='north', priority=1, attained=0, **fields):
    """Return a ticket with 100 reserved tokens."""
    return Ticket(
        number=number,
        workspace=workspace,
        priority=int(priority),
        attained_tokens=int(attained),
        reserved_tokens=100,
        **fields,
    )


def run_waiting(queue, now_s=0):
    """Start and finish the waiting requests; return them in order."""
    order = []
    while ticket := queue.pop_ready(now_s):
        order.append(ticket)
        queue.finish(ticket.number, USAGE, now_s)
    return order


@given('a {policy:w} queue with 1 slot')
def step_queue(context, policy):
    context.queue = RunQueue(1, 100, policy)


@when('these requests arrive')
def step_arrive(context):
    for row in context.table:
        assert context.queue.offer(request(*row.cells), 0) is None


@when('the first one starts and the rule becomes {policy:w}')
def step_rule(context, policy):
    context.started = context.queue.pop_ready(0)
    context.queue.set_policy(policy)
    context.queue.set_policy('unknown')


@when('the started one finishes')
def step_finish(context):
    context.queue.finish(context.started.number, USAGE, 0)


@then('they run in the order {order}')
def step_order(context, order):
    ran = [ticket.number for ticket in run_waiting(context.queue)]
    assert ran == order.split(), ran


@when('north has used 50 turns alone and both workspaces send 20 requests')
def step_alone(context):
    for index in range(50):
        context.queue.offer(request(f'old-{index}'), 0)
    run_waiting(context.queue)
    for index in range(20):
        for workspace in ('north', 'south'):
            made = request(f'{workspace}-{index}', workspace)
            context.queue.offer(made, 0)


@then('the next 20 turns are shared equally')
def step_shared(context):
    ran = run_waiting(context.queue)
    shares = Counter(ticket.workspace for ticket in ran[:20])
    assert shares['north'] == shares['south'], shares


@when('{workspaces} send 30 requests each')
def step_send(context, workspaces):
    for index in range(30):
        for part in workspaces.split(' and '):
            workspace, priority = part.split()
            number = f'{workspace}-{index}'
            priority = ('high', 'normal', 'low').index(priority)
            context.queue.offer(request(number, workspace, priority), 0)


@then('the next {count:d} turns go {shares}')
def step_shares(context, count, shares):
    ran = run_waiting(context.queue)[:count]
    found = Counter(ticket.workspace for ticket in ran)
    expected = dict(part.split() for part in shares.split(' and '))
    assert {name: str(turns) for name, turns in found.items()} == expected


@when('north fills its queue with runs of 2 s')
def step_fill(context):
    for index in range(100):
        assert context.queue.offer(request(str(index)), 0) is None
    for turn in range(30):
        started = context.queue.pop_ready(2 * turn)
        context.queue.finish(started.number, USAGE, 2 * turn + 2)
        context.queue.offer(request(f'more-{turn}'), 2 * turn + 2)
    assert context.queue.pop_ready(60)
    context.queue.offer(request('last'), 60)


@then('one more is refused and accepted after the retry time')
def step_retry(context):
    refusal = context.queue.offer(request('late'), 60)
    assert refusal.code == ResultCode.QUEUE_FULL
    # The running request has just started and takes 2 s.
    assert 1900 <= refusal.retry_after_ms <= 2100, refusal
    context.queue.finish(next(iter(context.queue._running)), USAGE, 62)
    context.queue.pop_ready(62)
    assert context.queue.offer(request('late'), 62) is None


@total_ordering
class CountedRank:
    """Rank that counts all comparisons of its instances."""

    count = 0

    def __init__(self, rank):
        self.rank = rank

    def __lt__(self, other):
        """Compare and count."""
        CountedRank.count += 1
        return self.rank < other.rank

    def __eq__(self, other):
        """Compare and count."""
        CountedRank.count += 1
        return self.rank == other.rank

    __hash__ = None


def count_comparisons(length):
    """Return the comparisons of 200 rounds on a queue of a length."""
    queue = RunQueue(1, 10**6, 'program_fair')

    def offer(index):
        rank = CountedRank(index * 7919 % 10007)
        made = replace(request(f'n{index}'), attained_tokens=rank)
        queue.offer(made, 0)

    for index in range(length):
        offer(index)
    CountedRank.count = 0
    for index in range(200):
        offer(length + index)
        queue.withdraw(f'n{index * 3}')
        if ticket := queue.pop_ready(0):
            queue.finish(ticket.number, USAGE, 0)
    return CountedRank.count


@then('a queue that is 16 times as long needs less than twice the comparisons')
def step_cost(context):
    short, long = count_comparisons(1000), count_comparisons(16_000)
    assert 0 < long < 2 * short, (short, long)


class QueueHistory:
    """Model of a run queue with plain collections, checked at each step."""

    def __init__(self, policy_name):
        self.changes_policy = policy_name == 'changing'
        self.is_fair = policy_name != 'first_come'
        self.is_finish_first = policy_name == 'finish_first'
        first_name = 'program_fair' if self.changes_policy else policy_name
        self.queue = RunQueue(CAPACITY, MAX_PER_WORKSPACE, first_name)
        self.waiting = {}
        self.running = []
        self.paused = {}
        self.pauses = Counter()
        self.priorities = {}
        self.now_s = 0
        self.arrival = 0

    def offer(self, first, second):
        """Offer a request; it must be refused only at the limit."""
        self.arrival += 1
        made = request(
            str(self.arrival),
            workspace=f'w{first % 3}',
            priority=second % 3,
            attained=first // 3 % 10,
            timeout_ms=1000 * (1 + second % 50),
        )
        waiting_count = sum(
            ticket.workspace == made.workspace
            for ticket, _, _ in self.waiting.values()
        )
        refusal = self.queue.offer(made, self.now_s)
        assert bool(refusal) == (waiting_count >= MAX_PER_WORKSPACE)
        self.priorities[made.number] = self.class_of(made)
        if refusal is None:
            deadline_s = self.now_s + made.timeout_ms / 1000
            self.waiting[made.number] = (made, self.arrival, deadline_s)

    def pop(self, first, second):
        """Start a request and check that no other should start first."""
        ticket = self.queue.pop_ready(self.now_s)
        if ticket is None:
            self.check_expired()
            busy_count = len(self.running) - len(self.paused)
            is_full = busy_count == CAPACITY
            assert not self.waiting or is_full or self.must_resume()
            return
        assert not self.must_resume()
        assert ticket.number in self.waiting
        started_entry = self.waiting.pop(ticket.number)
        assert started_entry[2] > self.now_s
        self.running.append(ticket.number)
        self.check_expired()
        assert len(self.running) - len(self.paused) <= CAPACITY
        for other in self.waiting.values():
            assert self.may_start_before(started_entry, other), (
                started_entry,
                other,
            )

    def may_start_before(self, started_entry, other):
        """Return whether the policy permits starting this request first."""
        ticket, arrival, _ = started_entry
        other_ticket, other_arrival, _ = other
        if not self.is_fair:
            return arrival < other_arrival
        if self.class_of(ticket) != self.class_of(other_ticket):
            return self.class_of(ticket) < self.class_of(other_ticket)
        if ticket.workspace != other_ticket.workspace:
            return True
        if self.is_finish_first:
            return (ticket.priority, -ticket.attained_tokens, arrival) < (
                other_ticket.priority,
                -other_ticket.attained_tokens,
                other_arrival,
            )
        rank = (ticket.attained_tokens, arrival)
        return rank < (other_ticket.attained_tokens, other_arrival)

    def class_of(self, ticket):
        """Return the class; ``finish_first`` merges all but the high class."""
        priority = ticket.priority
        return min(priority, 1) if self.is_finish_first else priority

    def finish(self, first, second):
        """Finish a running request, if any."""
        if self.running:
            number = self.running.pop(first % len(self.running))
            self.paused.pop(number, None)
            usage = Usage(output_tokens=second)
            self.queue.finish(number, usage, self.now_s)

    def withdraw(self, first, second):
        """Withdraw a request that waits, runs or has finished."""
        number = str(first % (self.arrival + 1))
        is_waiting = self.waiting.pop(number, None) is not None
        assert self.queue.withdraw(number) == is_waiting

    def change_policy(self, first, second):
        """Change the policy at times; it applies immediately."""
        if self.changes_policy and first % 4 == 0:
            self.is_fair = second % 2 == 0
            names = ('program_fair', 'first_come')
            self.queue.set_policy(names[second % 2])

    def pause(self, first, second):
        """Pause a request for the highest class; one in three is refused."""
        number = self.queue.choose_pause()
        if number is None:
            return
        assert self.is_fair
        assert number not in self.paused
        assert self.priorities[number] > 0
        assert self.pauses[number] < 2
        self.pauses[number] += 1
        is_paused = first % 3 > 0
        self.queue.record_pause(number, is_paused, self.now_s)
        if is_paused:
            self.paused[number] = self.now_s
        else:
            # A refused request must not be chosen again.
            self.pauses[number] = 2
        # Paused requests hold at most half of the slots.
        assert len(self.paused) <= CAPACITY // 2
        self.pop(first, second)
        if second % 2:
            self.pause(first, second // 2)

    def resume(self, first, second):
        """Resume a paused request unless a higher class waits."""
        number = self.queue.pop_resumable(self.now_s)
        self.paused.pop(number, None)
        self.check_expired()
        assert number or not self.must_resume(), self.paused
        assert self.queue.running_count <= CAPACITY

    def must_resume(self):
        """Return whether a paused request must resume before any start."""
        if len(self.running) - len(self.paused) == CAPACITY:
            return False
        waiting = [self.class_of(entry[0]) for entry in self.waiting.values()]
        return any(
            self.now_s - since_s >= 3
            or not self.is_fair
            or self.priorities[number] <= min(waiting, default=9)
            for number, since_s in self.paused.items()
        )

    def pass_time(self, first, second):
        """Advance the clock and check the expired requests."""
        self.now_s += first % 9
        self.check_expired()

    def check_expired(self):
        """Compare the expired requests and counts with the model."""
        expired = {t.number for t in self.queue.take_expired(self.now_s)}
        overdue = {
            number
            for number, (_, _, deadline_s) in self.waiting.items()
            if deadline_s <= self.now_s
        }
        assert expired == overdue
        for number in overdue:
            self.waiting.pop(number)
        paused_count = len(self.paused)
        assert self.queue.queued_count == len(self.waiting) + paused_count
        assert self.queue.running_count == len(self.running) - paused_count


def check_queue(policy_name, steps, inject_fault=None):
    """Run one random sequence of actions on a new queue."""
    history = QueueHistory(policy_name)
    if inject_fault:
        inject_fault(history.queue)
    actions = (
        history.offer,
        history.offer,
        history.offer,
        history.pop,
        history.pop,
        history.pop,
        history.finish,
        history.finish,
        history.withdraw,
        history.pass_time,
        history.change_policy,
        history.pause,
        history.pause,
        history.resume,
    )
    for action, first, second in steps:
        actions[action % len(actions)](first, second)


def with_policy(policy_name='program_fair', **functions):
    """Return a fault that replaces functions of a policy."""

    def inject_fault(queue):
        policy = QUEUE_POLICIES[policy_name]
        queue._order = GroupOrder(replace(policy, **functions))

    return inject_fault


def with_ignored_policy_change(queue):
    """Ignore changes of the policy."""
    queue.set_policy = lambda policy_name: None


def with_extra_slot(queue):
    """Use one slot more than the capacity."""
    queue._capacity_count += 1


def with_ignored_deadlines(queue):
    """Ignore the deadlines of waiting requests."""
    queue._collect_expired = lambda now_s: None


def with_ignored_withdrawal(queue):
    """Report a request as withdrawn but keep it in the queue."""
    queue.withdraw = lambda number: number in queue._waiting


def with_unlimited_pauses(queue):
    """Pause the same request without limit."""
    queue._preemption._may_pause = lambda number: (
        number not in queue._preemption._paused
    )


def with_all_paused(queue):
    """Allow paused requests in all slots."""
    queue._preemption._max_paused_count = CAPACITY


def with_ignored_resumes(queue):
    """Never resume paused requests."""
    queue._next_resumable = lambda now_s: None


FAULTS = {
    'a request paused again and again': with_unlimited_pauses,
    'all slots paused': with_all_paused,
    'paused requests that never resume': with_ignored_resumes,
    'started programs last': with_policy(
        'finish_first',
        rank_of=lambda ticket, arrival: (
            ticket.priority,
            ticket.attained_tokens,
        ),
    ),
    'the lowest class before others': with_policy(
        'finish_first',
        rank_of=lambda ticket, arrival: (-ticket.attained_tokens, arrival),
    ),
    'a rule that is not followed': with_ignored_policy_change,
    'no regard to priority': with_policy(
        group_of=lambda ticket: (0, ticket.workspace),
    ),
    'most attained first': with_policy(
        rank_of=lambda ticket, arrival: (-ticket.attained_tokens, arrival),
    ),
    'one slot too many': with_extra_slot,
    'overdue requests that run': with_ignored_deadlines,
    'a withdrawn one that runs': with_ignored_withdrawal,
}


#: Policies of the faults that do not apply to ``program_fair``.
FAULTY_POLICIES = {
    'a rule that is not followed': 'changing',
    'started programs last': 'finish_first',
    'the lowest class before others': 'finish_first',
}


@then('random sequences find no fault in a {policy} queue')
def step_no_fault(context, policy):
    run_sequences(partial(check_queue, policy))


@then('random sequences find a queue with {fault}')
def step_fault(context, fault):
    policy_name = FAULTY_POLICIES.get(fault, 'program_fair')
    check = partial(check_queue, policy_name, inject_fault=FAULTS[fault])
    assert finds_fault(check)
