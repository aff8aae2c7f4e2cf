"""Simulated endpoints that state limits, and turn stores that share them."""

import itertools

from rattanvalve.channels import Address
from rattanvalve.errors import PeerError
from rattanvalve.gateway.rate_client import RateClient
from rattanvalve.sharedstate.members import StoreMember
from rattanvalve.sharedstate.reachability import ReachTable
from rattanvalve.turn_messages import EndpointLimit, TakeEndpointRate
from rattanvalve.turnstore.endpointrates import EndpointRates

__all__ = ('KEY', 'Stores', 'ask')

#: Key of the endpoint that ``endpoint_entries.endpoint`` creates.
KEY = 'app-1/127.0.0.1:1/1'


def member(name, number):
    """Create a member of the turn store with an address of its own."""
    return StoreMember(name, Address(f'127.0.0.{number}', 1))


class Stores:
    """Turn stores that share limits; ``now_s`` is the simulated time."""

    def __init__(self, names):
        self.now_s = 0.0
        self.silent = set()
        self.reach = ReachTable()
        self._numbers = itertools.count(1)
        self.list = []
        self.rates = {}
        for name in names:
            self.add(name)

    def members(self):
        """Return the members."""
        return tuple(self.list)

    def add(self, name):
        """Add a member with empty buckets."""
        self.list.append(member(name, next(self._numbers)))
        self.rates[name] = EndpointRates(name)
        self._configure()

    def replace(self, name):
        """Remove a member and add another one with another name."""
        self.list = [known for known in self.list if known.name != name]
        self.rates.pop(name)
        self.add(f'{name}-new')

    def restart(self, name):
        """Let a member forget all limits and buckets."""
        self.rates[name] = EndpointRates(name)
        self._configure()

    def is_relayed(self, called):
        """Return that calls reach a member directly."""
        return False

    async def call(self, called, message, answer_class, timeout_s):
        """Ask a member for a token; fail if it is silent."""
        if called.name in self.silent:
            self.reach.record_failure(called.address, self.now_s)
            raise PeerError('silent')
        self.reach.record_answer(called.address, self.now_s)
        return self.rates[called.name].take(message, self.now_s)

    def _configure(self):
        for rates in self.rates.values():
            rates.configure(self.list)


def ask(context, limit_per_s, is_start=False, priority=0, wait_max_ms=0):
    """Ask the stores for one token, as a gateway does."""
    message = TakeEndpointRate(
        limit=EndpointLimit(
            endpoint=KEY, is_limited=True, rate_per_s=limit_per_s
        ),
        is_start=is_start,
        priority=priority,
        wait_max_ms=wait_max_ms,
    )
    return context.run(RateClient(context.stores).take_endpoint(message))
