"""Long random sequences of steps, reproducible by their seed."""

import os

from hypothesis import HealthCheck, Phase, given, seed, settings
from hypothesis import strategies as st

from rattanvalve.errors import InvariantError

ROUNDS = int(os.environ.get('SOAK_ROUNDS', '60'))
SEED = int(os.environ.get('SOAK_SEED', '1'))

#: A step is a number that selects an action and two for its arguments.
_STEPS = st.lists(
    st.tuples(
        st.integers(0, 99),
        st.integers(0, 999),
        st.integers(0, 999),
    ),
    min_size=80,
    max_size=300,
)


def run_sequences(check, rounds=ROUNDS):
    """Call ``check(steps)`` with ``rounds`` sequences of 80 to 300 steps."""

    def check_one(steps):
        check(steps)

    settings(
        max_examples=rounds,
        deadline=None,
        database=None,
        print_blob=False,
        report_multiple_bugs=False,
        phases=(Phase.generate,),
        suppress_health_check=tuple(HealthCheck),
    )(seed(SEED)(given(steps=_STEPS)(check_one)))()


def finds_fault(check):
    """Return whether a sequence makes ``check`` fail on broken code."""
    try:
        run_sequences(check)
    except (AssertionError, InvariantError):
        return True
    return False
