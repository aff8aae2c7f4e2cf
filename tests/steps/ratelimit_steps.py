"""Steps of ratelimit.feature, history.feature and retries.feature."""

import random

from behave import then, when

from rattanvalve.history import chain_digests, is_continuation
from rattanvalve.ratelimit import Bucket
from rattanvalve.retries import INITIAL_RETRY_COUNT, RETRY_RATIO, RetryBudget
from tests.owner_world import World, finish_of, new_begin, rate_violations
from tests.soak import soak_seeds


class BurstFillingBucket(Bucket):
    """Faulty bucket that is full after each change of its limits."""

    def configure(self, rate_per_s, burst, now_s):
        """Apply the limits and fill the bucket."""
        super().configure(rate_per_s, burst, now_s)
        self.level = burst


class DoubleRefillBucket(Bucket):
    """Faulty bucket that refills at twice the rate."""

    def refill(self, now_s):
        """Add the tokens of the elapsed time twice."""
        elapsed_s = now_s - self._updated_s
        super().refill(now_s)
        more = self.level + elapsed_s * self._rate_per_s
        self.level = min(self._burst, more)


class UnrestoredBucket(Bucket):
    """Faulty bucket that ignores the admissions of earlier owners."""

    def restore(self, ages_s, now_s):
        """Fill the bucket."""
        super().restore((), now_s)


BUCKETS = {
    'no fault': Bucket,
    'tokens by burst': BurstFillingBucket,
    'refill twice': DoubleRefillBucket,
    'restore ignores': UnrestoredBucket,
}


def run_bucket(bucket_class, seed):
    """Run random operations; return violations of the highest limits."""
    rng = random.Random(seed)
    now_s, rate_per_s, burst = 0.0, rng.choice((1, 7.5)), rng.choice((1, 4))
    bucket = bucket_class(rate_per_s, burst, now_s)
    bucket.restore((), now_s)
    factor, admitted_s = 1, []
    for _ in range(150):
        now_s += rng.expovariate(rate_per_s * 2)
        event = rng.random()
        if event < 0.1:
            factor = rng.choice((0.5, 1))
            bucket.configure(rate_per_s * factor, burst * factor, now_s)
        elif event < 0.15:
            bucket = bucket_class(rate_per_s, burst, now_s)
            bucket.restore([now_s - at_s for at_s in admitted_s], now_s)
        elif bucket.take(now_s):
            admitted_s.append(now_s)
    return rate_violations(admitted_s, rate_per_s, burst)


@when('random requests, changes and takeovers use a bucket with {fault}')
def step_bucket(context, fault):
    context.found = [
        found
        for seed in soak_seeds()
        for found in run_bucket(BUCKETS[fault], seed)
    ]


@then('the bound is {verdict}')
def step_bound(context, verdict):
    assert bool(context.found) == (verdict == 'violated'), context.found[:3]


@then('an empty bucket admits exactly after its stated wait')
def step_true_wait(context):
    bucket = Bucket(4, 2, 0)
    for ahead_count, expected_s in ((0, 0.25), (3, 1.0)):
        assert bucket.wait_s(0, ahead_count) == expected_s
    assert not bucket.take(0.249)
    assert bucket.take(0.25)
    assert Bucket(4, 0.5, 0).wait_s(0) == float('inf')


@then('an extended history continues and a changed one is a fork')
def step_chain(context):
    history = [{'role': 'user', 'content': str(n)} for n in range(4)]
    digests = chain_digests(history)
    assert digests[:3] == chain_digests(history[:3])
    assert all(-(2**63) <= digest < 2**63 for digest in digests)
    assert is_continuation(digests[1], digests)
    for place in range(2):
        changed = [dict(each) for each in history]
        changed[place]['content'] = 'other'
        assert not is_continuation(digests[1], chain_digests(changed))
    assert is_continuation(digests[1], ())


@then('a forked call is placed without its last endpoint and counted')
def step_fork(context):
    world = World(entry_count=1)
    context.run(world.time.drive(world.change_view()))
    last_endpoints = []
    place = world.place
    world.place = lambda request, now_s: None
    entry = world.owner()

    def record_last_endpoint(request, now_s):
        last_endpoints.append(request.last_endpoint)
        return place(request, now_s)

    ports = entry.service._queue._ports
    object.__setattr__(ports, 'place', record_last_endpoint)
    for digests in ((1, 2), (1, 2, 3), (1, 9, 4), (1, 9, 4, 5)):
        begin = new_begin(history_digests=digests)
        ticket = context.run(world.time.drive(entry.service.begin(begin)))
        context.run(entry.service.finish(finish_of(ticket)))
    assert [bool(name) for name in last_endpoints] == [False, True, False, True]
    assert entry.owner.metrics.counts['history.fork'] == 1


@when('random requests and retries use a budget with {fault}')
def step_retries(context, fault):
    context.is_bounded = True
    for seed in soak_seeds():
        rng = random.Random(seed)
        budget, requests, retries = RetryBudget(), 0, 0
        for _ in range(500):
            if rng.random() < 0.5:
                budget.earn()
                requests += 1
            else:
                retries += budget.spend() or fault == 'no limit'
            if retries > INITIAL_RETRY_COUNT + RETRY_RATIO * requests + 1e-6:
                context.is_bounded = False


@then('the retries are {verdict}')
def step_retry_bound(context, verdict):
    assert context.is_bounded == (verdict == 'bounded')
