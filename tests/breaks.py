"""Deliberate breaks of the mechanisms, which the checks must notice.

Each entry replaces one attribute of the product by a wrong one.
"""

from unittest import mock

from rattanvalve import confirmations, viewchanges
from rattanvalve.actmode import ActMode
from rattanvalve.confirmations import Confirmation
from rattanvalve.viewchain import ViewChain
from rattanvalve.views import change_members
from rattanvalve.viewstate import ViewState
from tests.cellsim import LEASE_S, FakeStore

_take_ack = ViewState.take_ack
_put = FakeStore.put


def take_ack_as_new(self, member, ack, began_s):
    """Ignore the age of the peer's store read."""
    age_s = ack.confirmation_age_ms / 1000
    return _take_ack(self, member, ack, began_s + age_s)


def half_after_half(self, now_s):
    """Ignore whether this process is listed or held."""
    is_confirmed = self.age_s(now_s) < LEASE_S
    return ActMode.FULL if is_confirmed else ActMode.HALF


def put_always(self, key, body, version):
    """Ignore the expected version."""
    stored = self.get(key)
    return _put(self, key, body, stored.version if stored else 0)


def change_and_forget(view, added, removed, change_id, ended=()):
    """Keep no former members."""
    return change_members(view, added, removed, change_id, removed)


def listed_endpoints(chain):
    """Leave former members out."""
    for step in chain.steps:
        yield from chain._lookups.endpoints_of(step.view)


BREAKS = {
    'leases do not expire': (confirmations, 'LEASE_S', 1e9),
    'half shares do not end': (confirmations, 'HALF_S', 1e9),
    'removed endpoints are forgotten': (
        viewchanges,
        'change_members',
        change_and_forget,
    ),
    'former members are not sealed': (
        ViewChain,
        'endpoints',
        listed_endpoints,
    ),
    'former members stay too short': (viewchanges, 'FORMER_S', 1),
    'former members stay for ever': (viewchanges, 'FORMER_S', 1e9),
    'unlisted and held entries act': (Confirmation, 'mode', half_after_half),
    'new members are not held': (
        Confirmation,
        'begin_hold',
        lambda confirmation, previous, predecessors, now_s: None,
    ),
    'promises are not kept': (ViewState, 'may_adopt', lambda state: True),
    'ages are not added': (ViewState, 'take_ack', take_ack_as_new),
    'writes are not conditional': (FakeStore, 'put', put_always),
}


def break_product(name):
    """Apply a break.

    :param name: key of ``BREAKS``.
    :returns: context manager that restores the product.
    """
    return mock.patch.object(*BREAKS[name])
