"""Faulty replacements of product attributes, which the checks must detect.

Each entry of ``BREAKS`` replaces one attribute by a wrong one.
"""

import zlib
from dataclasses import replace
from unittest import mock

import msgspec

from rattanvalve import (
    configadoption,
    configdocs,
    configholder,
    confirmations,
    ctl_main,
    http_errors,
    tls,
    viewchanges,
    viewrepair,
    vmhints,
)
from rattanvalve.admission_mode import AdmissionMode
from rattanvalve.catalog import revise_catalog
from rattanvalve.configadoption import ConfigAdoption
from rattanvalve.configholder import ConfigHolder
from rattanvalve.configstore import ConfigStore
from rattanvalve.configtables import ConfigTables, tables_of
from rattanvalve.confirmations import Confirmation
from rattanvalve.gateway import placement
from rattanvalve.loads import EndpointLoads
from rattanvalve.peersecrets import AcceptingSealer, PeerSecrets
from rattanvalve.viewchain import ViewChain
from rattanvalve.views import change_members
from rattanvalve.viewstate import ViewState
from tests import configfaults
from tests.cellsim import LEASE_S, FakeStore

_process_ack = ViewState.process_ack
_put = FakeStore.put
_revise_catalog = revise_catalog
_tables_of = tables_of
_open_first_frame = AcceptingSealer._open_first
_find_outdated_entries = ctl_main.find_outdated_entries
_candidates = EndpointLoads.candidates


def process_ack_as_new(self, member, ack, began_s):
    """Ignore the age of the peer's store read."""
    age_s = ack.confirmation_age_ms / 1000
    return _process_ack(self, member, ack, began_s + age_s)


def mode_by_age_only(self, now_s):
    """Decide by the age alone, without listing, hold or the end of HALF."""
    is_confirmed = self.age_s(now_s) < LEASE_S
    return AdmissionMode.FULL if is_confirmed else AdmissionMode.HALF


def put_unconditionally(self, key, body, version):
    """Ignore the expected version."""
    stored = self.get(key)
    return _put(self, key, body, stored.version if stored else 0)


def catalog_with_old_keys(previous, config, generation, changes):
    """Keep the keys that a change removes or replaces."""
    revised = _revise_catalog(previous, config, generation, changes)
    keys = previous.key_workspaces | revised.key_workspaces
    return replace(revised, key_workspaces=keys)


def tables_with_order_in_digest(config):
    """Make the digest depend on the order of the entries."""
    tables = _tables_of(config)
    digest_sum = zlib.crc32(msgspec.json.encode(config))
    return replace(tables, digest_sum=digest_sum)


async def keep_base(self, base, change_id):
    """Do not clear a base that no head refers to any more."""


def candidates_without_hinted(self, service_name, drained, now_s):
    """Exclude all hinted endpoints, even if no other is left."""
    found = _candidates(self, service_name, drained, now_s)
    hinted = self.hints.names(now_s)
    return [
        candidate for candidate in found if candidate.member.name not in hinted
    ]


def entries_that_answered_behind(body, generation):
    """Skip the entries that did not answer."""
    return _find_outdated_entries(body | {'unreachable': []}, generation)


def open_without_check(self, body):
    """Accept frames although the secret of the connection was withdrawn."""
    return (
        self._incoming.open(body)
        if self._incoming
        else _open_first_frame(self, body)
    )


def keep_first_secret(self, secrets):
    """Accept only the first secret."""
    self.accepted = (self.first,)


def change_without_former(view, added, removed, change_id, ended=()):
    """Treat removed endpoints as ended, so none becomes a former member."""
    return change_members(view, added, removed, change_id, removed)


def listed_endpoints(chain):
    """List the endpoints of all views without the former members."""
    for step in chain.steps:
        yield from chain._lookups.endpoints_of(step.view)


BREAKS = {
    'connections outlive their secret': (
        AcceptingSealer,
        'open',
        open_without_check,
    ),
    'only the first secret is tried': (
        PeerSecrets,
        'replace_with',
        keep_first_secret,
    ),
    'unreadable requests are not counted': (
        http_errors,
        'UNREADABLE_METHOD',
        '',
    ),
    'the health of endpoints is passed over': (
        placement,
        '_health_penalty_ms',
        lambda demand, health, now_s: 0,
    ),
    'lines about unreadable requests are not shortened': (
        http_errors.MalformedHttpFilter,
        'filter',
        lambda keeper, record: True,
    ),
    'broken certificates are taken': (
        tls,
        'make_tls_context',
        lambda settings: None,
    ),
    'entries without an answer are passed over': (
        ctl_main,
        'find_outdated_entries',
        entries_that_answered_behind,
    ),
    'hints do not end': (vmhints, 'HINT_S', 1e9),
    'hints exclude the last': (
        EndpointLoads,
        'candidates',
        candidates_without_hinted,
    ),
    'differences are not sent': (
        ConfigHolder,
        '_differences_since',
        lambda holder, generation: b'',
    ),
    'old keys stay in the catalog': (
        configholder,
        'revise_catalog',
        catalog_with_old_keys,
    ),
    'digests are not compared': (ConfigTables, 'digest', ''),
    'digests depend on the order': (
        configfaults,
        'tables_of',
        tables_with_order_in_digest,
    ),
    'replaced bases stay': (ConfigStore, '_clear_base', keep_base),
    'heads are read once': (configadoption, 'READ_ATTEMPT_COUNT', 1),
    'sizes are not limited': (
        configdocs,
        '_check_size',
        lambda size, limit, what: None,
    ),
    'rubbish is not noticed': (
        ConfigAdoption,
        'problem',
        property(lambda adoption: '', lambda adoption, text: None),
    ),
    'views are repaired at once': (viewrepair, 'LEASE_S', 0),
    'leases do not expire': (confirmations, 'LEASE_S', 1e9),
    'half shares do not end': (confirmations, 'HALF_S', 1e9),
    'removed endpoints are forgotten': (
        viewchanges,
        'change_members',
        change_without_former,
    ),
    'former members are not sealed': (
        ViewChain,
        'endpoints',
        listed_endpoints,
    ),
    'former members stay too short': (viewchanges, 'FORMER_S', 1),
    'former members stay for ever': (viewchanges, 'FORMER_S', 1e9),
    'unlisted and held entries act': (Confirmation, 'mode', mode_by_age_only),
    'new members are not held': (
        Confirmation,
        'begin_hold',
        lambda confirmation, previous, predecessors, now_s: None,
    ),
    'promises are not kept': (ViewState, 'may_adopt', lambda state: True),
    'ages are not added': (ViewState, 'process_ack', process_ack_as_new),
    'writes are not conditional': (FakeStore, 'put', put_unconditionally),
}


def break_product(name):
    """Apply a break.

    :param name: key of ``BREAKS``.
    :returns: context manager that restores the product.
    """
    target, attribute, replacement = BREAKS[name]
    # ``create`` is needed for attributes that only instances have.
    return mock.patch.object(target, attribute, replacement, create=True)
