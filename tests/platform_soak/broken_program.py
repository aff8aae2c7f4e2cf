"""Runs a gateway or a turn store with one mechanism broken on purpose.

The soak uses it to verify that its checks detect the defect. The first
arguments are the program and the name of the break.
"""

from rattanvalve.gateway import forwarding, turns
from rattanvalve.gateway import main as gateway_main
from rattanvalve.sharedstate.request_crashes import CrashTable
from rattanvalve.turn_messages import RateGrant
from rattanvalve.turnstore import main as turnstore_main
from rattanvalve.turnstore.endpointrates import EndpointRates
from rattanvalve.turnstore.rateshares import RateShares
from tests.run_broken import run_broken


def _grant(shares, message, now_s):
    return RateGrant(is_known=True, is_granted=True)


BREAKS = {
    'turns are repeated': (
        (forwarding, '_may_retry', lambda call, error, trace: True),
    ),
    'budgets are not counted': (
        (turns, 'is_within_budget', lambda entries, budget_tokens: True),
    ),
    'context is left out': ((turns.CachedTurn, 'context', lambda turn: ()),),
    'limits are not counted': (
        (
            EndpointRates,
            'take',
            _grant,
        ),
    ),
    'crashes are not remembered': (
        (CrashTable, 'block', lambda table, fingerprint, now_s: None),
    ),
    'rates are not counted': (
        (
            RateShares,
            'take',
            _grant,
        ),
    ),
}
PROGRAMS = {'gateway': gateway_main.main, 'store': turnstore_main.main}

if __name__ == '__main__':
    run_broken(PROGRAMS, BREAKS)
